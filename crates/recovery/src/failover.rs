//! Phases of a new leader after a failover, and the actions that each phase allows.
//!
//! Starts and other commands on a machine that has sent a heartbeat don't wait for the other machines.
//! Actions that a heartbeat still to come could show to be unnecessary are deferred to a later phase:
//! returning machines, preempting tasks, scaling out and in.

use pearford_types::{Duration, MonotonicTime};

/// Phase of a new leader. Phases follow in this order; a leader never returns to an earlier one. A metric
/// shows the phase's number to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailoverPhase {
    /// Not all stored records are read.
    ReadingRecords,
    /// Too few machines have sent a heartbeat to this leader.
    CollectingHeartbeats,
    /// Most machines have sent a heartbeat. The others are probed, and each one that doesn't answer is
    /// returned.
    Reconciling,
    /// All machines have sent a heartbeat, or every worker lease from before the failover has expired.
    Steady,
}

/// An action of a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaderAction {
    /// Answering heartbeats, which renews the workers' leases.
    Renew,
    /// Stopping tasks that are known to be finished.
    Stop,
    /// Starting tasks on a machine that has sent a heartbeat.
    Start,
    /// Stopping tasks to free resources for others.
    Preempt,
    /// Renting machines.
    ScaleOut,
    /// Returning a machine because it has sent no heartbeat.
    ReturnUncontacted,
    /// Returning an idle machine.
    ScaleIn,
}

impl FailoverPhase {
    /// Whether this phase allows `action`. Later phases allow everything that earlier ones allow.
    pub fn allows(self, action: LeaderAction) -> bool {
        let first_phase = match action {
            LeaderAction::Renew | LeaderAction::Stop => FailoverPhase::ReadingRecords,
            LeaderAction::Start => FailoverPhase::CollectingHeartbeats,
            // Machines that sent no heartbeat yet may still do so, and their resources then need no
            // replacement.
            LeaderAction::Preempt
            | LeaderAction::ScaleOut
            | LeaderAction::ReturnUncontacted
            | LeaderAction::ScaleIn => FailoverPhase::Reconciling,
        };
        self >= first_phase
    }
}

/// A condition that ends the collection of heartbeats.
struct Threshold {
    /// Share of all machines that must have sent a heartbeat, from 0 to 1.
    share: f64,
    /// Heartbeat intervals that must have passed since the records were read.
    after_intervals: f64,
}

/// Any of these ends the collection. A worker sends a heartbeat every interval, plus or minus a quarter, and
/// finds a node that answers within another interval. Machines that failed together with the leader must not
/// delay the others: with a threshold of 95%, 87 failed machines of 1,300 delayed them by 12.5 s.
const THRESHOLDS: [Threshold; 3] = [
    Threshold { share: 0.9, after_intervals: 0.0 },
    Threshold { share: 0.8, after_intervals: 1.5 },
    Threshold { share: 0.67, after_intervals: 2.5 },
];
/// Heartbeat intervals after the reading of the records before which no machine is returned for lack of a
/// heartbeat.
const RETURN_AFTER_INTERVALS: f64 = 1.9;

/// Counts the machines that have sent a heartbeat to a new leader, and determines its [`FailoverPhase`].
#[derive(Debug, Clone)]
pub struct HeartbeatCollection {
    interval: Duration,
    lease: Duration,
    /// When all records were read.
    records_read_at: Option<MonotonicTime>,
    phase: FailoverPhase,
}

impl HeartbeatCollection {
    /// The state at the start of a leader's term. `interval` is the time between a worker's heartbeats, and
    /// `lease` the time after which a worker without an answer kills its tasks.
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

    /// Whether a machine that has sent no heartbeat may be returned.
    pub fn may_return_uncontacted(&self, now: MonotonicTime) -> bool {
        let Some(records_read_at) = self.records_read_at else { return false };
        let waited = now.since(records_read_at);
        self.allows(LeaderAction::ReturnUncontacted) && waited >= self.interval.times(RETURN_AFTER_INTERVALS)
    }

    /// Records that all stored records are read, so that heartbeats can be reconciled.
    pub fn records_read(&mut self, now: MonotonicTime) {
        self.records_read_at.get_or_insert(now);
        self.phase = self.phase.max(FailoverPhase::CollectingHeartbeats);
    }

    /// Records that `contacted` of the `expected` machines have sent a heartbeat to this leader. Returns the
    /// new phase if it changed.
    ///
    /// The collection ends immediately at nine tenths of the machines, after 1.5 intervals at 80%, and after
    /// 2.5 intervals at two thirds. It ends in any case once every worker lease that was valid when the
    /// records were read has expired: a machine without a heartbeat then runs no tasks.
    pub fn update(&mut self, contacted: usize, expected: usize, now: MonotonicTime) -> Option<FailoverPhase> {
        let waited = now.since(self.records_read_at?);
        let next = if waited >= self.lease || contacted >= expected {
            FailoverPhase::Steady
        } else if self.reaches_threshold(contacted, expected, waited) {
            self.phase.max(FailoverPhase::Reconciling)
        } else {
            self.phase
        };
        let is_new = next > self.phase;
        self.phase = next;
        is_new.then_some(next)
    }

    fn reaches_threshold(&self, contacted: usize, expected: usize, waited: Duration) -> bool {
        let share = contacted as f64 / expected as f64;
        THRESHOLDS.iter().any(|threshold| {
            share >= threshold.share && waited >= self.interval.times(threshold.after_intervals)
        })
    }
}

#[cfg(test)]
mod tests;
