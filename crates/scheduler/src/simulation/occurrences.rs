//! Counts situations that days are meant to produce, so that tests can require that they occurred.

use super::{Leadership, Simulation};
use crate::election::LEADER_KEY;

/// How long a leader counts as new, in milliseconds.
const NEW_LEADER_MS: u64 = 2_000;

impl Simulation {
    /// Counts an occurrence of a situation.
    pub(super) fn count(&mut self, situation: &'static str) {
        *self.occurrences.entry(situation).or_default() += 1;
    }

    /// Records a change of leadership, which shows as a new revision of the leader key.
    pub(super) fn record_leader(&mut self) {
        let leader_key = self.state.revision(LEADER_KEY);
        if leader_key.is_some() && self.leadership.leader_key != leader_key {
            self.leadership = Leadership { leader_key, since_ms: self.now };
            self.count("a new leader");
        }
    }

    /// Counts an answer that told a user that its job is accepted or finished.
    pub(super) fn count_job_state(&mut self, finished: bool) {
        self.count(if finished { "terminal status told" } else { "accepted" });
        if finished && self.now - self.leadership.since_ms < NEW_LEADER_MS {
            self.count("a terminal status within two seconds of a new leader");
        }
    }
}
