//! Leader election: whether this node leads, and until when. Called by the controller, which sends the
//! requests that [`Election::tick`] and [`Election::reply`] return to the key-value store.
//!
//! The leader is the node that holds the leader key, written under a lease on condition that the key is
//! absent. The revision at which the key was written is the fencing token of that term.
//!
//! The leader counts its lease from when it *sent* the last renewal that succeeded, shortened for clock
//! drift. After that it neither commits nor sends commands, but it continues to answer heartbeats until the
//! store reports that the lease has expired, so that the workers' leases survive an outage of the store.

mod leader_key;

pub use leader_key::LEADER_KEY;

use crate::types::{Duration, FencingToken, LeaseId, MonotonicTime, NodeName, RequestId, Revision};
use crate::wire::state::{Pair, StoreReply, StoreRequest};
use leader_key::LeaderRecord;

/// Fraction of a lease that is used. The monotonic clocks of two machines drift apart by up to 0.05%; the
/// margin is twice that.
const DRIFT_FACTOR: f64 = 0.999;
/// Additional time at the end of a lease that isn't used, for the latency of a request and for a slow step.
const LEASE_MARGIN: Duration = Duration::from_millis(50);
/// Time between two reads of the leader key while another node may lead, without jitter.
const CAMPAIGN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads that check whether a write without a reply succeeded, without jitter.
const VERIFY_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a failed renewal is retried.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a node doesn't campaign after it has stepped down.
const STEP_DOWN_PAUSE: Duration = Duration::from_millis(500);

/// State of this node's campaign for leadership.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CampaignState {
    /// No campaign is in progress.
    Idle,
    /// The leader key is being read.
    ReadingKey,
    /// A lease has been requested.
    GrantingLease {
        /// When the request was sent.
        sent: MonotonicTime,
        /// Revision of the key to be replaced; 0 if the key is absent.
        replaces: Revision,
    },
    /// The leader key is being written.
    WritingKey {
        /// The lease that the key is attached to.
        lease: LeaseId,
        /// When the lease was requested.
        sent: MonotonicTime,
    },
    /// The write got no reply: the key is read to find out whether this node holds it.
    VerifyingKey {
        /// The lease that the key may be attached to.
        lease: LeaseId,
        /// When the lease was requested.
        sent: MonotonicTime,
    },
    /// This node holds the leader key.
    Leading {
        /// The lease that the key is attached to.
        lease: LeaseId,
        /// When the renewal in flight was sent.
        renewing: Option<MonotonicTime>,
    },
}

/// What a reply changed about this node's leadership.
#[derive(Debug, Clone, PartialEq)]
pub enum ElectionChange {
    /// No change.
    Unchanged,
    /// This node has become leader with this fencing token.
    Won(FencingToken),
    /// This node's lease has expired: it is no longer leader.
    Lost,
}

/// The result of a reply of the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub struct ElectionStep {
    /// What changed about this node's leadership.
    pub change: ElectionChange,
    /// The next request of the campaign, to be sent immediately.
    pub next_request: Option<StoreRequest>,
}

impl ElectionStep {
    fn unchanged() -> Self {
        Self { change: ElectionChange::Unchanged, next_request: None }
    }

    fn changed(change: ElectionChange) -> Self {
        Self { change, next_request: None }
    }

    fn request(next_request: StoreRequest) -> Self {
        Self { change: ElectionChange::Unchanged, next_request: Some(next_request) }
    }
}

/// Another node that held the leader key when this one last read it.
#[derive(Debug, Clone, PartialEq)]
pub struct OtherLeader {
    /// The node that was leader.
    pub node: NodeName,
    /// The fencing token of its term.
    pub fencing_token: FencingToken,
    /// When the key was read.
    read_at: MonotonicTime,
}

/// One node's part in the election. It has at most one request in flight.
#[derive(Debug)]
pub struct Election {
    node: NodeName,
    lease_duration: Duration,
    renew_every: Duration,
    state: CampaignState,
    /// Fencing token of this node's last term; 0 if it has not been leader yet.
    fencing_token: FencingToken,
    valid_until: MonotonicTime,
    /// When the next request is due.
    next_request_at: MonotonicTime,
    request_id: Option<RequestId>,
    /// Until this time the node reads the leader key but doesn't campaign.
    campaigns_from: MonotonicTime,
    other_leader: Option<OtherLeader>,
}

impl Election {
    /// Creates the election of `node`, without a campaign. Leases are granted for `lease_duration` and
    /// renewed every `renew_every`.
    pub fn new(node: NodeName, lease_duration: Duration, renew_every: Duration) -> Self {
        Self {
            node,
            lease_duration,
            renew_every,
            state: CampaignState::Idle,
            fencing_token: FencingToken(0),
            valid_until: MonotonicTime::default(),
            next_request_at: MonotonicTime::default(),
            request_id: None,
            campaigns_from: MonotonicTime::default(),
            other_leader: None,
        }
    }

    /// Whether this node holds the leader key as far as it knows, even if its lease is no longer valid.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, CampaignState::Leading { .. })
    }

    /// Whether this node may commit, send commands and call the cloud at `now`.
    pub fn has_valid_lease(&self, now: MonotonicTime) -> bool {
        self.is_leader() && now < self.valid_until
    }

    /// The fencing token of this node's last term; 0 if it has not been leader yet.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Another node that held the leader key when it was last read, if that is at most `within` ago; `None`
    /// while this node is leader.
    pub fn other_leader(&self, within: Duration, now: MonotonicTime) -> Option<&OtherLeader> {
        self.other_leader.as_ref().filter(|leader| now.since(leader.read_at) <= within && !self.is_leader())
    }

    /// The next request to the key-value store, if one is due; its id is to be passed to
    /// [`Self::request_sent`]. `suppress_campaign`: no campaign is to be started, for example because
    /// messages of another leader arrive. `jitter` is added to the time until the next request.
    pub fn tick(
        &mut self,
        now: MonotonicTime,
        suppress_campaign: bool,
        jitter: Duration,
    ) -> Option<StoreRequest> {
        if self.request_id.is_some() || now < self.next_request_at {
            return None;
        }
        match self.state {
            CampaignState::Leading { lease, .. } => {
                self.state = CampaignState::Leading { lease, renewing: Some(now) };
                self.next_request_at = now + self.renew_every;
                Some(StoreRequest::RenewLease { lease })
            }
            CampaignState::Idle if !suppress_campaign => {
                self.state = CampaignState::ReadingKey;
                self.next_request_at = now + CAMPAIGN_INTERVAL + jitter;
                Some(leader_key::read_request())
            }
            CampaignState::VerifyingKey { .. } => {
                self.next_request_at = now + VERIFY_INTERVAL + jitter;
                Some(leader_key::read_request())
            }
            _ => None,
        }
    }

    /// Records the id under which the request returned last was sent.
    pub fn request_sent(&mut self, request_id: RequestId) {
        self.request_id = Some(request_id);
    }

    /// Whether this is the id of the request in flight.
    pub fn owns(&self, request_id: RequestId) -> bool {
        self.request_id == Some(request_id)
    }

    /// Processes the reply to the request in flight.
    pub fn reply(&mut self, now: MonotonicTime, reply: StoreReply) -> ElectionStep {
        self.request_id = None;
        match self.state {
            CampaignState::Idle => ElectionStep::unchanged(),
            CampaignState::ReadingKey => self.key_read(now, reply),
            CampaignState::GrantingLease { sent, replaces } => self.lease_granted(sent, replaces, reply),
            CampaignState::WritingKey { lease, sent } => self.key_written(now, lease, sent, reply),
            CampaignState::VerifyingKey { lease, sent } => self.key_verified(now, lease, sent, reply),
            CampaignState::Leading { lease, renewing } => self.lease_renewed(now, lease, renewing, reply),
        }
    }

    fn key_read(&mut self, now: MonotonicTime, reply: StoreReply) -> ElectionStep {
        if let StoreReply::Found(pair) = &reply {
            self.record_other_leader(now, pair);
        }
        if now < self.campaigns_from {
            return self.abandon_campaign();
        }
        match reply {
            StoreReply::Missing { .. } => self.request_lease(now, Revision(0)),
            // This node's previous run wrote the key. That run has ended, so there is no need to wait until
            // its lease expires. If it has not ended (two processes of one name), it loses the key as to any
            // other leader.
            StoreReply::Found(pair) if self.is_from_earlier_run(&pair) => {
                self.request_lease(now, pair.revision)
            }
            _ => self.abandon_campaign(),
        }
    }

    fn record_other_leader(&mut self, now: MonotonicTime, pair: &Pair) {
        self.other_leader =
            LeaderRecord::parse(pair).filter(|record| record.node != self.node).map(|record| OtherLeader {
                node: record.node,
                fencing_token: leader_key::fencing_token(pair.revision),
                read_at: now,
            });
    }

    fn request_lease(&mut self, now: MonotonicTime, replaces: Revision) -> ElectionStep {
        self.state = CampaignState::GrantingLease { sent: now, replaces };
        ElectionStep::request(StoreRequest::GrantLease { ttl_ms: self.lease_duration.0 })
    }

    fn lease_granted(&mut self, sent: MonotonicTime, replaces: Revision, reply: StoreReply) -> ElectionStep {
        let StoreReply::LeaseGranted(lease) = reply else {
            return self.abandon_campaign();
        };
        self.state = CampaignState::WritingKey { lease, sent };
        let record = LeaderRecord { node: self.node.clone(), lease };
        ElectionStep::request(record.commit_request(replaces))
    }

    fn key_written(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        sent: MonotonicTime,
        reply: StoreReply,
    ) -> ElectionStep {
        match reply {
            StoreReply::Committed { store_revision } => self.win(now, lease, sent, Revision(store_revision)),
            StoreReply::Unknown => {
                self.state = CampaignState::VerifyingKey { lease, sent };
                ElectionStep::unchanged()
            }
            _ => self.abandon_campaign(),
        }
    }

    fn key_verified(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        sent: MonotonicTime,
        reply: StoreReply,
    ) -> ElectionStep {
        match reply {
            StoreReply::Found(pair) if self.is_own_key(&pair, lease) => {
                self.win(now, lease, sent, pair.revision)
            }
            // Until the lease is certain to have expired, the write without a reply may still be applied.
            StoreReply::Refused | StoreReply::Unknown if now < self.lease_end(sent) => {
                ElectionStep::unchanged()
            }
            _ => self.abandon_campaign(),
        }
    }

    fn lease_renewed(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        renewing: Option<MonotonicTime>,
        reply: StoreReply,
    ) -> ElectionStep {
        match reply {
            StoreReply::LeaseRenewed => {
                self.valid_until = self.valid_until.max(self.lease_end(renewing.unwrap_or_default()));
                self.state = CampaignState::Leading { lease, renewing: None };
                ElectionStep::unchanged()
            }
            StoreReply::LeaseExpired => {
                self.step_down(now);
                ElectionStep::changed(ElectionChange::Lost)
            }
            _ => {
                self.next_request_at = now + RENEWAL_RETRY_INTERVAL;
                ElectionStep::unchanged()
            }
        }
    }

    fn abandon_campaign(&mut self) -> ElectionStep {
        self.state = CampaignState::Idle;
        ElectionStep::unchanged()
    }

    fn win(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        sent: MonotonicTime,
        revision: Revision,
    ) -> ElectionStep {
        self.state = CampaignState::Leading { lease, renewing: None };
        self.fencing_token = leader_key::fencing_token(revision);
        self.valid_until = self.lease_end(sent);
        self.next_request_at = now;
        ElectionStep::changed(ElectionChange::Won(self.fencing_token))
    }

    /// The time until which a lease that was requested or renewed at `sent` is valid.
    fn lease_end(&self, sent: MonotonicTime) -> MonotonicTime {
        let usable = self.lease_duration.times(DRIFT_FACTOR).0.saturating_sub(LEASE_MARGIN.0);
        sent + Duration::from_millis(usable)
    }

    /// Whether the key was written by an earlier run of this node, which requires that this run has not been
    /// leader yet.
    fn is_from_earlier_run(&self, pair: &Pair) -> bool {
        self.fencing_token == FencingToken(0)
            && LeaderRecord::parse(pair).is_some_and(|record| record.node == self.node)
    }

    /// Whether the key was written by this run of this node, under `lease`.
    fn is_own_key(&self, pair: &Pair, lease: LeaseId) -> bool {
        LeaderRecord::parse(pair).is_some_and(|record| record.node == self.node && record.lease == lease)
    }

    /// Ends this node's leadership, without a request to the key-value store. The node doesn't campaign for a
    /// short time, so that another node becomes leader.
    pub fn step_down(&mut self, now: MonotonicTime) {
        self.state = CampaignState::Idle;
        self.valid_until = MonotonicTime::default();
        self.next_request_at = now + STEP_DOWN_PAUSE;
        self.request_id = None;
    }

    /// Like [`Self::step_down`], but the node doesn't campaign for `pause`.
    pub fn back_off(&mut self, now: MonotonicTime, pause: Duration) {
        self.step_down(now);
        self.campaigns_from = now + pause;
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
