//! Fencing tokens seen in heartbeats and peers' messages: which are believed, and who leads by them.
//!
//! A fencing token is the revision of the key-value store at which its leader wrote the leader key. A higher token
//! than a leader's own proves that another node has led since.

use super::Controller;
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName};

/// A leader heard from within this time keeps this node from campaigning.
const CAMPAIGN_HOLD: Duration = Duration::from_millis(2000);
/// Workers are redirected to a leader heard from within this time.
const HINT_LIFE: Duration = Duration::from_millis(3000);
/// Added to the time since the last read of the job records, in seconds, when bounding possible fencing tokens.
const POSSIBLE_TOKEN_SLACK_S: f64 = 2.0;

/// The leader that this node heard from last.
pub(super) struct LeaderHint {
    fencing_token: FencingToken,
    leader: NodeName,
    heard_at: MonotonicTime,
}

impl Controller {
    /// Whether to obey a leader with `fencing_token`; if so, remembers it for redirects.
    pub(super) fn accept_leader(&mut self, fencing_token: FencingToken, from: &NodeName) -> bool {
        self.observe_fencing_token(fencing_token);
        if fencing_token < self.highest_fencing_token || !self.is_possible(fencing_token) {
            return false;
        }
        self.leader_hint = Some(LeaderHint { fencing_token, leader: from.clone(), heard_at: self.now });
        true
    }

    /// Notes a fencing token that was seen anywhere. If it is higher than this leader's own, another node has led
    /// since, and this one steps down at once. A token that is not possible is ignored.
    pub(super) fn observe_fencing_token(&mut self, fencing_token: FencingToken) {
        let is_news = fencing_token > self.highest_fencing_token && self.latest_revision > 0;
        if !is_news || !self.is_possible(fencing_token) {
            return;
        }
        self.highest_fencing_token = fencing_token;
        if self.election.leads() && self.election.fencing_token() < fencing_token {
            self.election.step_down(self.now);
            self.step_down("a higher fencing token was seen");
        }
    }

    /// Whether the key-value store can have issued `fencing_token`: tokens are its revisions, and each write adds one
    /// at most. Otherwise one heartbeat with the token 2^64 - 1 would have every leader step down, for good. A node
    /// that has read nothing yet can't tell, and notes none.
    pub(super) fn is_possible(&self, fencing_token: FencingToken) -> bool {
        if self.latest_revision == 0 {
            return true;
        }
        let seconds = self.now.since(self.job_watcher.fresh_at()).as_secs_f64() + POSSIBLE_TOKEN_SLACK_S;
        let possible_writes = 2.0 * self.settings.state.write_rps * seconds;
        let known = self.highest_fencing_token.0.max(self.latest_revision);
        fencing_token.0 <= known.saturating_add(possible_writes as u64)
    }

    /// The current leader as far as this node knows, if it was heard from lately.
    pub(super) fn known_leader(&self) -> Option<&NodeName> {
        self.hint_within(HINT_LIFE).map(|hint| &hint.leader)
    }

    /// Whether another leader was heard from so lately that this node need not campaign.
    pub(super) fn leader_heard_lately(&self) -> bool {
        self.hint_within(CAMPAIGN_HOLD).is_some_and(|hint| hint.leader != self.settings.node)
    }

    /// The leader hint, unless a newer leader is known of or it is `life` old.
    fn hint_within(&self, life: Duration) -> Option<&LeaderHint> {
        self.leader_hint.as_ref().filter(|hint| {
            hint.fencing_token >= self.highest_fencing_token && self.now.since(hint.heard_at) < life
        })
    }
}
