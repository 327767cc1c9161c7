//! Stopping of tasks: single tasks, whole jobs, gangs that have lost a task, and tasks on machines that the
//! cloud is about to reclaim.

use super::Leader;
use crate::assignments::Assignment;
use crate::gangs;
use crate::jobs::{JobSpec, JobType};
use crate::types::{Duration, JobId, MachineId, MonotonicTime, TaskId};

/// A task to stop.
struct TaskStop {
    machine: MachineId,
    task: TaskId,
    /// Seconds that the task is given to save a checkpoint.
    grace_s: f64,
}

impl Leader {
    /// Stops a task on its machine. Removes its assignment at once if no start was sent.
    pub(super) fn stop_task(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        grace_s: f64,
        now: MonotonicTime,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        self.worker_calls.queue_commands(machine_id.clone());
        self.broadcaster.mark_changed(&task.job);
        if machine.stop(task, grace_s, now).is_none() {
            return;
        }
        self.commits.mark_changed(machine_id.clone());
        self.capacity_version += 1;
        if let Some(job_state) = self.job_states.get_mut(&task.job) {
            job_state.unplace(task.index, machine_id);
        }
        self.machines.recount(machine_id, now);
    }

    /// Stops all tasks of a job.
    pub(super) fn stop_job(&mut self, id: &JobId, grace_s: f64, now: MonotonicTime) {
        let Some(job_state) = self.job_states.get(id) else { return };
        let placed: Vec<(u32, MachineId)> =
            job_state.placed().iter().map(|(index, machine)| (*index, machine.clone())).collect();
        for (index, machine) in placed {
            self.stop_task(&machine, &TaskId { job: id.clone(), index }, grace_s, now);
        }
    }

    /// Stops tasks on machines that the cloud is about to reclaim, with time to save a checkpoint if enough
    /// is left.
    pub(super) fn drain_reclaimed(&mut self, now: MonotonicTime) {
        for stop in self.stops_before_reclaim(now) {
            let Some(job_state) = self.job_states.get(&stop.task.job) else { continue };
            if job_state.is_gang() {
                self.stop_job(&stop.task.job, stop.grace_s, now);
            } else {
                self.stop_task(&stop.machine, &stop.task, stop.grace_s, now);
            }
        }
    }

    fn stops_before_reclaim(&self, now: MonotonicTime) -> Vec<TaskStop> {
        let mut stops = Vec::new();
        for machine in self.machines.iter() {
            let Some(reclaim_at) = machine.spot_reclaim_at else { continue };
            let remaining = reclaim_at.since(now);
            let assignments = machine.assignments.iter();
            let to_stop =
                assignments.filter(|(_, assignment)| assignment.stop.is_none() && assignment.occupies());
            for (task, assignment) in to_stop {
                let Some(job_state) = self.job_states.get(&task.job) else { continue };
                if let Some(grace_s) = grace_before_reclaim(&job_state.job.spec, assignment, remaining, now) {
                    stops.push(TaskStop { machine: machine.id.clone(), task: task.clone(), grace_s });
                }
            }
        }
        stops
    }

    /// Stops the remaining tasks of gangs that have lost a task, so that a new attempt can be placed.
    pub(super) fn stop_broken_gangs(&mut self, now: MonotonicTime) {
        let broken = self.job_states.iter().filter(|(_, job_state)| gangs::is_broken(job_state));
        let broken: Vec<JobId> = broken.map(|(id, _)| id.clone()).collect();
        for id in broken {
            self.stop_job(&id, 0.0, now);
        }
    }
}

/// Seconds to save a checkpoint for a task that must be stopped now because its machine is reclaimed in
/// `remaining`; `None` if the task continues to run for now.
fn grace_before_reclaim(
    spec: &JobSpec,
    assignment: &Assignment,
    remaining: Duration,
    now: MonotonicTime,
) -> Option<f64> {
    let save_s = gangs::save_grace_s(spec);
    let time_to_save = remaining.as_secs_f64() > save_s;
    let ran = assignment.running_since.map(|since| now.since(since)).unwrap_or_default();
    // A task that is likely to end before the reclaim is left running: stopping it would only lose its work.
    let ends_in_time =
        spec.job_type != JobType::Service && spec.estimate.0 > 0 && spec.estimate.0 < ran.0 + remaining.0;
    if ends_in_time && time_to_save {
        return None;
    }
    Some(if time_to_save && save_s > 0.0 { save_s } else { 0.0 })
}
