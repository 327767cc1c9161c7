//! Fault injection for tests: each method disables one of the leader's safety checks or performs one
//! incorrect step.
//!
//! The simulation calls these methods through the controller to verify that its checker detects the
//! missing check, as in mutation testing. This module is not compiled into the program.

use super::Leader;
use crate::assignments::{self, Assignment, AssignmentState};
use crate::types::{Duration, MachineId, MonotonicTime, Resources, TaskId, TeamName, WorkerEpoch};
use crate::workers::Machine;
use pearford_recovery::HeartbeatCollection;
use std::collections::BTreeMap;
use std::sync::Arc;

/// More unanswered probes in a row than any machine is allowed.
const EXCESSIVE_UNANSWERED_PROBES: u32 = 9;

impl Leader {
    /// Treats missing heartbeats as proof that tasks are gone: drops the assignments of machines whose
    /// last heartbeat is older than `max_heartbeat_age`.
    pub(in crate::node) fn inject_early_assignment_removal(
        &mut self,
        max_heartbeat_age: Duration,
        now: MonotonicTime,
    ) {
        let mut changed = Vec::new();
        let mut dropped = Vec::new();
        for machine in self.machines.iter_mut() {
            if machine.last_heartbeat.is_some_and(|at| now.since(at) > max_heartbeat_age) {
                let assignments = std::mem::take(&mut machine.assignments);
                dropped.extend(assignments.into_keys().map(|task| (task, machine.id.clone())));
                changed.push(machine.id.clone());
            }
        }
        changed.iter().for_each(|id| self.machines.recount(id, now));
        self.unplace_all(dropped);
    }

    /// Forgets which starts were sent directly, as if they could not arrive a second time.
    pub(in crate::node) fn inject_loss_of_sent_starts(&mut self) {
        self.machines.iter_mut().for_each(Machine::clear_sent_starts);
    }

    /// Forgets the isolation reports that were read from the key-value store.
    pub(in crate::node) fn disable_isolation_reports(&mut self) {
        self.isolation.clear_reports();
    }

    /// Makes machines that have not sent a heartbeat to this leader count as lost at once, by ending the
    /// collection of heartbeats early.
    pub(in crate::node) fn inject_loss_of_unreported_machines(&mut self) {
        if !self.loaded() {
            return;
        }
        let unreported = self.machines.iter_mut().filter(|machine| !machine.has_reported());
        unreported.for_each(|machine| machine.unanswered_probes = EXCESSIVE_UNANSWERED_PROBES);
        let workers = &self.settings.workers;
        self.heartbeat_collection = HeartbeatCollection::new(
            Duration::from_secs_f64(workers.report_s),
            Duration::from_secs_f64(workers.lease_s),
        );
        self.heartbeat_collection.records_read(MonotonicTime::default());
        self.heartbeat_collection.update(1, 1, self.since);
    }

    /// Frees the resources of tasks that are being stopped, without proof that they are gone.
    pub(in crate::node) fn inject_freeing_of_stopping_tasks(&mut self, now: MonotonicTime) {
        let mut dropped = Vec::new();
        for machine in self.machines.iter_mut() {
            let assignments = std::mem::take(&mut machine.assignments);
            let (stopping, kept): (BTreeMap<TaskId, Assignment>, BTreeMap<TaskId, Assignment>) =
                assignments.into_iter().partition(|(_, assignment)| assignment.stop.is_some());
            machine.assignments = kept;
            dropped.extend(stopping.into_keys().map(|task| (task, machine.id.clone())));
        }
        let all: Vec<MachineId> = self.machines.ids().cloned().collect();
        all.iter().for_each(|id| self.machines.recount(id, now));
        self.unplace_all(dropped);
    }

    /// Marks tasks whose assignments were dropped as no longer placed.
    fn unplace_all(&mut self, dropped: Vec<(TaskId, MachineId)>) {
        for (task, machine) in dropped {
            if let Some(job_state) = self.job_states.get_mut(&task.job) {
                job_state.unplace(task.index, &machine);
            }
            self.capacity_version += 1;
        }
    }

    /// Allows starts to be sent before their machine's record is durable.
    pub(in crate::node) fn disable_record_before_start(&mut self) {
        for machine in self.machines.iter_mut() {
            let planned = machine
                .assignments
                .values_mut()
                .filter(|assignment| assignment.state == AssignmentState::Planned);
            planned.for_each(|assignment| assignment.state = AssignmentState::Ready);
            if machine.has_sendable_starts() {
                self.worker_calls.queue_commands(machine.id.clone());
            }
        }
    }

    /// Cancels the stops of all tasks that are to be stopped.
    pub(in crate::node) fn disable_stops(&mut self) {
        let assignments = self.machines.iter_mut().flat_map(|machine| machine.assignments.values_mut());
        assignments.for_each(|assignment| assignment.stop = None);
    }

    /// Treats every machine that has ever sent a heartbeat as having sent one just now.
    pub(in crate::node) fn disable_missing_heartbeat_detection(&mut self, now: MonotonicTime) {
        for machine in self.machines.iter_mut().filter(|machine| machine.last_heartbeat.is_some()) {
            machine.last_heartbeat = Some(now);
            machine.unanswered_probes = 0;
        }
    }

    /// Resets the worker epochs and serials, so that any heartbeat that arrives counts as the newest.
    pub(in crate::node) fn disable_heartbeat_order(&mut self) {
        for machine in self.machines.iter_mut() {
            machine.worker_epoch = WorkerEpoch(0);
            machine.serial = 1;
        }
    }

    /// Removes the zone constraint of all jobs, so that they may be placed in any zone.
    pub(in crate::node) fn disable_zone_constraint(&mut self) {
        let constrained = self.job_states.values_mut().filter(|job_state| job_state.job.spec.zone.is_some());
        for job_state in constrained {
            let mut job = (*job_state.job).clone();
            job.spec.zone = None;
            job_state.job = Arc::new(job);
        }
    }

    /// Marks all tasks of a job as done if at least half of them are.
    pub(in crate::node) fn inject_early_completion(&mut self) {
        for job_state in self.job_states.values_mut() {
            let done = job_state.done().count();
            let tasks = job_state.job.spec.tasks;
            if done > 0 && done * 2 >= tasks {
                (0..tasks).for_each(|index| job_state.mark_done(index));
            }
        }
    }

    /// Compares the incrementally maintained totals with a full recount.
    ///
    /// # Errors
    /// Describes the first total that differs, with both values.
    pub(in crate::node) fn check_totals(&self) -> Result<(), String> {
        self.check_team_totals()?;
        self.machines.iter().try_for_each(check_machine_totals)?;
        for (id, job_state) in &self.job_states {
            let recounted = job_state.recount();
            let kept = job_state.waiting_count();
            if recounted != kept {
                return Err(format!("job {id}: waiting tasks: kept {kept}, recounted {recounted}"));
            }
        }
        Ok(())
    }

    fn check_team_totals(&self) -> Result<(), String> {
        let assignments = self.machines.iter().flat_map(|machine| machine.assignments.values());
        let used = assignments::used_by_team(assignments);
        let of_team = |totals: &BTreeMap<TeamName, Resources>, team: &TeamName| {
            totals.get(team).copied().unwrap_or_default()
        };
        let all_kept = self.machines.used_by_teams();
        for team in all_kept.keys().chain(used.keys()) {
            let kept = of_team(all_kept, team);
            let recounted = of_team(&used, team);
            if !kept.fits_in(&recounted) || !recounted.fits_in(&kept) {
                return Err(format!("team {team}: resources used: kept {kept:?}, recounted {recounted:?}"));
            }
        }
        Ok(())
    }
}

fn check_machine_totals(machine: &Machine) -> Result<(), String> {
    let occupying = machine.assignments.values().filter(|assignment| assignment.occupies());
    let free = occupying.fold(machine.total, |free, assignment| free.minus(&assignment.resources));
    let occupied = machine.assignments.values().any(Assignment::occupies);
    let empty = !occupied && machine.unknown_tasks.is_empty();
    if !free.fits_in(&machine.free()) || !machine.free().fits_in(&free) || empty != machine.is_empty() {
        return Err(format!(
            "machine {}: totals differ; free resources kept {:?}, recounted {free:?}",
            machine.id,
            machine.free()
        ));
    }
    Ok(())
}
