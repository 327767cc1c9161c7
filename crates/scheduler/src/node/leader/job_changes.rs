//! Processing of changed job records: jobs that have become ready to run, and jobs that are cancelled or
//! done.

use super::Leader;
use crate::assignments::{AssignmentState, CommitPriority};
use crate::jobs::{
    self, CachedJob, JobCache, JobMilestone, JobState, OpenJob, PROGRESS_PREFIX, Phase, Record,
};
use crate::types::{JobId, MachineId, MonotonicTime, TaskId};
use std::sync::Arc;

impl Leader {
    /// Processes the change of a job's record. A job gets a state, which it needs for any of its tasks to be
    /// placed, once all jobs that it needs are durably done.
    pub(super) fn job_changed(&mut self, job_cache: &JobCache, id: &JobId, now: MonotonicTime) {
        let Some(known) = job_cache.get(id) else { return };
        if let Some(status) = job_cache.terminal_status(id) {
            self.job_terminated(id, known, status, now);
        } else if let Some(job) = known.record.open()
            && job_cache.ready(id)
        {
            self.job_ready(job_cache, id, known, job, now);
        }
    }

    fn job_terminated(&mut self, id: &JobId, known: &CachedJob, status: Phase, now: MonotonicTime) {
        if status == Phase::Done {
            self.count_done(id);
        }
        self.withdraw_failures(id, status, now);
        self.stop_finished_job(id, now);
        self.adopt_unreadable_job(id, now);
        if known.record.is_open() {
            // Cancelled together with a job that it needs. Status requests already report this, so the record
            // is written at normal priority.
            let key = jobs::key(id);
            self.commits.set_stored_revision(&key, known.revision);
            self.commits.put(&key, Some(Record::Cancelled.to_value()), CommitPriority::Normal);
        }
    }

    /// Counts a job as done. Called when the change of its record is processed and not when the commit is
    /// answered: the watch may deliver the record before that answer, and half of the jobs would not be
    /// counted.
    fn count_done(&mut self, id: &JobId) {
        let Some(job_state) = self.job_states.get(id) else { return };
        let spec = &job_state.job.spec;
        tracing::info!(job = %id, class = %spec.kind, team = %spec.team, "done");
        self.job_counters.count(JobMilestone::Done, spec);
    }

    /// Withdraws the failures of a cancelled job from its machines: users cancel jobs that fail everywhere. The
    /// failures of a job that is done were its machines' fault.
    fn withdraw_failures(&mut self, id: &JobId, status: Phase, now: MonotonicTime) {
        if status == Phase::Done {
            return;
        }
        let Some(job_state) = self.job_states.get_mut(id) else { return };
        let machines = job_state.failures.exonerate_machines();
        self.exonerate_machines(id, &machines, now);
    }

    fn job_ready(
        &mut self,
        job_cache: &JobCache,
        id: &JobId,
        known: &CachedJob,
        job: &Arc<OpenJob>,
        now: MonotonicTime,
    ) {
        self.commits.set_stored_revision(&jobs::key(id), known.revision);
        let job_state = self.job_states.entry(id.clone()).or_insert_with(|| {
            self.guarantees.invalidate();
            JobState::new(job.clone(), now)
        });
        let priority = job_cache.priority(id);
        if job_state.priority != priority {
            job_state.priority = priority;
            job_state.failed_capacity_version = 0; // preemption may be possible at the new priority
        }
        self.adopt_unreadable_job(id, now);
    }

    /// Stops all tasks of a job that is cancelled or done, and deletes its state and progress.
    fn stop_finished_job(&mut self, id: &JobId, now: MonotonicTime) {
        // A queued "done" must not be written after a cancellation: conditional on the new revision, it would
        // overwrite the status that was reported to the user.
        self.commits.discard(&jobs::key(id));
        self.stop_job(id, 0.0, now);
        let Some(job_state) = self.job_states.remove(id) else { return };
        self.guarantees.invalidate();
        for (index, machine) in job_state.placed() {
            self.remove_or_stop(machine, &TaskId { job: id.clone(), index: *index }, now);
        }
        self.delete_progress(id, job_state.job.spec.tasks);
        self.commits.drop_outcomes(&jobs::key(id));
        self.capacity_version += 1;
    }

    fn delete_progress(&mut self, id: &JobId, tasks: u32) {
        for chunk in 0..tasks.div_ceil(jobs::TASKS_PER_CHUNK) {
            let key = progress_key(id, chunk);
            self.commits.drop_outcomes(&key);
            if self.commits.is_stored(&key) {
                self.commits.put(&key, None, CommitPriority::Normal);
            }
        }
    }

    /// Ends the assignment of a task that is done or whose job is finished: removes the assignment if the
    /// task was reported as done, and stops the task otherwise.
    pub(super) fn remove_or_stop(&mut self, id: &MachineId, task: &TaskId, now: MonotonicTime) {
        let Some(machine) = self.machines.get(id) else { return };
        let assignment = machine.assignments.get(task);
        if assignment.is_some_and(|assignment| assignment.state == AssignmentState::Done) {
            self.remove_assignment(id, task, now);
        } else {
            self.stop_task(id, task, 0.0, now);
        }
    }

    /// Removes a task's assignment from a machine.
    pub(super) fn remove_assignment(&mut self, id: &MachineId, task: &TaskId, now: MonotonicTime) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.assignments.remove(task);
        self.commits.mark_changed(id.clone());
        self.machines.recount(id, now);
    }
}

/// The key of a chunk of a job's progress.
pub(super) fn progress_key(id: &JobId, chunk: u32) -> String {
    format!("{PROGRESS_PREFIX}{id}/{chunk}")
}
