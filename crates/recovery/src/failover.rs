//! How far a new leader is, and what it may do meanwhile.
//!
//! It goes machine by machine wherever it can: orders, starts and stops on a machine that is heard don't wait for the
//! others. What is gated here is what a report on its way could prove needless: giving a machine up, stopping work to
//! make room, renting.

use pearford_types::{Duration, MonotonicTime};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailoverPhase {
    /// The stored records are not all read.
    ReadingRecords,
    /// Most machines' reports are still to come.
    CollectingHeartbeats,
    /// Nearly all are in; the rest are asked, and given up one by one if they don't answer.
    Reconciling,
    Steady,
}

/// What a leader does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaderAction {
    /// Answering reports, which renews leases.
    Renew,
    /// Stopping what is surely over.
    Stop,
    /// Starting work on a machine that is heard.
    Start,
    /// Stopping work to make room for other work.
    Preempt,
    Rent,
    /// Returning a machine because it is not heard.
    GiveUp,
    /// Returning a machine that has had nothing to do.
    ReturnIdle,
}

impl FailoverPhase {
    /// The one table of what is allowed when.
    pub fn allows(self, act: LeaderAction) -> bool {
        match act {
            LeaderAction::Renew | LeaderAction::Stop => true,
            LeaderAction::Start => self >= FailoverPhase::CollectingHeartbeats,
            // Room and machines that are merely unheard come back with their reports.
            LeaderAction::Preempt | LeaderAction::Rent | LeaderAction::GiveUp | LeaderAction::ReturnIdle => {
                self >= FailoverPhase::Reconciling
            }
        }
    }
}

/// Parts of the machines that are heard for gathering to end, and after how many intervals. A worker reports every
/// interval, give or take a quarter, and finds a node within another. Machines that died with the leader must not hold
/// up the rest: with 95% instead, 87 dead of 1,300 did so for 12.5 s (andina fleet, loss).
const ENOUGH: [(f64, f64); 3] = [(0.9, 0.0), (0.8, 1.5), (0.67, 2.5)];
/// An unheard machine is not given up sooner.
const GIVE_UP_AFTER: f64 = 1.9;

/// What is waited for.
#[derive(Debug, Clone)]
pub struct HeartbeatCollection {
    interval: Duration,
    lease: Duration,
    read_at: Option<MonotonicTime>,
    phase: FailoverPhase,
}

impl HeartbeatCollection {
    /// `interval`: of workers' reports; `lease`: how long their tasks live without an answer.
    pub fn new(interval: Duration, lease: Duration) -> Self {
        Self { interval, lease, read_at: None, phase: FailoverPhase::ReadingRecords }
    }

    pub fn phase(&self) -> FailoverPhase {
        self.phase
    }

    pub fn allows(&self, act: LeaderAction) -> bool {
        self.phase.allows(act)
    }

    /// Whether an unheard machine may be given up.
    pub fn may_give_up(&self, now: MonotonicTime) -> bool {
        let waited = self.read_at.map(|at| now.since(at));
        self.allows(LeaderAction::GiveUp) && waited.is_some_and(|w| w >= self.interval.times(GIVE_UP_AFTER))
    }

    pub fn records_read(&mut self, now: MonotonicTime) {
        self.read_at.get_or_insert(now);
        self.phase = self.phase.max(FailoverPhase::CollectingHeartbeats);
    }

    /// `heard` of `all` machines that should report have. Gives the phase if it is a new one; none is ever left for
    /// an earlier one.
    ///
    /// Bounds: with nine tenths heard at once, with two thirds after 2.5 intervals; in any case once every lease that ran
    /// when the records were read is over, since then what is unheard runs nothing.
    pub fn heard(&mut self, heard: usize, all: usize, now: MonotonicTime) -> Option<FailoverPhase> {
        let waited = now.since(self.read_at?);
        let share = if all == 0 { 1.0 } else { heard as f64 / all as f64 };
        let next = match self.phase {
            FailoverPhase::ReadingRecords => return None,
            _ if waited >= self.lease || heard >= all => FailoverPhase::Steady,
            phase => {
                let enough = |(part, intervals): &(f64, f64)| {
                    share >= *part && waited >= self.interval.times(*intervals)
                };
                if ENOUGH.iter().any(enough) { phase.max(FailoverPhase::Reconciling) } else { phase }
            }
        };
        let new = next > self.phase;
        self.phase = next;
        new.then_some(next)
    }
}

#[cfg(test)]
mod tests;
