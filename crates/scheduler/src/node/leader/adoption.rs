//! Adoption after a failover: builds this leader's job states and assignments from the records of earlier
//! leaders, and stops tasks that must not continue.

use super::Leader;
use crate::assignments::{Assignment, AssignmentState, CommitPriority, MachineRecord, RecordedAssignment};
use crate::jobs::{JobCache, JobState, PROGRESS_PREFIX};
use crate::types::{Attempt, JobId, MachineId, MonotonicTime, TaskId};
use crate::wire::cloud::MachineType;
use crate::wire::state::Pair;
use crate::workers::{ImageCache, Machine, MachineStatus};
use pearford_recovery::{Adoption, InheritedAssignment, adopt};
use std::collections::{BTreeMap, BTreeSet};

/// An assignment that is to be adopted.
struct AssignmentToAdopt {
    machine: MachineId,
    task: TaskId,
    state: AssignmentState,
    attempt: Attempt,
}

impl Leader {
    /// Adds a machine, with its assignments, from an earlier leader's record.
    pub(super) fn add_recorded_machine(&mut self, id: MachineId, record: MachineRecord, now: MonotonicTime) {
        let machine_type = self.instance_offers.type_of(&record.type_name);
        let total = machine_type.map(MachineType::resources).unwrap_or_default();
        let machine = self.machines.get_or_insert_with(&id, || {
            let type_name = record.type_name.clone();
            Machine::new(id.clone(), type_name, record.zone.clone(), record.spot, total, now)
        });
        if machine.addr.is_none() {
            machine.addr = record.addr;
        }
        if machine.addr.is_some() && machine.last_heartbeat.is_none() {
            // It has sent heartbeats to an earlier leader, so the time without a heartbeat counts from now.
            machine.status = MachineStatus::Up;
            machine.last_heartbeat = Some(now);
            machine.last_known_epoch = record.worker_epoch;
            self.worker_calls.queue_token(id.clone());
        }
        if machine.images.is_empty() {
            machine.images = ImageCache::from_record(record.images);
        }
        for RecordedAssignment { task, attempt, team, resources } in record.assignments {
            let assignment =
                Assignment::new(&task, attempt, team, resources, AssignmentState::Inherited, now);
            machine.assignments.entry(task).or_insert(assignment);
        }
        self.machines.recount(&id, now);
    }

    /// Builds the job states once all records are read, and stops tasks that must not continue.
    pub(super) fn build_job_states(&mut self, job_cache: &JobCache, now: MonotonicTime) {
        for (id, _) in job_cache.iter().filter(|(_, known)| known.record.is_open()) {
            self.job_changed(job_cache, id, now);
        }
        for pair in self.record_loading.take_progress() {
            self.adopt_progress(job_cache, pair);
        }
        let tasks = self.machines.iter().flat_map(|machine| machine.assignments.keys());
        let unreadable = tasks.map(|task| &task.job).filter(|job| job_cache.is_unreadable(job));
        for job in unreadable.cloned().collect::<BTreeSet<JobId>>() {
            self.unreadable_jobs.entry(job).or_default();
        }
        self.adopt_assignments(None, now);
        // All tasks of a job may be recorded as done while the job itself is not.
        let done = self.job_states.iter().filter(|(_, job_state)| job_state.all_done());
        let done: Vec<JobId> = done.map(|(id, _)| id.clone()).collect();
        for id in done {
            self.record_job_done(&id);
        }
    }

    /// Adds a stored progress record to its job's state. If the job's record can't be read, the progress
    /// record is kept until it can; if there is no such job, it is deleted.
    fn adopt_progress(&mut self, job_cache: &JobCache, pair: Pair) {
        let key = pair.key.strip_prefix(PROGRESS_PREFIX).and_then(|key| key.rsplit_once('/'));
        let Some((id, _)) = key else { return };
        let id = JobId::from(id);
        if !self.add_progress(&id, &pair) {
            if job_cache.is_unreadable(&id) {
                self.unreadable_jobs.entry(id).or_default().push(pair);
            } else {
                self.commits.put(&pair.key, None, CommitPriority::Normal);
            }
        }
    }

    /// Adds a progress record to its job's state. Returns `false` if there is no such job or chunk.
    fn add_progress(&mut self, id: &JobId, pair: &Pair) -> bool {
        let Some(job_state) = self.job_states.get_mut(id) else { return false };
        let chunk = pair.key.rsplit_once('/').and_then(|(_, chunk)| chunk.parse().ok());
        let Some(chunk) = chunk else { return false };
        if let Err(error) = job_state.add_chunk(chunk, &pair.value) {
            tracing::error!(key = pair.key, %error, "progress record can't be read; its tasks run again");
        }
        true
    }

    /// Adopts the assignments and progress records of a job whose own record could not be read, once it can
    /// be read again or the job is finished.
    pub(super) fn adopt_unreadable_job(&mut self, id: &JobId, now: MonotonicTime) {
        let Some(pairs) = self.unreadable_jobs.remove(id) else { return };
        for pair in pairs {
            if !self.add_progress(id, &pair) {
                self.commits.put(&pair.key, None, CommitPriority::Normal);
            }
        }
        self.adopt_assignments(Some(id), now);
        if self.job_states.get(id).is_some_and(JobState::all_done) {
            self.record_job_done(id);
        }
    }

    /// Reconciles inherited assignments, of one job or of all whose record can be read, with the job
    /// states.
    fn adopt_assignments(&mut self, only: Option<&JobId>, now: MonotonicTime) {
        let newest = self.newest_attempts();
        for assignment in self.assignments_to_adopt(only) {
            let superseded = newest.get(&assignment.task).is_some_and(|newest| assignment.attempt < *newest);
            self.adopt_assignment(assignment, superseded, now);
        }
    }

    /// The newest attempt of each task that has an assignment.
    ///
    /// A task gets a new assignment only once its old one is proved gone, but the records of the two machines
    /// are written separately. If the leader fails after the new assignment is written and before the removal
    /// of the old one is, both are stored, and the one with the lower attempt is the old one. If the old one
    /// were adopted, the proof that its task is gone would let the task start a second time.
    fn newest_attempts(&self) -> BTreeMap<TaskId, Attempt> {
        let mut newest: BTreeMap<TaskId, Attempt> = BTreeMap::new();
        for (task, assignment) in self.machines.iter().flat_map(|machine| &machine.assignments) {
            let attempt = newest.entry(task.clone()).or_insert(assignment.attempt);
            *attempt = assignment.attempt.max(*attempt);
        }
        newest
    }

    fn assignments_to_adopt(&self, only: Option<&JobId>) -> Vec<AssignmentToAdopt> {
        let is_adopted = |job: &JobId| match only {
            Some(only) => job == only,
            None => !self.unreadable_jobs.contains_key(job),
        };
        let mut to_adopt = Vec::new();
        for machine in self.machines.iter() {
            for (task, assignment) in machine.assignments.iter().filter(|(task, _)| is_adopted(&task.job)) {
                to_adopt.push(AssignmentToAdopt {
                    machine: machine.id.clone(),
                    task: task.clone(),
                    state: assignment.state,
                    attempt: assignment.attempt,
                });
            }
        }
        to_adopt
    }

    fn adopt_assignment(&mut self, assignment: AssignmentToAdopt, superseded: bool, now: MonotonicTime) {
        let AssignmentToAdopt { machine, task, state, attempt } = assignment;
        let job_state = self.job_states.get_mut(&task.job);
        let task_done = job_state.as_ref().is_some_and(|job_state| job_state.done().contains(task.index));
        let inherited = InheritedAssignment { job_open: job_state.is_some(), task_done, superseded };
        match (adopt(&inherited), job_state) {
            (Adoption::Superseded, _) => self.remove_assignment(&machine, &task, now),
            (Adoption::Keep, Some(job_state)) => {
                job_state.place(task.index, machine.clone());
                job_state.attempt = Some(attempt);
                // The task was started there, so its image is on the machine or being fetched. The record
                // was written before the fetch: without this, a task whose worker epoch has ended would
                // start elsewhere and fetch the image again.
                let job = job_state.job.clone();
                let image = &job.spec.image;
                if self.machines.get(&machine).is_some_and(|machine| !machine.has_image(image)) {
                    self.image_fetched(&machine, &job.spec);
                }
                if state == AssignmentState::Done {
                    self.task_done(&machine, &task, now);
                }
            }
            (Adoption::Keep | Adoption::Finished, _) => self.remove_or_stop(&machine, &task, now),
        }
    }
}

#[cfg(test)]
mod tests;
