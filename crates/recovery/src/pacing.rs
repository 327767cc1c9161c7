//! How often work that can be put off is done, by what it was measured to cost.

use pearford_types::{Duration, MonotonicTime};

/// A piece of work that comes again and again: at most so often, and within a share of the processor.
///
/// What a leader does on its own account (going through all that waits, planning rentals) grows with the fleet. Done
/// ten times a second whatever it costs, it took all of a leader's processor just after a take-over at four times the
/// machines, the grant was not renewed, and the next leader began again.
#[derive(Debug, Clone)]
pub struct Pacer {
    every: Duration,
    /// For each part of time that the work takes, so many parts go to all else.
    rest: f64,
    next: MonotonicTime,
    /// It was done in the step before this one, whose cost isn't known yet.
    done: bool,
}

impl Pacer {
    pub fn new(every: Duration, rest: f64, first: MonotonicTime) -> Self {
        Self { every, rest, next: first, done: false }
    }

    pub fn due(&self, now: MonotonicTime) -> bool {
        now >= self.next
    }

    /// The work is done in this step.
    pub fn begins(&mut self, now: MonotonicTime) {
        self.next = now + self.every;
        self.done = true;
    }

    /// The step before this one took `cost`, by the clock.
    pub fn cost(&mut self, cost: Duration, now: MonotonicTime) {
        if std::mem::take(&mut self.done) {
            self.next = self.next.max(now + cost.times(self.rest));
        }
    }
}

#[cfg(test)]
mod tests;
