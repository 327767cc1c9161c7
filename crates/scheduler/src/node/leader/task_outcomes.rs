//! Ends of tasks: recording of results, processing of durable results, and tasks that ended without one.

use super::Leader;
use super::commits::PendingOutcome;
use super::job_changes::progress_key;
use super::machine_health::JOB_FAULT_THRESHOLD;
use crate::assignments::{self, AssignmentState, CommitPriority, WriteVersion};
use crate::gangs;
use crate::jobs::{self, JobType, Record};
use crate::placement::PlacementOutcome;
use crate::types::{Duration, JobId, MachineId, MonotonicTime, TaskId};
use crate::workers::Outcome;
use pearford_recovery::TaskExit;

/// Number of consecutive failures of a job's tasks from which the job's next start is delayed.
const FAILURES_BEFORE_DELAY: u32 = 3;
/// Half of the first such delay, in milliseconds; each further failure doubles the delay.
const FAILURE_DELAY_MS: u64 = 250;
/// Upper bound on the number of doublings.
const MAX_DELAY_DOUBLINGS: u32 = 7;
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
        job_state.consecutive_failures = 0;
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
        let mut failures = None;
        match outcome {
            Outcome::Ended(TaskExit::Failed) => {
                job_state.consecutive_failures += 1;
                job_state.not_before = now + failure_delay(job_state.consecutive_failures);
                failures = Some(job_state.consecutive_failures);
                if job_state.consecutive_failures < JOB_FAULT_THRESHOLD {
                    let kind = job_state.job.spec.kind.clone();
                    let outcome = PlacementOutcome { machine: id.clone(), kind, success: false };
                    self.broadcaster.add_outcome(outcome);
                }
            }
            Outcome::Ended(TaskExit::Refused | TaskExit::InsufficientResources) => {
                job_state.not_before = now + REFUSAL_DELAY;
            }
            _ => {}
        }
        if gangs::is_broken(job_state) {
            self.stop_job(&task.job, 0.0, now);
        }
        if let Some(failures) = failures {
            self.record_failed_job(id, &task.job, failures);
        }
    }
}

/// How long a job's next start is delayed after `failures` consecutive failures. A single failure is more
/// likely the machine's fault; several may be the job's.
fn failure_delay(failures: u32) -> Duration {
    if failures < FAILURES_BEFORE_DELAY {
        return Duration::from_millis(0);
    }
    let doublings = (failures - (FAILURES_BEFORE_DELAY - 1)).min(MAX_DELAY_DOUBLINGS);
    Duration::from_millis(FAILURE_DELAY_MS << doublings)
}
