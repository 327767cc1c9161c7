//! Winning, losing and resigning the leadership.

use super::Controller;
use crate::election;
use crate::node::leader::{Leader, LeadershipEnd};
use crate::node::outbox::{LeaderRequest, Pending};
use crate::types::{Duration, FencingToken, Revision};
use crate::wire::state::{Change, StoreRequest};

/// Timeout of a leader's requests to renew its lease: a later reply is of no use.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a campaign's requests. It is longer because there is no lease to renew in time: with the
/// shorter timeout, a slow key-value store left the service without a leader for 20 s.
const CAMPAIGN_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a leader that resigned doesn't campaign, so that another node becomes leader.
const RESIGN_BACK_OFF: Duration = Duration::from_millis(20_000);

impl Controller {
    pub(super) fn send_election_request(&mut self, request: StoreRequest) {
        let timeout = if self.election.is_leader() { RENEWAL_TIMEOUT } else { CAMPAIGN_TIMEOUT };
        let request_id = self.outbox.request_store_with_timeout(request, timeout);
        self.election.request_sent(request_id);
    }

    pub(super) fn become_leader(&mut self, fencing_token: FencingToken) {
        tracing::info!(%fencing_token, "became leader");
        self.latest_revision = self.latest_revision.max(fencing_token.0);
        self.observe_fencing_token(fencing_token);
        let types = self.catalogue.types().to_vec();
        let early_heartbeats = self.delegate.became_leader(self.now);
        self.leader =
            Some(Leader::new(self.settings.clone(), fencing_token, self.now, types, early_heartbeats));
        if let Some((leader, mut context)) = self.leader_and_context() {
            leader.load(&mut context);
        }
    }

    /// Drops the leader's state, but keeps its counts of jobs. Does nothing on a node that is not leader.
    pub(super) fn step_down(&mut self, reason: &str) {
        if let Some(leader) = self.leader.take() {
            self.job_counters.add(leader.into_job_counters());
            self.outbox.discard_relays();
            tracing::warn!(reason, "stepped down as leader");
        }
    }

    /// Ends the leadership if the leader has decided so.
    pub(super) fn end_leadership(&mut self, leadership_end: Option<LeadershipEnd>) {
        match leadership_end {
            None => {}
            Some(LeadershipEnd::Lost(reason)) => {
                self.election.step_down(self.now);
                self.step_down(reason.as_str());
            }
            Some(LeadershipEnd::Resign(reason)) => {
                self.delete_leader_key();
                self.election.back_off(self.now, RESIGN_BACK_OFF);
                self.step_down(reason.as_str());
            }
        }
    }

    /// Deletes the leader key if this node still holds it, so that others need not wait until the lease
    /// expires.
    fn delete_leader_key(&mut self) {
        let fencing_token = self.election.fencing_token();
        let request = StoreRequest::Commit {
            conditions: vec![(election::LEADER_KEY.into(), Revision(fencing_token.0))],
            changes: vec![Change::Delete { key: election::LEADER_KEY.into() }],
        };
        self.outbox.request_store(request, Pending::Leader(fencing_token, LeaderRequest::Resign));
    }
}
