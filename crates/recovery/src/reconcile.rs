//! What follows from a report and the ledger together, case by case. Nothing else decides that a task is gone, may be
//! ordered, or may be stopped as one that nobody knows.

/// What the ledger says of one task on one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordedState {
    /// Nothing of this attempt.
    Nothing,
    /// An entry that is not durable yet: no order can have left.
    Planned,
    /// A durable entry; no order has left.
    Ready,
    /// Its start is on its way straight to the worker, whose answer is awaited.
    Direct,
    /// Its start has left. It has run by the time that a newer report is made or never will; one that nobody has
    /// answered, by the time that the worker's session is over.
    Sent,
    /// Read from an earlier leader's record.
    Inherited,
    /// An earlier report to this leader had it alive.
    Listed,
    /// Reported as done; waits until that is durable.
    Done,
}

/// What the worker's report says of that attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedState {
    Absent,
    /// Fetching, or in a phase that this version does not know.
    Fetching,
    Waiting,
    Running,
    Saving,
    Ended(TaskExit),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskExit {
    Done,
    Failed,
    Stopped {
        saved: bool,
    },
    /// Another task of the gang is gone, or the gang never was complete.
    GangBroke,
    NoRoom,
    /// The worker did not know the job yet, or had another attempt there.
    Refused,
}

/// How a task left its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Ended(TaskExit),
    /// Its worker's session ended, and with it all its tasks; or no order for it can act any more.
    Vanished,
    /// It never was there: the order did not arrive, or wasn't sent any more.
    NeverStarted,
}

/// A task on a machine, as stored and as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    pub recorded_state: RecordedState,
    /// It is to stop.
    pub stopping: bool,
    pub reported_state: ReportedState,
    /// The report was made after the start that has left had run, if it ever ran.
    pub after_command: bool,
    /// The worker had seen this leader's fence as it made the report: no earlier leader's order can act any more.
    pub under_fencing_token: bool,
    /// The task is still wanted, and may start again on this machine with the same attempt.
    pub wanted_here: bool,
    /// A start of this attempt, carried out or not, may still come (again) in the worker's present session.
    pub may_still_arrive: bool,
}

impl Observation {
    /// Of an attempt that the ledger does not have.
    pub fn unrecorded(reported_state: ReportedState, may_still_arrive: bool) -> Self {
        Self {
            recorded_state: RecordedState::Nothing,
            stopping: false,
            reported_state,
            after_command: false,
            under_fencing_token: false,
            wanted_here: false,
            may_still_arrive,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing is proved: the entry stays as it is.
    Unproved,
    /// It is there, in the phase that the report says.
    There,
    /// It is done: to be recorded before the entry goes.
    Done,
    Gone(Outcome),
    /// It isn't there, and no order for it can act: it may be ordered to start, here and with this attempt. The entry
    /// is durable as it is, so this costs no change, and the image is here.
    StartHere,
    /// Alive, and not in the ledger: to be stopped.
    Stop,
    /// Ended, and not in the ledger: the worker may forget it.
    Forget,
}

/// Squares what is stored with what is reported. `docs/design/recovery.md` has the table with its reasons.
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
        (_, Fetching | Waiting | Running | Saving) => Decision::There,
        // No order has left, or its answer will say what became of it.
        (Planned | Ready | Direct, Absent) => Decision::Unproved,
        // An earlier leader may have ordered the same attempt in a session that it knew of, and the order be on its
        // way. (Found by the search of all orders: a late report from the session before had it alive.)
        _ if !observation.under_fencing_token => Decision::Unproved,
        (_, Ended(task_exit)) => Decision::Gone(Outcome::Ended(task_exit)),
        (Sent, Absent) => match (observation.after_command, observation.stopping) {
            (false, _) => Decision::Unproved,
            (true, true) => Decision::Gone(Outcome::NeverStarted),
            (true, false) => Decision::StartHere,
        },
        (Inherited | Listed, Absent) if observation.wanted_here && !observation.stopping => {
            Decision::StartHere
        }
        (Inherited | Listed, Absent) => Decision::Gone(Outcome::Vanished),
    }
}

/// What becomes of a stored entry at a take-over, by its job and the other entries of its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    Keep,
    /// An entry of a later attempt is stored: that was only planned once this one was proved gone, and the removal
    /// was not written in time.
    Superseded,
    /// Its job is over or unknown, or the task is done: off the ledger if that is proved, else stopped.
    Over,
}

pub fn adopt(job_open: bool, task_done: bool, superseded: bool) -> Adoption {
    match (superseded, job_open && !task_done) {
        (true, _) => Adoption::Superseded,
        (false, true) => Adoption::Keep,
        (false, false) => Adoption::Over,
    }
}

#[cfg(test)]
mod tests;
