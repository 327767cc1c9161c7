//! The leader's check of the controllers' proposals: proposals that the rules allow become assignments.

use super::Leader;
use crate::assignments::{self, Assignment, AssignmentState};
use crate::jobs::{JobSpec, JobType};
use crate::placement::{PlacementRequest, Proposal};
use crate::settings::Team;
use crate::types::{Attempt, JobId, MachineId, MonotonicTime, NodeName, TaskId};
use std::collections::BTreeMap;

/// A gang's image fetch is slow if it takes more than this share of `gang_wait_s`, the time that a task of
/// the gang waits for the others.
const SLOW_FETCH_SHARE: f64 = 0.4;

/// A proposed machine for a task.
#[derive(Debug)]
struct Placement {
    /// The task's index within its job.
    index: u32,
    machine: MachineId,
}

/// A task that has been assigned to a machine.
struct PlacedTask {
    task: TaskId,
    machine: MachineId,
}

impl Leader {
    /// Ends a controller's round: assigns the proposed placements that the current assignments and the rules
    /// allow. Tasks that were not placed wait for a later round.
    pub(super) fn close_round(
        &mut self,
        node: &NodeName,
        requests: Vec<PlacementRequest>,
        proposals: Vec<Proposal>,
        now: MonotonicTime,
    ) {
        let mut by_job = self.placements_in_partition(node, proposals);
        for request in requests {
            let Some(job_state) = self.job_states.get_mut(&request.job) else { continue };
            job_state.tasks_in_round = 0;
            let mut placements = by_job.remove(&request.job).unwrap_or_default();
            placements.retain(|placement| request.tasks.contains(&placement.index));
            self.commit_placements(&request, placements, now);
        }
    }

    /// The proposals for machines in the controller's own partition, by job.
    fn placements_in_partition(
        &self,
        node: &NodeName,
        proposals: Vec<Proposal>,
    ) -> BTreeMap<JobId, Vec<Placement>> {
        let mut by_job: BTreeMap<JobId, Vec<Placement>> = BTreeMap::new();
        let Some(partition) = self.partitions.get(node) else { return by_job };
        for proposal in proposals {
            if partition.machines.contains(&proposal.machine) {
                let placement = Placement { index: proposal.task, machine: proposal.machine };
                by_job.entry(proposal.job).or_default().push(placement);
            }
        }
        by_job
    }

    /// Assigns the tasks that may be placed. A gang is placed with all its tasks or not at all.
    fn commit_placements(
        &mut self,
        request: &PlacementRequest,
        placements: Vec<Placement>,
        now: MonotonicTime,
    ) {
        let gang = request.job_type == JobType::Gang;
        let Some(job_state) = self.job_states.get(&request.job) else { return };
        let spec = job_state.job.spec.clone();
        let Some(team) = self.settings.teams.get(&spec.team).cloned() else { return };
        if gang && (placements.len() < spec.tasks as usize || !job_state.placed().is_empty()) {
            return;
        }
        let slow_fetch = gang && self.is_fetch_slow(&spec, &placements);
        let gang_attempt = self.attempts.issue();
        let mut placed = Vec::new();
        for Placement { index, machine } in placements {
            let task = TaskId { job: request.job.clone(), index };
            if !self.may_place(&task, &spec, &team, &machine, now) {
                if gang {
                    break;
                }
                continue;
            }
            let attempt = if gang { gang_attempt } else { self.attempts.issue() };
            self.assign(&task, &spec, attempt, &machine, slow_fetch, now);
            placed.push(PlacedTask { task, machine });
        }
        if gang && placed.len() < spec.tasks as usize {
            for PlacedTask { task, machine } in &placed {
                self.stop_task(machine, task, 0.0, now);
            }
            return;
        }
        for PlacedTask { task, machine } in &placed {
            tracing::debug!(%task, %machine, kind = %spec.kind, "task placed");
        }
    }

    /// Whether some of a gang's tasks need a long time to fetch their image. Tasks that are ready earlier
    /// time out after `gang_wait_s`; the whole gang would then be restarted on other machines and
    /// fetch again.
    fn is_fetch_slow(&self, spec: &JobSpec, placements: &[Placement]) -> bool {
        let slow_s = self.settings.workers.gang_wait_s * SLOW_FETCH_SHARE;
        let mut machines = placements.iter().filter_map(|placement| self.machines.get(&placement.machine));
        machines.any(|machine| {
            let rate = self.fetch_gb_per_s(machine);
            let fetch_s = if rate > 0.0 { spec.image_gb / rate } else { 0.0 };
            !machine.has_image(&spec.image) && fetch_s > slow_s
        })
    }

    /// Assigns a task to a machine. The start is sent once the machine's record is durable. With
    /// `slow_fetch`, a task whose image is already on the machine also waits until the other tasks of the
    /// gang have fetched theirs.
    fn assign(
        &mut self,
        task: &TaskId,
        spec: &JobSpec,
        attempt: Attempt,
        machine_id: &MachineId,
        slow_fetch: bool,
        now: MonotonicTime,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        let team = spec.team.clone();
        let mut assignment =
            Assignment::new(task, attempt, team, spec.resources, AssignmentState::Planned, now);
        assignment.waits_for_gang_fetches = slow_fetch && machine.has_image(&spec.image);
        machine.assignments.insert(task.clone(), assignment);
        if machine.capacity_hold.as_ref().is_some_and(|hold| hold.job == task.job) {
            machine.capacity_hold = None;
        }
        self.commits.mark_changed(machine_id.clone());
        self.machines.recount(machine_id, now);
        let Some(job_state) = self.job_states.get_mut(&task.job) else { return };
        job_state.place(task.index, machine_id.clone());
        job_state.attempt = Some(attempt);
        job_state.awaiting_preemption = job_state.awaiting_preemption.saturating_sub(1);
        if job_state.awaiting_preemption == 0 {
            job_state.preempting_until = None;
        }
    }

    /// Whether all rules allow the placement. A controller's proposal is not trusted to have checked any of
    /// them.
    fn may_place(
        &self,
        task: &TaskId,
        spec: &JobSpec,
        team: &Team,
        machine: &MachineId,
        now: MonotonicTime,
    ) -> bool {
        let Some(job_state) = self.job_states.get(&task.job) else { return false };
        let Some(machine) = self.machines.get(machine) else { return false };
        let task_waits = !job_state.finishing
            && !job_state.done().contains(task.index)
            && !job_state.placed().contains_key(&task.index)
            && !machine.assignments.contains_key(task)
            && !self.machines.any_reports_unknown(task);
        let machine_has_capacity = machine.is_schedulable(now)
            && machine.held_for(now).is_none_or(|job| *job == task.job)
            && spec.resources.fits_in(&machine.free())
            && machine.record_holds(self.assignment_bytes(task, spec), self.settings.state.value_bytes);
        let machine_type_allowed = spec.type_allowed(&machine.type_name) && (spec.spot || !machine.spot);
        if !task_waits || !machine_has_capacity || !machine_type_allowed {
            return false;
        }
        let zones = self.zone_capacity(&task.job, job_state);
        zones.iter().any(|(zone, remaining)| *zone == machine.zone && *remaining > 0)
            && assignments::within_limit(team, &self.machines.used_by(&spec.team), &spec.resources)
    }
}
