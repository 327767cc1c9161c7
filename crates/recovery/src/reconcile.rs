//! Reconciles a worker's heartbeat with the leader's assignments, task by task.
//!
//! Only this module decides that a task is gone, may be started, or is to be stopped as unknown. The
//! scheduler calls [`reconcile`] for the tasks of each heartbeat, and its leader calls [`adopt`] for each
//! stored assignment after a failover.

/// State of one attempt of a task on one machine according to the leader's assignments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordedState {
    /// There is no assignment of this attempt.
    Nothing,
    /// An assignment that is not durable yet: no command was sent.
    Planned,
    /// A durable assignment; no command was sent.
    Ready,
    /// The start was sent in a direct command to the worker, whose answer is pending.
    Direct,
    /// The start was sent. Once the worker makes a newer heartbeat, the start has taken effect or never will.
    /// An unacknowledged start may take effect until the worker epoch ends.
    Sent,
    /// The assignment was read from an earlier leader's record.
    Inherited,
    /// An earlier heartbeat to this leader listed the task as alive.
    Listed,
    /// The task was reported as done; the assignment is kept until the result is durable.
    Done,
}

/// State of the attempt according to the worker's heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedState {
    /// The heartbeat doesn't list the attempt.
    Absent,
    /// The task fetches its image, or is in a phase that this version does not know.
    Fetching,
    /// The task has its image and waits, for example for the other tasks of its gang.
    Waiting,
    /// The task runs.
    Running,
    /// The task saves a checkpoint before it stops.
    Saving,
    /// The task has ended; the worker lists it until the leader lets it forget the task.
    Ended(TaskExit),
}

/// How a task ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskExit {
    /// It completed successfully.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped {
        /// Whether it saved a checkpoint.
        saved: bool,
    },
    /// Another task of the gang is gone, or the gang never became complete.
    GangBroke,
    /// The machine didn't have enough free resources.
    InsufficientResources,
    /// The worker did not know the job yet, or had another attempt of the task.
    Refused,
}

/// Reason why a task is not on its machine any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The worker reported the end of the task.
    Ended(TaskExit),
    /// The task is not listed any more: the worker epoch, and with it all tasks of the worker, has ended, or
    /// no command for the task can take effect any more.
    Vanished,
    /// The task never ran on the machine: its start did not arrive, or was not sent.
    NeverStarted,
}

/// A task on a machine, as recorded and as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The leader's recorded state.
    pub recorded_state: RecordedState,
    /// Whether a stop of the task is requested.
    pub stopping: bool,
    /// The state that the worker reported.
    pub reported_state: ReportedState,
    /// Whether the heartbeat was made after the point at which the sent start had taken effect, if it ever
    /// did.
    pub after_command: bool,
    /// Whether the worker had seen this leader's fencing token when it made the heartbeat. From then on, no
    /// command of an earlier leader can take effect.
    pub saw_fencing_token: bool,
    /// Whether the task is still wanted and may start again on this machine with the same attempt.
    pub wanted_here: bool,
    /// Whether a start of this attempt may still arrive in the present worker epoch, for the first time or
    /// again.
    pub start_may_arrive: bool,
}

impl Observation {
    /// An observation of an attempt for which the leader has no assignment.
    pub fn unrecorded(reported_state: ReportedState, start_may_arrive: bool) -> Self {
        Self {
            recorded_state: RecordedState::Nothing,
            stopping: false,
            reported_state,
            after_command: false,
            saw_fencing_token: false,
            wanted_here: false,
            start_may_arrive,
        }
    }
}

/// The leader's reaction to an [`Observation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The observation proves nothing: the assignment is kept unchanged.
    Unproved,
    /// The task is on the machine, in the reported phase.
    Present,
    /// The task is done. The result must be durable before the assignment is removed.
    Done,
    /// The task is not on the machine any more.
    Gone(Outcome),
    /// The task is not on the machine, and no command for it can take effect: it may be started there with
    /// the same attempt. This needs no write, since the assignment is durable, and the machine has the image.
    StartHere,
    /// The task is alive and has no assignment: it is to be stopped.
    Stop,
    /// The task has ended and has no assignment: the worker may forget it.
    Forget,
}

/// Reconciles the recorded with the reported state. `docs/design/recovery.md` has the decision table and the
/// reason for each row.
pub fn reconcile(observation: &Observation) -> Decision {
    use {RecordedState::*, ReportedState::*};
    match (observation.recorded_state, observation.reported_state) {
        (Nothing, Absent) => Decision::Unproved,
        // If a start of the attempt arrives again after the worker has forgotten it, the worker starts it
        // again.
        (Nothing, Ended(_)) if observation.start_may_arrive => Decision::Unproved,
        (Nothing, Ended(_)) => Decision::Forget,
        (Nothing, _) => Decision::Stop,
        // The result must become durable first, whatever the worker reports.
        (Done, _) => Decision::Unproved,
        (_, Ended(TaskExit::Done)) => Decision::Done,
        (_, Fetching | Waiting | Running | Saving) => Decision::Present,
        // No command was sent, or the answer to the direct command is still to come.
        (Planned | Ready | Direct, Absent) => Decision::Unproved,
        // An earlier leader may have sent a start of the same attempt in a worker epoch that it knew, and the
        // start may still arrive. This can happen even if the task was listed, since the listing may come
        // from a delayed heartbeat of the previous epoch.
        _ if !observation.saw_fencing_token => Decision::Unproved,
        (_, Ended(task_exit)) => Decision::Gone(Outcome::Ended(task_exit)),
        (Sent, Absent) if !observation.after_command => Decision::Unproved,
        (Sent, Absent) if observation.stopping => Decision::Gone(Outcome::NeverStarted),
        (Sent, Absent) => Decision::StartHere,
        (Inherited | Listed, Absent) if observation.wanted_here && !observation.stopping => {
            Decision::StartHere
        }
        (Inherited | Listed, Absent) => Decision::Gone(Outcome::Vanished),
    }
}

/// A stored assignment that a new leader has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedAssignment {
    /// Whether its job is known and not finished.
    pub job_open: bool,
    /// Whether its task is done.
    pub task_done: bool,
    /// Whether an assignment of a later attempt of its task is stored too.
    pub superseded: bool,
}

/// What a new leader does with a stored assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The assignment is kept.
    Keep,
    /// The assignment is removed, because one of a later attempt is stored. A later attempt is planned only
    /// after the earlier one was proved to be gone, so its removal was not written in time.
    Superseded,
    /// The job is finished or unknown, or the task is done: the assignment is removed if the task is proved
    /// to be gone; otherwise the task is stopped.
    Finished,
}

/// Decides what a new leader does with a stored assignment.
pub fn adopt(assignment: &InheritedAssignment) -> Adoption {
    if assignment.superseded {
        Adoption::Superseded
    } else if assignment.job_open && !assignment.task_done {
        Adoption::Keep
    } else {
        Adoption::Finished
    }
}

#[cfg(test)]
mod tests;
