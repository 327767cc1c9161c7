//! Leadership: a key set under a grant, if absent. Its revision is the fence.
//!
//! The leader counts its tenure from when it *sent* the last renewal that succeeded, shortened
//! for clock drift; past that it commits and orders nothing, but may go on answering reports for
//! a while ("holding") so that workers' leases survive an outage of the state service.

use crate::types::{Duration, FencingToken, LeaseId, MonotonicTime, NodeName, RequestId, Revision};
use crate::wire::state::{Change, Pair, StoreReply, StoreRequest};
use serde::{Deserialize, Serialize};

pub const LEADER_KEY: &str = "leader";
/// Steady clocks of different machines drift apart by up to 0.05%; twice that is left off.
const DRIFT: f64 = 0.999;
/// Extra that a grant's last moment is not used for: the answer's way and a slow step.
const MARGIN: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Serialize, Deserialize)]
struct LeaderRecord {
    node: NodeName,
    #[serde(rename = "permit")]
    lease: LeaseId,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum CampaignState {
    Idle,
    ReadingKey,
    /// `replaces`: the version of the key that is to be replaced, 0 if there is none.
    GrantingLease {
        sent: MonotonicTime,
        replaces: Revision,
    },
    WritingKey {
        lease: LeaseId,
        sent: MonotonicTime,
    },
    /// The answer to `WritingKey` was lost: look whether the key is ours.
    VerifyingKey {
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
pub enum ElectionChange {
    Unchanged,
    Won(FencingToken),
    Lost,
}

#[derive(Debug)]
pub struct Election {
    node: NodeName,
    lease_duration: Duration,
    renew_every: Duration,
    state: CampaignState,
    fencing_token: FencingToken,
    valid_until: MonotonicTime,
    next_try: MonotonicTime,
    request_id: Option<RequestId>,
    /// It doesn't stand for the lead before; it looks who has it all the same.
    campaigns_from: MonotonicTime,
    /// Who else leads, as the key said when this node last looked.
    other_leader: Option<(NodeName, FencingToken, MonotonicTime)>,
}

impl Election {
    pub fn new(node: NodeName, lease_duration: Duration, renew_every: Duration) -> Self {
        Self {
            node,
            lease_duration,
            renew_every,
            state: CampaignState::Idle,
            fencing_token: FencingToken(0),
            valid_until: MonotonicTime::default(),
            next_try: MonotonicTime::default(),
            request_id: None,
            campaigns_from: MonotonicTime::default(),
            other_leader: None,
        }
    }

    fn lease_end(&self, sent: MonotonicTime) -> MonotonicTime {
        sent + Duration::from_millis(self.lease_duration.times(DRIFT).0.saturating_sub(MARGIN.0))
    }

    /// Whether this node holds the leader key as far as it knows, validly or only holding on.
    pub fn leads(&self) -> bool {
        matches!(self.state, CampaignState::Leading { .. })
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
    pub fn other_leader(&self, within: Duration, now: MonotonicTime) -> Option<(&NodeName, FencingToken)> {
        let other_leader =
            self.other_leader.as_ref().filter(|(.., at)| now.since(*at) <= within && !self.leads());
        other_leader.map(|(node, fencing_token, _)| (node, *fencing_token))
    }

    /// The next request to the state service, if one is due. `quiet`: somebody else leads and
    /// was heard of lately.
    pub fn tick(&mut self, now: MonotonicTime, quiet: bool, jitter: Duration) -> Option<StoreRequest> {
        if self.request_id.is_some() {
            return None;
        }
        match self.state {
            CampaignState::Leading { lease, .. } if now >= self.next_try => {
                self.state = CampaignState::Leading { lease, renewing: Some(now) };
                self.next_try = now + self.renew_every;
                Some(StoreRequest::RenewLease { lease })
            }
            CampaignState::Idle if !quiet && now >= self.next_try => {
                self.next_try = now + Duration::from_millis(500) + jitter;
                self.state = CampaignState::ReadingKey;
                Some(StoreRequest::Get { key: LEADER_KEY.into() })
            }
            CampaignState::VerifyingKey { .. } if now >= self.next_try => {
                self.next_try = now + Duration::from_millis(200) + jitter;
                Some(StoreRequest::Get { key: LEADER_KEY.into() })
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
    pub fn reply(&mut self, now: MonotonicTime, reply: StoreReply) -> (ElectionChange, Option<StoreRequest>) {
        self.request_id = None;
        if let (CampaignState::ReadingKey, StoreReply::Found(pair)) = (self.state, &reply) {
            let holder = serde_json::from_str::<LeaderRecord>(&pair.value).ok().map(|value| value.node);
            let holder = holder.filter(|node| *node != self.node);
            self.other_leader = holder.map(|node| (node, FencingToken(pair.revision.0), now));
        }
        match (self.state, reply) {
            (CampaignState::ReadingKey, _) if now < self.campaigns_from => {
                self.state = CampaignState::Idle;
                (ElectionChange::Unchanged, None)
            }
            (CampaignState::ReadingKey, StoreReply::Missing { .. }) => {
                self.state = CampaignState::GrantingLease { sent: now, replaces: Revision(0) };
                (ElectionChange::Unchanged, Some(StoreRequest::GrantLease { life_ms: self.lease_duration.0 }))
            }
            // The key of this node's run before: that run is over, and nobody need wait until its grant is. Were it
            // not over (two processes of one name), it would lose the key as to any other leader.
            (CampaignState::ReadingKey, StoreReply::Found(pair)) if self.is_from_earlier_run(&pair) => {
                self.state = CampaignState::GrantingLease { sent: now, replaces: pair.revision };
                (ElectionChange::Unchanged, Some(StoreRequest::GrantLease { life_ms: self.lease_duration.0 }))
            }
            (CampaignState::GrantingLease { sent, replaces }, StoreReply::LeaseGranted(lease)) => {
                self.state = CampaignState::WritingKey { lease, sent };
                let value = LeaderRecord { node: self.node.clone(), lease };
                let put = Change::Put {
                    key: LEADER_KEY.into(),
                    value: serde_json::to_string(&value).unwrap_or_default(),
                    lease: Some(lease),
                };
                let conditions = vec![(LEADER_KEY.to_string(), replaces)];
                (ElectionChange::Unchanged, Some(StoreRequest::Commit { conditions, changes: vec![put] }))
            }
            (CampaignState::WritingKey { lease, sent }, StoreReply::Committed { store_revision }) => {
                self.win(now, lease, sent, FencingToken(store_revision))
            }
            (CampaignState::WritingKey { lease, sent }, StoreReply::Unknown) => {
                self.state = CampaignState::VerifyingKey { lease, sent };
                (ElectionChange::Unchanged, None)
            }
            (CampaignState::VerifyingKey { lease, sent }, reply) => match reply {
                StoreReply::Found(pair) if self.is_mine(&pair, lease) => {
                    self.win(now, lease, sent, FencingToken(pair.revision.0))
                }
                // Until the grant has surely ended, the lost request may still set the key.
                StoreReply::Refused | StoreReply::Unknown if now < self.lease_end(sent) => {
                    (ElectionChange::Unchanged, None)
                }
                _ => {
                    self.state = CampaignState::Idle;
                    (ElectionChange::Unchanged, None)
                }
            },
            (CampaignState::Leading { lease, renewing }, reply) => match reply {
                StoreReply::LeaseRenewed => {
                    self.valid_until = self.valid_until.max(self.lease_end(renewing.unwrap_or_default()));
                    self.state = CampaignState::Leading { lease, renewing: None };
                    (ElectionChange::Unchanged, None)
                }
                StoreReply::LeaseExpired => {
                    self.step_down(now);
                    (ElectionChange::Lost, None)
                }
                _ => {
                    self.next_try = now + Duration::from_millis(250);
                    (ElectionChange::Unchanged, None)
                }
            },
            _ => {
                self.state = CampaignState::Idle;
                (ElectionChange::Unchanged, None)
            }
        }
    }

    /// Whether the key was set by an earlier run of this node: this one has not led yet.
    fn is_from_earlier_run(&self, pair: &Pair) -> bool {
        self.fencing_token == FencingToken(0)
            && serde_json::from_str::<LeaderRecord>(&pair.value).is_ok_and(|v| v.node == self.node)
    }

    fn is_mine(&self, pair: &Pair, lease: LeaseId) -> bool {
        serde_json::from_str::<LeaderRecord>(&pair.value)
            .is_ok_and(|v| v.node == self.node && v.lease == lease)
    }

    fn win(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        sent: MonotonicTime,
        fencing_token: FencingToken,
    ) -> (ElectionChange, Option<StoreRequest>) {
        self.state = CampaignState::Leading { lease, renewing: None };
        self.fencing_token = fencing_token;
        self.valid_until = self.lease_end(sent);
        self.next_try = now;
        (ElectionChange::Won(fencing_token), None)
    }

    /// Gives up leadership; it isn't sought again for a moment, so that another node gets it.
    pub fn step_down(&mut self, now: MonotonicTime) {
        self.state = CampaignState::Idle;
        self.valid_until = MonotonicTime::default();
        self.next_try = now + Duration::from_millis(500);
        self.request_id = None;
    }

    /// As `step_down`, staying away for `pause`.
    pub fn back_off(&mut self, now: MonotonicTime, pause: Duration) {
        self.step_down(now);
        self.campaigns_from = now + pause;
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
