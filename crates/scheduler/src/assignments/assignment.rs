//! One task's assignment to a machine, as the leader keeps it in memory.

use super::machine_record::assignment_bytes;
use crate::types::{Attempt, MonotonicTime, Resources, TaskId, TeamName, WorkerEpoch};
use pearford_recovery::RecordedState;

/// Serial number of an unacknowledged start: it may still arrive until the worker epoch ends.
pub const UNACKNOWLEDGED_SERIAL: u64 = u64::MAX;

/// Progress of an assignment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssignmentState {
    /// Not durable yet: no command for it may be sent.
    Planned,
    /// Durable; the start may be sent.
    Ready,
    /// The start was sent in the answer to the heartbeat with this epoch and serial number.
    Sent {
        /// The worker epoch of the heartbeat.
        worker_epoch: WorkerEpoch,
        /// The heartbeat's serial number within that epoch, or [`UNACKNOWLEDGED_SERIAL`].
        serial: u64,
    },
    /// The start was sent in a direct command to the worker, whose answer is pending.
    Direct,
    /// Read from the record of an earlier leader: the task may or may not be on the machine.
    Inherited,
    /// Reported as fetching its image or waiting for its gang.
    Preparing,
    /// Reported as running.
    Running,
    /// Reported as saving a checkpoint.
    Saving,
    /// Reported as done; kept until the result is durable. The task is no longer on the machine.
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

    /// Whether the start was sent before the heartbeat with this epoch and serial number: when the worker
    /// sent that heartbeat, the start had arrived or could not arrive any more.
    pub fn is_before(&self, worker_epoch: WorkerEpoch, serial: u64) -> bool {
        match self {
            Self::Sent { worker_epoch: sent_epoch, serial: sent_serial } => {
                (worker_epoch, serial) > (*sent_epoch, *sent_serial)
            }
            _ => false,
        }
    }
}

/// A requested stop of a task, sent to the worker or not yet sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    /// Seconds that the task has to save a checkpoint; 0 kills it immediately.
    pub grace_s: f64,
    /// When the stop was decided.
    pub since: MonotonicTime,
    /// Whether a direct command for the stop was sent.
    pub sent: bool,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Number of this start of the task.
    pub attempt: Attempt,
    /// The team whose quota the assignment counts against.
    pub team: TeamName,
    /// Resources that the task takes on the machine.
    pub resources: Resources,
    /// Progress of the assignment.
    pub state: AssignmentState,
    /// The requested stop, if any.
    pub stop: Option<Stop>,
    /// When a heartbeat last reported that the task had begun to run.
    pub running_since: Option<MonotonicTime>,
    /// When this leader planned the assignment or read it from a record.
    pub planned_at: MonotonicTime,
    /// Whether a heartbeat reported that the task has its image.
    pub has_image: bool,
    /// Whether the start is held back until the other tasks of the gang have their images. Set for a gang's
    /// task whose image is already on its machine: started earlier, it would time out after `gang_wait_s`.
    pub waits_for_gang_fetches: bool,
    /// Bytes that the assignment takes in its machine's record.
    pub bytes: usize,
}

impl Assignment {
    /// An assignment without a stop, of a task that no heartbeat has reported yet.
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

    /// Whether no start command was sent to the worker.
    pub fn is_unsent(&self) -> bool {
        matches!(self.state, AssignmentState::Planned | AssignmentState::Ready)
    }
}
