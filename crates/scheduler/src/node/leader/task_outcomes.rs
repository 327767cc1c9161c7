//! Ends of tasks: recording of results, processing of durable results, and tasks that ended without one.

use super::Leader;
use super::commits::PendingOutcome;
use super::job_changes::progress_key;
use crate::assignments::{self, AssignmentState, CommitPriority, WriteVersion};
use crate::gangs;
use crate::jobs::{self, JobType, Record};
use crate::placement::PlacementOutcome;
use crate::types::{Duration, JobId, MachineId, MonotonicTime, TaskId};
use crate::workers::Outcome;
use pearford_recovery::TaskExit;

/// Delay before the next start of a job after a machine refused one of its tasks.
const REFUSAL_DELAY: Duration = Duration::from_millis(1000);
/// How long no task is placed on a machine that had insufficient resources for one.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(2000);

/// A queued record and its version.
pub(super) struct QueuedRecord {
    /// The record's key.
    key: String,
    /// The version of the key's value.
    version: WriteVersion,
}

impl Leader {
    /// Processes a worker's report that a task is done: queues the record of the result. The assignment is
    /// removed once that record is durable.
    pub(super) fn task_done(&mut self, id: &MachineId, task: &TaskId, now: MonotonicTime) {
        let Some(job_state) = self.job_states.get_mut(&task.job) else {
            // The job has a terminal status, so no result needs to be recorded.
            return self.remove_assignment(id, task, now);
        };
        if job_state.job.spec.job_type == JobType::Service {
            // Services run until they are cancelled: a replica that ends by itself is replaced.
            job_state.unplace(task.index, id);
            return self.remove_assignment(id, task, now);
        }
        job_state.failures.record_success();
        let kind = job_state.job.spec.kind.clone();
        if job_state.is_gang() {
            // The tasks of a gang complete together: if one is done, all are.
            (0..job_state.job.spec.tasks).for_each(|index| job_state.mark_done(index));
        } else {
            job_state.mark_done(task.index);
        }
        let all_done = job_state.all_done();
        self.broadcaster.add_outcome(PlacementOutcome { machine: id.clone(), kind, success: true });
        if let Some(machine) = self.machines.get_mut(id) {
            machine.failed_jobs.clear();
        }
        let record = if all_done { self.record_job_done(&task.job) } else { self.record_progress(task) };
        let outcome = PendingOutcome { version: record.version, machine: id.clone(), task: task.clone() };
        self.commits.add_pending_outcome(record.key, outcome);
        self.capacity_version += 1;
    }

    /// Queues the record of the job's finished tasks. The write is not urgent: the worker continues to report
    /// the task as done until the record is durable.
    fn record_progress(&mut self, task: &TaskId) -> QueuedRecord {
        let chunk = task.index / jobs::TASKS_PER_CHUNK;
        let key = progress_key(&task.job, chunk);
        let job_state = self.job_states.get(&task.job);
        let value = job_state.map(|job_state| job_state.done().chunk_value(chunk));
        let version = self.commits.put(&key, value, CommitPriority::Normal);
        QueuedRecord { key, version }
    }

    /// Queues the record that a job is done.
    pub(super) fn record_job_done(&mut self, id: &JobId) -> QueuedRecord {
        let key = jobs::key(id);
        if let Some(job_state) = self.job_states.get_mut(id) {
            job_state.finishing = true;
        }
        let value = Some(Record::Done.to_value());
        let version = self.commits.put(&key, value, CommitPriority::Urgent);
        QueuedRecord { key, version }
    }

    /// Processes the confirmation that a version of a key is durable. Returns the job that this record marks
    /// as done, if it does.
    pub(super) fn write_durable(
        &mut self,
        key: &str,
        version: WriteVersion,
        now: MonotonicTime,
    ) -> Option<JobId> {
        if let Some(id) = key.strip_prefix(assignments::PREFIX) {
            self.record_durable(&MachineId::from(id), version);
            return None;
        }
        for outcome in self.commits.take_durable_outcomes(key, version) {
            self.outcome_durable(&outcome, now);
        }
        let id: JobId = key.strip_prefix(jobs::PREFIX)?.into();
        let done = self.job_states.get(&id).is_some_and(|job_state| job_state.finishing);
        done.then_some(id)
    }

    /// Removes the assignment of a task whose result is durable.
    fn outcome_durable(&mut self, outcome: &PendingOutcome, now: MonotonicTime) {
        let PendingOutcome { machine: id, task, .. } = outcome;
        if let Some(machine) = self.machines.get_mut(id)
            && machine.assignments.get(task).is_some_and(|known| known.state == AssignmentState::Done)
        {
            machine.assignments.remove(task);
            self.commits.mark_changed(id.clone());
        }
        if let Some(job_state) = self.job_states.get_mut(&task.job) {
            job_state.unplace(task.index, id);
        }
        self.machines.recount(id, now);
    }

    /// Processes the proof that a task that is not done is no longer on its machine, or never was.
    pub(super) fn task_ended_unfinished(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        outcome: Outcome,
        now: MonotonicTime,
    ) {
        self.commits.mark_changed(id.clone());
        self.capacity_version += 1;
        if outcome == Outcome::Ended(TaskExit::InsufficientResources)
            && let Some(machine) = self.machines.get_mut(id)
        {
            machine.no_placement_before = now + NO_CAPACITY_PAUSE;
        }
        let Some(job_state) = self.job_states.get_mut(&task.job) else { return };
        job_state.unplace(task.index, id);
        tracing::debug!(%task, machine = %id, ?outcome, "assignment ended before the task was done");
        match outcome {
            Outcome::Ended(TaskExit::Failed) => self.task_failed(id, &task.job, now),
            Outcome::Ended(TaskExit::Refused | TaskExit::InsufficientResources) => {
                job_state.not_before = now + REFUSAL_DELAY;
            }
            _ => {}
        }
        if self.job_states.get(&task.job).is_some_and(gangs::is_broken) {
            self.stop_job(&task.job, 0.0, now);
        }
    }
}
