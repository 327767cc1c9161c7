//! One task's assignment to a machine, as the leader keeps it in memory.

use super::machine_record::assignment_bytes;
use crate::types::{Attempt, MonotonicTime, Resources, TaskId, TeamName, WorkerEpoch};
use pearford_recovery::RecordedState;

/// Serial number of a start that was sent without an acknowledgement: it may arrive until the worker's run ends.
pub const UNACKNOWLEDGED_SERIAL: u64 = u64::MAX;

/// How far an assignment is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssignmentState {
    /// Not durable yet: no command may be sent.
    Planned,
    /// Durable; the start may be sent.
    Ready,
    /// The start was sent in the answer to the heartbeat with this epoch and serial number.
    Sent {
        /// The run of the worker that sent the heartbeat.
        worker_epoch: WorkerEpoch,
        /// The heartbeat's number within that run, or [`UNACKNOWLEDGED_SERIAL`].
        serial: u64,
    },
    /// The start was sent directly to the worker, whose answer is awaited.
    Direct,
    /// Read from the record of an earlier leader: the task may or may not be on the machine.
    Inherited,
    /// Reported as fetching its image or waiting for its gang.
    Preparing,
    /// Reported as running.
    Running,
    /// Reported as saving a checkpoint.
    Saving,
    /// Reported as done, and kept until that is durable. The task is no longer on the machine.
    Done,
}

impl AssignmentState {
    /// The state in terms of reconciliation's decision table.
    pub fn recorded_state(&self) -> RecordedState {
        match self {
            Self::Planned => RecordedState::Planned,
            Self::Ready => RecordedState::Ready,
            Self::Sent { .. } => RecordedState::Sent,
            Self::Direct => RecordedState::Direct,
            Self::Inherited => RecordedState::Inherited,
            Self::Preparing | Self::Running | Self::Saving => RecordedState::Listed,
            Self::Done => RecordedState::Done,
        }
    }

    /// Whether a start that was sent had arrived, if it ever did, when the worker sent the heartbeat with this
    /// epoch and serial number.
    pub fn is_before(&self, worker_epoch: WorkerEpoch, serial: u64) -> bool {
        match self {
            Self::Sent { worker_epoch: sent_epoch, serial: sent_serial } => {
                (worker_epoch, serial) > (*sent_epoch, *sent_serial)
            }
            _ => false,
        }
    }
}

/// A stop of a task that is wanted or under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    /// Seconds that the task is given to save a checkpoint; 0 kills it at once.
    pub grace_s: f64,
    /// When the stop was decided.
    pub since: MonotonicTime,
    /// Whether a direct command for it was sent.
    pub sent: bool,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The start of the task that this is.
    pub attempt: Attempt,
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// What the task takes of the machine.
    pub resources: Resources,
    /// How far the assignment is.
    pub state: AssignmentState,
    /// The stop that is wanted, if any.
    pub stop: Option<Stop>,
    /// When the task was last seen to begin to run.
    pub running_since: Option<MonotonicTime>,
    /// When this leader planned the assignment or read it from a record.
    pub planned_at: MonotonicTime,
    /// Whether the task was seen to have its image.
    pub has_image: bool,
    /// A gang's task whose image is on the machine already: it starts once the others have theirs, or it would
    /// give up waiting for them after `gang_wait_s`.
    pub waits_for_gang_fetches: bool,
    /// Bytes that the assignment takes in its machine's record.
    pub bytes: usize,
}

impl Assignment {
    /// An assignment without a stop, of a task that was not seen on the machine yet.
    pub fn new(
        task: &TaskId,
        attempt: Attempt,
        team: TeamName,
        resources: Resources,
        state: AssignmentState,
        now: MonotonicTime,
    ) -> Self {
        let bytes = assignment_bytes(task, attempt, &team, &resources);
        Self {
            attempt,
            team,
            resources,
            state,
            stop: None,
            running_since: None,
            planned_at: now,
            has_image: false,
            waits_for_gang_fetches: false,
            bytes,
        }
    }

    /// Whether the task may be on the machine.
    pub fn occupies(&self) -> bool {
        self.state != AssignmentState::Done
    }

    /// Whether the task was reported as running.
    pub fn is_running(&self) -> bool {
        matches!(self.state, AssignmentState::Running | AssignmentState::Saving)
    }

    /// Whether no start command for it can have reached the worker.
    pub fn is_unsent(&self) -> bool {
        matches!(self.state, AssignmentState::Planned | AssignmentState::Ready)
    }
}
