//! Reconciles a worker's heartbeat with the leader's assignments, case by case.
//!
//! Nothing else decides that a task is gone, may be started, or may be stopped as unknown. The scheduler's
//! record of a worker asks [`reconcile`] for every heartbeat, its leader asks [`adopt`] for every stored
//! assignment after a failover.

/// What the leader's assignments say of one task on one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordedState {
    /// There is no assignment of this attempt.
    Nothing,
    /// An assignment that is not durable yet: no command can have left.
    Planned,
    /// A durable assignment; no command has left.
    Ready,
    /// The start is on its way directly to the worker, whose answer is awaited.
    Direct,
    /// The start has left. It has run by the time that a newer heartbeat is made, or never will; one that
    /// nobody has answered, by the time that the worker epoch has ended.
    Sent,
    /// Read from an earlier leader's record.
    Inherited,
    /// An earlier heartbeat to this leader listed it as alive.
    Listed,
    /// Reported as done; it is kept until that is durable.
    Done,
}

/// What the worker's heartbeat says of that attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedState {
    /// It is not listed.
    Absent,
    /// It fetches its image, or is in a phase that this version does not know.
    Fetching,
    /// It has its image and waits, for the rest of its gang for instance.
    Waiting,
    /// It runs.
    Running,
    /// It saves a checkpoint before it stops.
    Saving,
    /// It has ended and is listed until the worker may forget it.
    Ended(TaskExit),
}

/// How a task ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskExit {
    /// It has done its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped {
        /// It had saved a checkpoint.
        saved: bool,
    },
    /// Another task of the gang is gone, or the gang never was complete.
    GangBroke,
    /// The machine had not enough free resources.
    InsufficientResources,
    /// The worker did not know the job yet, or had another attempt there.
    Refused,
}

/// How a task left its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It ended and its worker reported how.
    Ended(TaskExit),
    /// Its worker epoch ended, and with it all its tasks; or no command for it can act any more.
    Vanished,
    /// It never was there: the start did not arrive, or wasn't sent any more.
    NeverStarted,
}

/// A task on a machine, as recorded and as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// What the leader has recorded.
    pub recorded_state: RecordedState,
    /// It is to stop.
    pub stopping: bool,
    /// What the worker has reported.
    pub reported_state: ReportedState,
    /// The heartbeat was made after the start that has left had run, if it ever ran.
    pub after_command: bool,
    /// The worker had seen this leader's fencing token as it made the heartbeat: no earlier leader's command
    /// can act any more.
    pub saw_fencing_token: bool,
    /// The task is still wanted, and may start again on this machine with the same attempt.
    pub wanted_here: bool,
    /// A start of this attempt, carried out or not, may still come (again) in the present worker epoch.
    pub may_still_arrive: bool,
}

impl Observation {
    /// Of an attempt that the leader has no assignment of.
    pub fn unrecorded(reported_state: ReportedState, may_still_arrive: bool) -> Self {
        Self {
            recorded_state: RecordedState::Nothing,
            stopping: false,
            reported_state,
            after_command: false,
            saw_fencing_token: false,
            wanted_here: false,
            may_still_arrive,
        }
    }
}

/// What follows from an [`Observation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing is proved: the assignment stays as it is.
    Unproved,
    /// It is there, in the phase that the heartbeat says.
    Present,
    /// It is done, which must be recorded before the assignment is removed.
    Done,
    /// It is not there any more.
    Gone(Outcome),
    /// It isn't there, and no command for it can act: it may be started here with this attempt. The
    /// assignment is durable as it is, so this costs no write, and the image is here.
    StartHere,
    /// It is alive and has no assignment: to be stopped.
    Stop,
    /// It has ended and has no assignment: the worker may forget it.
    Forget,
}

/// Reconciles what is recorded with what is reported. `docs/design/recovery.md` has the table with its
/// reasons.
pub fn reconcile(observation: &Observation) -> Decision {
    use {RecordedState::*, ReportedState::*};
    match (observation.recorded_state, observation.reported_state) {
        (Nothing, Absent) => Decision::Unproved,
        // A worker that has forgotten an attempt starts it anew, should a start of it come again.
        (Nothing, Ended(_)) if observation.may_still_arrive => Decision::Unproved,
        (Nothing, Ended(_)) => Decision::Forget,
        (Nothing, _) => Decision::Stop,
        // Recorded first, whatever became of the worker since.
        (Done, _) => Decision::Unproved,
        (_, Ended(TaskExit::Done)) => Decision::Done,
        (_, Fetching | Waiting | Running | Saving) => Decision::Present,
        // No command has left, or its answer will say what became of it.
        (Planned | Ready | Direct, Absent) => Decision::Unproved,
        // An earlier leader may have sent a start of the same attempt in a worker epoch that it knew of, and
        // the start be on its way. (Found by the search of all orders: a late heartbeat of the epoch before
        // had it alive.)
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
    /// Its job is known and not finished.
    pub job_open: bool,
    /// Its task is done.
    pub task_done: bool,
    /// An assignment of a later attempt of its task is stored, too.
    pub superseded: bool,
}

/// What becomes of a stored assignment at a failover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It goes on.
    Keep,
    /// An assignment of a later attempt is stored: that was only planned once this one was proved gone, and
    /// the removal was not written in time.
    Superseded,
    /// Its job is finished or unknown, or the task is done: it is removed if it is proved gone, else stopped.
    Finished,
}

/// Decides what becomes of a stored assignment at a failover.
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
