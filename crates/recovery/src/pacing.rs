//! How often work that can be put off is done, by what it was measured to cost.
//!
//! The scheduler's leader has a [`Pacer`] for each such piece of work.

use pearford_types::{Duration, MonotonicTime};

/// Paces a recurring piece of work: it is done at most once per interval, and takes a bounded share of the
/// processor.
///
/// What a leader does on its own account (scheduling passes, planning to scale out) grows with the fleet.
/// Done ten times a second whatever its cost, it took all of a leader's processor just after a failover at
/// four times the machines; the leader's lease was not renewed, and the next leader began again.
#[derive(Debug, Clone)]
pub struct Pacer {
    interval: Duration,
    rest_factor: f64,
    next_at: MonotonicTime,
    /// The work was done in the last step, whose cost isn't known yet.
    awaits_cost: bool,
}

impl Pacer {
    /// Work that is done first at `first_at` and then at most once per `interval`. After it has taken some
    /// time, other work gets `rest_factor` times as much.
    pub fn new(interval: Duration, rest_factor: f64, first_at: MonotonicTime) -> Self {
        Self { interval, rest_factor, next_at: first_at, awaits_cost: false }
    }

    /// Whether it is time for the work.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_at
    }

    /// The work is done in this step.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.next_at = now + self.interval;
        self.awaits_cost = true;
    }

    /// The step before this one took `cost` by the clock. To be called for every step: the cost of a step
    /// without this work changes nothing.
    pub fn record_cost(&mut self, cost: Duration, now: MonotonicTime) {
        if std::mem::take(&mut self.awaits_cost) {
            self.next_at = self.next_at.max(now + cost.times(self.rest_factor));
        }
    }
}

#[cfg(test)]
mod tests;
