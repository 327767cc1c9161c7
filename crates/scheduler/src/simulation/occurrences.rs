//! Counts situations that a day is to bring about, so that tests can require that they took place.

use super::{Leadership, Simulation};
use crate::election::LEADER_KEY;

/// How long a leader is new, in milliseconds.
const NEW_LEADER_MS: u64 = 2_000;

impl Simulation {
    /// Counts a situation that took place.
    pub(super) fn count(&mut self, situation: &'static str) {
        *self.occurrences.entry(situation).or_default() += 1;
    }

    /// Notes whose leadership this is.
    pub(super) fn note_leader(&mut self) {
        let leader_key = self.state.revision(LEADER_KEY);
        if leader_key.is_some() && self.leadership.leader_key != leader_key {
            self.leadership = Leadership { leader_key, since_ms: self.now };
            self.count("a new leader");
        }
    }

    /// Counts that a user was told that its job is accepted, or finished.
    pub(super) fn count_job_state(&mut self, finished: bool) {
        self.count(if finished { "terminal status told" } else { "accepted" });
        if finished && self.now - self.leadership.since_ms < NEW_LEADER_MS {
            self.count("a terminal status within two seconds of a new leader");
        }
    }
}
