//! Leadership: a key set under a grant, if absent. Its revision is the fence.
//!
//! The leader counts its tenure from when it *sent* the last renewal that succeeded, shortened
//! for clock drift; past that it commits and orders nothing, but may go on answering reports for
//! a while ("holding") so that workers' leases survive an outage of the state service.

use crate::types::{Duration, FencingToken, LeaseId, MonotonicTime, NodeName, RequestId, Revision};
use crate::wire::state::{Change, Pair, StateReply, StateRequest};
use serde::{Deserialize, Serialize};

pub const KEY: &str = "leader";
/// Steady clocks of different machines drift apart by up to 0.05%; twice that is left off.
const DRIFT: f64 = 0.999;
/// Extra that a grant's last moment is not used for: the answer's way and a slow step.
const MARGIN: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Serialize, Deserialize)]
struct KeyValue {
    node: NodeName,
    #[serde(rename = "permit")]
    lease: LeaseId,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Idle,
    Looking,
    /// `over`: the version of the key that is to be replaced, 0 if there is none.
    Granting {
        sent: MonotonicTime,
        over: Revision,
    },
    Taking {
        lease: LeaseId,
        sent: MonotonicTime,
    },
    /// The answer to `Taking` was lost: look whether the key is ours.
    Checking {
        lease: LeaseId,
        sent: MonotonicTime,
    },
    Leading {
        lease: LeaseId,
        renewing: Option<MonotonicTime>,
    },
}

/// What a reply or a tick led to.
#[derive(Debug, Clone, PartialEq)]
pub enum Turn {
    Nothing,
    Won(FencingToken),
    Lost,
}

#[derive(Debug)]
pub struct Seat {
    node: NodeName,
    life: Duration,
    renew_every: Duration,
    stage: Stage,
    fencing_token: FencingToken,
    valid_until: MonotonicTime,
    next_try: MonotonicTime,
    request_id: Option<RequestId>,
    /// It doesn't stand for the lead before; it looks who has it all the same.
    stands_from: MonotonicTime,
    /// Who else leads, as the key said when this node last looked.
    other: Option<(NodeName, FencingToken, MonotonicTime)>,
}

impl Seat {
    pub fn new(node: NodeName, life: Duration, renew_every: Duration) -> Self {
        Self {
            node,
            life,
            renew_every,
            stage: Stage::Idle,
            fencing_token: FencingToken(0),
            valid_until: MonotonicTime::default(),
            next_try: MonotonicTime::default(),
            request_id: None,
            stands_from: MonotonicTime::default(),
            other: None,
        }
    }

    fn tenure_from(&self, sent: MonotonicTime) -> MonotonicTime {
        sent + Duration::from_millis(self.life.times(DRIFT).0.saturating_sub(MARGIN.0))
    }

    /// Whether this node holds the leader key as far as it knows, validly or only holding on.
    pub fn leads(&self) -> bool {
        matches!(self.stage, Stage::Leading { .. })
    }
    /// Whether it may commit, order and call the cloud at `now`.
    pub fn valid(&self, now: MonotonicTime) -> bool {
        self.leads() && now < self.valid_until
    }
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }
    pub fn valid_until(&self) -> MonotonicTime {
        self.valid_until
    }

    /// Another node that holds the key, by a look not longer ago than `within`.
    pub fn other(&self, within: Duration, now: MonotonicTime) -> Option<(&NodeName, FencingToken)> {
        let other = self.other.as_ref().filter(|(.., at)| now.since(*at) <= within && !self.leads());
        other.map(|(node, fencing_token, _)| (node, *fencing_token))
    }

    /// The next request to the state service, if one is due. `quiet`: somebody else leads and
    /// was heard of lately.
    pub fn tick(&mut self, now: MonotonicTime, quiet: bool, jitter: Duration) -> Option<StateRequest> {
        if self.request_id.is_some() {
            return None;
        }
        match self.stage {
            Stage::Leading { lease, .. } if now >= self.next_try => {
                self.stage = Stage::Leading { lease, renewing: Some(now) };
                self.next_try = now + self.renew_every;
                Some(StateRequest::RenewLease { lease })
            }
            Stage::Idle if !quiet && now >= self.next_try => {
                self.next_try = now + Duration::from_millis(500) + jitter;
                self.stage = Stage::Looking;
                Some(StateRequest::Get { key: KEY.into() })
            }
            Stage::Checking { .. } if now >= self.next_try => {
                self.next_try = now + Duration::from_millis(200) + jitter;
                Some(StateRequest::Get { key: KEY.into() })
            }
            _ => None,
        }
    }

    /// Notes under which id the request given out last was sent.
    pub fn sent(&mut self, request_id: RequestId) {
        self.request_id = Some(request_id);
    }
    pub fn owns(&self, request_id: RequestId) -> bool {
        self.request_id == Some(request_id)
    }

    /// Takes a reply; may give the next request of the campaign.
    pub fn reply(&mut self, now: MonotonicTime, reply: StateReply) -> (Turn, Option<StateRequest>) {
        self.request_id = None;
        if let (Stage::Looking, StateReply::Found(pair)) = (self.stage, &reply) {
            let holder = serde_json::from_str::<KeyValue>(&pair.value).ok().map(|value| value.node);
            let holder = holder.filter(|node| *node != self.node);
            self.other = holder.map(|node| (node, FencingToken(pair.revision.0), now));
        }
        match (self.stage, reply) {
            (Stage::Looking, _) if now < self.stands_from => {
                self.stage = Stage::Idle;
                (Turn::Nothing, None)
            }
            (Stage::Looking, StateReply::Missing { .. }) => {
                self.stage = Stage::Granting { sent: now, over: Revision(0) };
                (Turn::Nothing, Some(StateRequest::GrantLease { life_ms: self.life.0 }))
            }
            // The key of this node's run before: that run is over, and nobody need wait until its grant is. Were it
            // not over (two processes of one name), it would lose the key as to any other leader.
            (Stage::Looking, StateReply::Found(pair)) if self.is_left_over(&pair) => {
                self.stage = Stage::Granting { sent: now, over: pair.revision };
                (Turn::Nothing, Some(StateRequest::GrantLease { life_ms: self.life.0 }))
            }
            (Stage::Granting { sent, over }, StateReply::LeaseGranted(lease)) => {
                self.stage = Stage::Taking { lease, sent };
                let value = KeyValue { node: self.node.clone(), lease };
                let put = Change::Put {
                    key: KEY.into(),
                    value: serde_json::to_string(&value).unwrap_or_default(),
                    lease: Some(lease),
                };
                let conditions = vec![(KEY.to_string(), over)];
                (Turn::Nothing, Some(StateRequest::Commit { conditions, changes: vec![put] }))
            }
            (Stage::Taking { lease, sent }, StateReply::Committed { store_revision }) => {
                self.win(now, lease, sent, FencingToken(store_revision))
            }
            (Stage::Taking { lease, sent }, StateReply::Unknown) => {
                self.stage = Stage::Checking { lease, sent };
                (Turn::Nothing, None)
            }
            (Stage::Checking { lease, sent }, reply) => match reply {
                StateReply::Found(pair) if self.is_mine(&pair, lease) => {
                    self.win(now, lease, sent, FencingToken(pair.revision.0))
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
            (Stage::Leading { lease, renewing }, reply) => match reply {
                StateReply::LeaseRenewed => {
                    self.valid_until = self.valid_until.max(self.tenure_from(renewing.unwrap_or_default()));
                    self.stage = Stage::Leading { lease, renewing: None };
                    (Turn::Nothing, None)
                }
                StateReply::LeaseExpired => {
                    self.step_down(now);
                    (Turn::Lost, None)
                }
                _ => {
                    self.next_try = now + Duration::from_millis(250);
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
        self.fencing_token == FencingToken(0)
            && serde_json::from_str::<KeyValue>(&pair.value).is_ok_and(|v| v.node == self.node)
    }

    fn is_mine(&self, pair: &Pair, lease: LeaseId) -> bool {
        serde_json::from_str::<KeyValue>(&pair.value).is_ok_and(|v| v.node == self.node && v.lease == lease)
    }

    fn win(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        sent: MonotonicTime,
        fencing_token: FencingToken,
    ) -> (Turn, Option<StateRequest>) {
        self.stage = Stage::Leading { lease, renewing: None };
        self.fencing_token = fencing_token;
        self.valid_until = self.tenure_from(sent);
        self.next_try = now;
        (Turn::Won(fencing_token), None)
    }

    /// Gives up leadership; it isn't sought again for a moment, so that another node gets it.
    pub fn step_down(&mut self, now: MonotonicTime) {
        self.stage = Stage::Idle;
        self.valid_until = MonotonicTime::default();
        self.next_try = now + Duration::from_millis(500);
        self.request_id = None;
    }

    /// As `step_down`, staying away for `pause`.
    pub fn shun(&mut self, now: MonotonicTime, pause: Duration) {
        self.step_down(now);
        self.stands_from = now + pause;
    }
}

#[cfg(test)]
mod tests;
