//! Fencing tokens received in heartbeats and peers' messages: which ones are accepted, and which leader they
//! identify.
//!
//! A fencing token is the revision of the key-value store at which its leader wrote the leader key. A higher
//! token than a leader's own proves that another node has become leader since.

use super::Controller;
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName};

/// This node doesn't campaign while it has received a message from another leader within this time.
const CAMPAIGN_SUPPRESSION: Duration = Duration::from_millis(2000);
/// Workers are redirected to a leader from which a message was received within this time.
const HINT_LIFETIME: Duration = Duration::from_millis(3000);
/// Added to the time since the last read of the job records, in seconds, when computing the highest possible
/// fencing token.
const POSSIBLE_TOKEN_SLACK_S: f64 = 2.0;

/// The leader from which this node last received a message.
pub(super) struct LeaderHint {
    fencing_token: FencingToken,
    leader: NodeName,
    received_at: MonotonicTime,
}

impl Controller {
    /// Whether to accept messages of a leader with `fencing_token`. If so, records the leader for redirects.
    pub(super) fn accept_leader(&mut self, fencing_token: FencingToken, from: &NodeName) -> bool {
        self.observe_fencing_token(fencing_token);
        if fencing_token < self.highest_fencing_token || !self.is_possible(fencing_token) {
            return false;
        }
        self.leader_hint = Some(LeaderHint { fencing_token, leader: from.clone(), received_at: self.now });
        true
    }

    /// Records a fencing token received from any source. If it is higher than this leader's own, another node
    /// has become leader since, and this one steps down immediately. A token that is not possible is ignored.
    pub(super) fn observe_fencing_token(&mut self, fencing_token: FencingToken) {
        let is_newer = fencing_token > self.highest_fencing_token && self.latest_revision > 0;
        if !is_newer || !self.is_possible(fencing_token) {
            return;
        }
        self.highest_fencing_token = fencing_token;
        if self.election.is_leader() && self.election.fencing_token() < fencing_token {
            self.election.step_down(self.now);
            self.step_down("a higher fencing token was received");
        }
    }

    /// Whether the key-value store can have issued `fencing_token`: tokens are its revisions, and each write
    /// increments the revision by at most one. Without this check one heartbeat with the token 2^64 - 1 would
    /// make every leader step down permanently. A node that has read nothing yet can't tell: it treats every
    /// token as possible, but records none.
    pub(super) fn is_possible(&self, fencing_token: FencingToken) -> bool {
        if self.latest_revision == 0 {
            return true;
        }
        let seconds = self.now.since(self.job_watcher.fresh_at()).as_secs_f64() + POSSIBLE_TOKEN_SLACK_S;
        let possible_writes = 2.0 * self.settings.state.write_rps * seconds;
        let known = self.highest_fencing_token.0.max(self.latest_revision);
        fencing_token.0 <= known.saturating_add(possible_writes as u64)
    }

    /// The current leader as known to this node, if a message from it was received recently.
    pub(super) fn known_leader(&self) -> Option<&NodeName> {
        self.hint_within(HINT_LIFETIME).map(|hint| &hint.leader)
    }

    /// Whether a message from another leader was received so recently that this node need not campaign.
    pub(super) fn has_recent_leader(&self) -> bool {
        self.hint_within(CAMPAIGN_SUPPRESSION).is_some_and(|hint| hint.leader != self.settings.node)
    }

    /// The leader hint, unless a higher fencing token is known or the hint is as old as `lifetime`.
    fn hint_within(&self, lifetime: Duration) -> Option<&LeaderHint> {
        self.leader_hint.as_ref().filter(|hint| {
            hint.fencing_token >= self.highest_fencing_token && self.now.since(hint.received_at) < lifetime
        })
    }
}
