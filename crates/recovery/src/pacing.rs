//! Paces deferrable work by its measured cost.
//!
//! The scheduler's leader has a [`Pacer`] for each kind of deferrable work.

use pearford_types::{Duration, MonotonicTime};

/// Paces recurring work: it runs at most once per interval, and takes a bounded share of the processor time.
///
/// The cost of a leader's periodic work (scheduling passes, planning to scale out) grows with the number of
/// machines. When it ran ten times a second regardless of its cost, at four times the machines it took all
/// the processor time of a leader just after a failover. The leader's lease was not renewed and expired, and
/// the same happened to the next leader.
#[derive(Debug, Clone)]
pub struct Pacer {
    interval: Duration,
    rest_factor: f64,
    next_at: MonotonicTime,
    /// Whether the work ran in the last step and the cost of that step isn't known yet.
    cost_pending: bool,
}

impl Pacer {
    /// A pacer for work that is first due at `first_at` and then at most once per `interval`. After each run,
    /// the work pauses for `rest_factor` times the duration of the run.
    pub fn new(interval: Duration, rest_factor: f64, first_at: MonotonicTime) -> Self {
        Self { interval, rest_factor, next_at: first_at, cost_pending: false }
    }

    /// Whether the work is due.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_at
    }

    /// Records that the work runs in this step.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.next_at = now + self.interval;
        self.cost_pending = true;
    }

    /// Records that the step before this one took `cost`. Call it for every step: the cost of a step in which
    /// the work didn't run is ignored.
    pub fn record_cost(&mut self, cost: Duration, now: MonotonicTime) {
        if std::mem::take(&mut self.cost_pending) {
            self.next_at = self.next_at.max(now + cost.times(self.rest_factor));
        }
    }
}

#[cfg(test)]
mod tests;
