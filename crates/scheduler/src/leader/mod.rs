//! Leadership: a key set under a grant, if absent. Its revision is the fence.
//!
//! The leader counts its tenure from when it *sent* the last renewal that succeeded, shortened
//! for clock drift; past that it commits and orders nothing, but may go on answering reports for
//! a while ("holding") so that workers' leases survive an outage of the state service.

use crate::types::{Fence, NodeName, OpId, Permit, Span, Stamp, Time};
use crate::wire::state::{Change, Pair, StateReply, StateRequest};
use serde::{Deserialize, Serialize};

pub const KEY: &str = "leader";
/// Steady clocks of different machines drift apart by up to 0.05%; twice that is left off.
const DRIFT: f64 = 0.999;
/// Extra that a grant's last moment is not used for: the answer's way and a slow step.
const MARGIN: Span = Span::ms(50);

#[derive(Debug, Clone, Serialize, Deserialize)]
struct KeyValue {
    node: NodeName,
    permit: Permit,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Idle,
    Looking,
    /// `over`: the version of the key that is to be replaced, 0 if there is none.
    Granting {
        sent: Time,
        over: Stamp,
    },
    Taking {
        permit: Permit,
        sent: Time,
    },
    /// The answer to `Taking` was lost: look whether the key is ours.
    Checking {
        permit: Permit,
        sent: Time,
    },
    Leading {
        permit: Permit,
        renewing: Option<Time>,
    },
}

/// What a reply or a tick led to.
#[derive(Debug, Clone, PartialEq)]
pub enum Turn {
    Nothing,
    Won(Fence),
    Lost,
}

#[derive(Debug)]
pub struct Seat {
    node: NodeName,
    life: Span,
    renew_every: Span,
    stage: Stage,
    fence: Fence,
    valid_until: Time,
    next_try: Time,
    op: Option<OpId>,
    /// It doesn't stand for the lead before; it looks who has it all the same.
    stands_from: Time,
    /// Who else leads, as the key said when this node last looked.
    other: Option<(NodeName, Fence, Time)>,
}

impl Seat {
    pub fn new(node: NodeName, life: Span, renew_every: Span) -> Self {
        Self {
            node,
            life,
            renew_every,
            stage: Stage::Idle,
            fence: Fence(0),
            valid_until: Time::default(),
            next_try: Time::default(),
            op: None,
            stands_from: Time::default(),
            other: None,
        }
    }

    fn tenure_from(&self, sent: Time) -> Time {
        sent + Span::ms(self.life.times(DRIFT).0.saturating_sub(MARGIN.0))
    }

    /// Whether this node holds the leader key as far as it knows, validly or only holding on.
    pub fn leads(&self) -> bool {
        matches!(self.stage, Stage::Leading { .. })
    }
    /// Whether it may commit, order and call the cloud at `now`.
    pub fn valid(&self, now: Time) -> bool {
        self.leads() && now < self.valid_until
    }
    pub fn fence(&self) -> Fence {
        self.fence
    }
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Another node that holds the key, by a look not longer ago than `within`.
    pub fn other(&self, within: Span, now: Time) -> Option<(&NodeName, Fence)> {
        let other = self.other.as_ref().filter(|(.., at)| now.since(*at) <= within && !self.leads());
        other.map(|(node, fence, _)| (node, *fence))
    }

    /// The next request to the state service, if one is due. `quiet`: somebody else leads and
    /// was heard of lately.
    pub fn tick(&mut self, now: Time, quiet: bool, jitter: Span) -> Option<StateRequest> {
        if self.op.is_some() {
            return None;
        }
        match self.stage {
            Stage::Leading { permit, .. } if now >= self.next_try => {
                self.stage = Stage::Leading { permit, renewing: Some(now) };
                self.next_try = now + self.renew_every;
                Some(StateRequest::Renew { permit })
            }
            Stage::Idle if !quiet && now >= self.next_try => {
                self.next_try = now + Span::ms(500) + jitter;
                self.stage = Stage::Looking;
                Some(StateRequest::Get { key: KEY.into() })
            }
            Stage::Checking { .. } if now >= self.next_try => {
                self.next_try = now + Span::ms(200) + jitter;
                Some(StateRequest::Get { key: KEY.into() })
            }
            _ => None,
        }
    }

    /// Notes under which id the request given out last was sent.
    pub fn sent(&mut self, op: OpId) {
        self.op = Some(op);
    }
    pub fn owns(&self, op: OpId) -> bool {
        self.op == Some(op)
    }

    /// Takes a reply; may give the next request of the campaign.
    pub fn reply(&mut self, now: Time, reply: StateReply) -> (Turn, Option<StateRequest>) {
        self.op = None;
        if let (Stage::Looking, StateReply::Found(pair)) = (self.stage, &reply) {
            let holder = serde_json::from_str::<KeyValue>(&pair.value).ok().map(|value| value.node);
            let holder = holder.filter(|node| *node != self.node);
            self.other = holder.map(|node| (node, Fence(pair.stamp.0), now));
        }
        match (self.stage, reply) {
            (Stage::Looking, _) if now < self.stands_from => {
                self.stage = Stage::Idle;
                (Turn::Nothing, None)
            }
            (Stage::Looking, StateReply::Missing { .. }) => {
                self.stage = Stage::Granting { sent: now, over: Stamp(0) };
                (Turn::Nothing, Some(StateRequest::Grant { life_ms: self.life.0 }))
            }
            // The key of this node's run before: that run is over, and nobody need wait until its grant is. Were it
            // not over (two processes of one name), it would lose the key as to any other leader.
            (Stage::Looking, StateReply::Found(pair)) if self.is_left_over(&pair) => {
                self.stage = Stage::Granting { sent: now, over: pair.stamp };
                (Turn::Nothing, Some(StateRequest::Grant { life_ms: self.life.0 }))
            }
            (Stage::Granting { sent, over }, StateReply::Granted(permit)) => {
                self.stage = Stage::Taking { permit, sent };
                let value = KeyValue { node: self.node.clone(), permit };
                let put = Change::Put {
                    key: KEY.into(),
                    value: serde_json::to_string(&value).unwrap_or_default(),
                    permit: Some(permit),
                };
                let conditions = vec![(KEY.to_string(), over)];
                (Turn::Nothing, Some(StateRequest::Commit { conditions, changes: vec![put] }))
            }
            (Stage::Taking { permit, sent }, StateReply::Committed { epoch }) => {
                self.win(now, permit, sent, Fence(epoch))
            }
            (Stage::Taking { permit, sent }, StateReply::Unknown) => {
                self.stage = Stage::Checking { permit, sent };
                (Turn::Nothing, None)
            }
            (Stage::Checking { permit, sent }, reply) => match reply {
                StateReply::Found(pair) if self.is_mine(&pair, permit) => {
                    self.win(now, permit, sent, Fence(pair.stamp.0))
                }
                // Until the grant has surely ended, the lost request may still set the key.
                StateReply::Refused | StateReply::Unknown if now < self.tenure_from(sent) => {
                    (Turn::Nothing, None)
                }
                _ => {
                    self.stage = Stage::Idle;
                    (Turn::Nothing, None)
                }
            },
            (Stage::Leading { permit, renewing }, reply) => match reply {
                StateReply::Renewed => {
                    self.valid_until = self.valid_until.max(self.tenure_from(renewing.unwrap_or_default()));
                    self.stage = Stage::Leading { permit, renewing: None };
                    (Turn::Nothing, None)
                }
                StateReply::NoGrant => {
                    self.step_down(now);
                    (Turn::Lost, None)
                }
                _ => {
                    self.next_try = now + Span::ms(250);
                    (Turn::Nothing, None)
                }
            },
            _ => {
                self.stage = Stage::Idle;
                (Turn::Nothing, None)
            }
        }
    }

    /// Whether the key was set by an earlier run of this node: this one has not led yet.
    fn is_left_over(&self, pair: &Pair) -> bool {
        self.fence == Fence(0)
            && serde_json::from_str::<KeyValue>(&pair.value).is_ok_and(|v| v.node == self.node)
    }

    fn is_mine(&self, pair: &Pair, permit: Permit) -> bool {
        serde_json::from_str::<KeyValue>(&pair.value).is_ok_and(|v| v.node == self.node && v.permit == permit)
    }

    fn win(&mut self, now: Time, permit: Permit, sent: Time, fence: Fence) -> (Turn, Option<StateRequest>) {
        self.stage = Stage::Leading { permit, renewing: None };
        self.fence = fence;
        self.valid_until = self.tenure_from(sent);
        self.next_try = now;
        (Turn::Won(fence), None)
    }

    /// Gives up leadership; it isn't sought again for a moment, so that another node gets it.
    pub fn step_down(&mut self, now: Time) {
        self.stage = Stage::Idle;
        self.valid_until = Time::default();
        self.next_try = now + Span::ms(500);
        self.op = None;
    }

    /// As `step_down`, staying away for `pause`.
    pub fn shun(&mut self, now: Time, pause: Span) {
        self.step_down(now);
        self.stands_from = now + pause;
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
