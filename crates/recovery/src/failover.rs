//! How far a new leader has come since the failover, and what it may do meanwhile.
//!
//! It goes machine by machine wherever it can: commands, starts and stops on a machine that is heard don't
//! wait for the other machines. Gated here is what a heartbeat on its way could prove needless: giving a
//! machine up, preempting work, scaling out and in.

use pearford_types::{Duration, MonotonicTime};

/// How far a new leader has come. Phases follow in this order, and none is ever left for an earlier one.
/// Operators see the phase's number in a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailoverPhase {
    /// The stored records are not all read.
    ReadingRecords,
    /// Most machines' heartbeats are still to come.
    CollectingHeartbeats,
    /// Nearly all are in. The rest are probed, and given up one by one if they don't answer.
    Reconciling,
    /// All machines are heard, or every lease from before the failover has expired.
    Steady,
}

/// What a leader does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaderAction {
    /// Answering heartbeats, which renews leases.
    Renew,
    /// Stopping tasks that are surely finished.
    Stop,
    /// Starting tasks on a machine that is heard.
    Start,
    /// Stopping tasks to free resources for others.
    Preempt,
    /// Renting machines.
    ScaleOut,
    /// Returning a machine because it is not heard.
    ReturnUncontacted,
    /// Returning a machine that has had nothing to do.
    ScaleIn,
}

impl FailoverPhase {
    /// What is allowed in which phase. What a phase allows, all later ones allow.
    pub fn allows(self, action: LeaderAction) -> bool {
        let first_phase = match action {
            LeaderAction::Renew | LeaderAction::Stop => FailoverPhase::ReadingRecords,
            LeaderAction::Start => FailoverPhase::CollectingHeartbeats,
            // Resources and machines that are merely unheard come back with their heartbeats.
            LeaderAction::Preempt
            | LeaderAction::ScaleOut
            | LeaderAction::ReturnUncontacted
            | LeaderAction::ScaleIn => FailoverPhase::Reconciling,
        };
        self >= first_phase
    }
}

/// Enough machines are heard to end the collection of heartbeats.
struct Threshold {
    /// The part of all machines that must be heard, from 0 to 1.
    share: f64,
    /// Heartbeat intervals that must have passed since the records were read.
    after_intervals: f64,
}

/// Any of these ends the collection. A worker reports every interval, give or take a quarter, and finds a
/// node within another. Machines that died with the leader must not hold up the rest: with 95% instead, 87
/// dead of 1,300 did so for 12.5 s (simulated fleet "andina", fault "loss").
const THRESHOLDS: [Threshold; 3] = [
    Threshold { share: 0.9, after_intervals: 0.0 },
    Threshold { share: 0.8, after_intervals: 1.5 },
    Threshold { share: 0.67, after_intervals: 2.5 },
];
/// An unheard machine is not given up sooner than so many heartbeat intervals after the records were read.
const GIVE_UP_AFTER_INTERVALS: f64 = 1.9;

/// Follows how many machines a new leader has heard, and decides on its [`FailoverPhase`].
#[derive(Debug, Clone)]
pub struct HeartbeatCollection {
    interval: Duration,
    lease: Duration,
    /// When all records were read.
    records_read_at: Option<MonotonicTime>,
    phase: FailoverPhase,
}

impl HeartbeatCollection {
    /// A leader that has just begun to lead. `interval`: between a worker's heartbeats; `lease`: how long a
    /// worker's tasks live without an answer.
    pub fn new(interval: Duration, lease: Duration) -> Self {
        Self { interval, lease, records_read_at: None, phase: FailoverPhase::ReadingRecords }
    }

    /// The present phase.
    pub fn phase(&self) -> FailoverPhase {
        self.phase
    }

    /// Whether the present phase allows an action.
    pub fn allows(&self, action: LeaderAction) -> bool {
        self.phase.allows(action)
    }

    /// Whether an unheard machine may be given up.
    pub fn may_return_uncontacted(&self, now: MonotonicTime) -> bool {
        let Some(records_read_at) = self.records_read_at else { return false };
        let waited = now.since(records_read_at);
        self.allows(LeaderAction::ReturnUncontacted) && waited >= self.interval.times(GIVE_UP_AFTER_INTERVALS)
    }

    /// All stored records are read: heartbeats can be reconciled from now on.
    pub fn records_read(&mut self, now: MonotonicTime) {
        self.records_read_at.get_or_insert(now);
        self.phase = self.phase.max(FailoverPhase::CollectingHeartbeats);
    }

    /// Notes that `heard` of the `expected` machines have sent a heartbeat to this leader. Returns the phase
    /// if it is a new one.
    ///
    /// The collection ends with nine tenths heard at once, with two thirds after 2.5 intervals, and in any
    /// case once every lease that ran when the records were read has expired: since then an unheard machine
    /// runs nothing.
    pub fn update(&mut self, heard: usize, expected: usize, now: MonotonicTime) -> Option<FailoverPhase> {
        let waited = now.since(self.records_read_at?);
        let next = if waited >= self.lease || heard >= expected {
            FailoverPhase::Steady
        } else if self.are_enough(heard, expected, waited) {
            self.phase.max(FailoverPhase::Reconciling)
        } else {
            self.phase
        };
        let is_new = next > self.phase;
        self.phase = next;
        is_new.then_some(next)
    }

    fn are_enough(&self, heard: usize, expected: usize, waited: Duration) -> bool {
        let share = heard as f64 / expected as f64;
        THRESHOLDS.iter().any(|threshold| {
            share >= threshold.share && waited >= self.interval.times(threshold.after_intervals)
        })
    }
}

#[cfg(test)]
mod tests;
