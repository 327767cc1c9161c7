//! Changes of job records: jobs that may run now, and jobs that are cancelled or done.

use super::Leader;
use crate::assignments::{AssignmentState, CommitPriority};
use crate::jobs::{self, CachedJob, JobCache, JobState, OpenJob, PROGRESS_PREFIX, Phase, Record, Stage};
use crate::types::{JobId, MachineId, MonotonicTime, TaskId};
use std::sync::Arc;

impl Leader {
    /// A job's record has changed. The job gets a state, without which none of its tasks can be
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
        self.job_finished(id, now);
        self.adopt_unreadable_job(id, now);
        if known.record.is_open() {
            // Cancelled with a job that it needs. Status says so already; the record follows when
            // nothing urgent waits.
            let key = jobs::key(id);
            self.commits.loaded(&key, known.revision);
            self.commits.put(&key, Some(Record::Cancelled.to_value()), CommitPriority::Normal);
        }
    }

    /// Counts a job as done. Counted when its commit is answered, every second job was missed: the
    /// watch may show its record before.
    fn count_done(&mut self, id: &JobId) {
        let Some(job_state) = self.job_states.get(id) else { return };
        let spec = &job_state.job.spec;
        tracing::info!(job = %id, class = %spec.kind, team = %spec.team, "done");
        self.served.count(Stage::Done, spec);
    }

    fn job_ready(
        &mut self,
        job_cache: &JobCache,
        id: &JobId,
        known: &CachedJob,
        job: &Arc<OpenJob>,
        now: MonotonicTime,
    ) {
        self.commits.loaded(&jobs::key(id), known.revision);
        let job_state = self.job_states.entry(id.clone()).or_insert_with(|| {
            self.guarantees.invalidate();
            JobState::new(job.clone(), now)
        });
        let priority = job_cache.priority(id);
        if job_state.priority != priority {
            job_state.priority = priority;
            job_state.failed_capacity_version = 0; // others may make way for it now
        }
        self.adopt_unreadable_job(id, now);
    }

    /// The job is cancelled or done: nothing of it goes on.
    fn job_finished(&mut self, id: &JobId, now: MonotonicTime) {
        // A "done" still waiting to be written must not follow a cancellation: with the new revision
        // as its condition it would overwrite the status that the user was given (seed 247).
        self.commits.give_up(&jobs::key(id));
        self.stop_job(id, 0.0, now);
        let Some(job_state) = self.job_states.remove(id) else { return };
        self.guarantees.invalidate();
        for (index, machine) in job_state.placed() {
            self.remove_or_stop(machine, &TaskId { job: id.clone(), index: *index }, now);
        }
        self.delete_progress(id, job_state.job.spec.tasks);
        self.commits.forget_outcomes(&jobs::key(id));
        self.capacity_version += 1;
    }

    fn delete_progress(&mut self, id: &JobId, tasks: u32) {
        for chunk in 0..tasks.div_ceil(jobs::TASKS_PER_CHUNK) {
            let key = progress_key(id, chunk);
            self.commits.forget_outcomes(&key);
            if self.commits.is_stored(&key) {
                self.commits.put(&key, None, CommitPriority::Normal);
            }
        }
    }

    /// A task of a job that is finished, or done already: its assignment goes if it is proved to have
    /// ended, else the task is stopped.
    pub(super) fn remove_or_stop(&mut self, id: &MachineId, task: &TaskId, now: MonotonicTime) {
        let Some(machine) = self.machines.get(id) else { return };
        let assignment = machine.assignments.get(task);
        if assignment.is_some_and(|assignment| assignment.state == AssignmentState::Done) {
            self.remove_assignment(id, task, now);
        } else {
            self.stop_task(id, task, 0.0, now);
        }
    }

    /// Removes a task's assignment to a machine.
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
