//! Preemption: stops less urgent tasks for a job that fits no machine.

use super::Leader;
use super::reservations::allows_machine;
use crate::assignments::Assignment;
use crate::gangs;
use crate::jobs::{JobSpec, JobState, JobType, Priority, WaitingReason};
use crate::placement::PlacementRequest;
use crate::preemption::{Candidate, PreemptionRequest, PreemptionTarget, Victim, choose};
use crate::types::{Duration, JobId, MonotonicTime};
use crate::workers::{CapacityHold, Health, Machine};
use std::collections::BTreeSet;

/// How long a job waits for the resources freed for it before more are freed, in addition to the grace
/// period in which the stopped tasks save their progress.
const PREEMPT_PAUSE: Duration = Duration::from_millis(2000);
/// How long a job waits after a search that freed nothing, since each search visits all machines.
pub(super) const PREEMPT_RETRY: Duration = Duration::from_millis(1000);
/// Fraction of a job's wait objective after which other tasks are preempted for it.
const PREEMPT_AFTER_SHARE: f64 = 0.6;
/// Ratio of waiting to placed tasks of lower priority above which no gang preempts more of them.
const MAX_BACKLOG_RATIO: f64 = 0.1;
/// Cost of restarting a preempted task in addition to its repeated work, in seconds: a new placement, and
/// often a new fetch of its image.
const RESTART_COST_S: f64 = 15.0;

/// Which tasks may be preempted.
#[derive(Clone, Copy)]
pub(super) enum Preemption<'a> {
    /// Tasks of lower priority.
    LowerPriority,
    /// Tasks of lower priority on machines that have the image, without time to save their progress.
    WithImage,
    /// Tasks that other teams run beyond their guarantees: those of all jobs but these.
    BeyondGuarantee(&'a BTreeSet<JobId>),
}

impl Preemption<'_> {
    /// Whether tasks of `other` may be stopped for a job with `spec` and `priority`.
    fn may_stop(&self, other_id: &JobId, other: &JobState, spec: &JobSpec, priority: Priority) -> bool {
        let other_spec = &other.job.spec;
        let whole_gang = other.is_gang() && other_spec.tasks > 1;
        let allowed = match self {
            Self::LowerPriority => other.priority < priority,
            // The tasks stop at once, without time to save, so no whole gangs.
            Self::WithImage => other.priority < priority && !whole_gang,
            Self::BeyondGuarantee(guaranteed) => {
                other_spec.team != spec.team && !guaranteed.contains(other_id) && !whole_gang
            }
        };
        allowed && other_spec.job_type != JobType::Service
    }

    /// Seconds that a stopped task has to save its progress.
    fn grace_s(&self, spec: &JobSpec) -> f64 {
        match self {
            Self::WithImage => 0.0,
            Self::LowerPriority | Self::BeyondGuarantee(_) => gangs::save_grace_s(spec),
        }
    }
}

impl Leader {
    /// Preempts tasks for a job that fits no machine, if its priority or its team's guarantee allows
    /// that. For a gang, resources for all its tasks are freed. Returns whether this counts as
    /// one of the searches of the pass.
    pub(super) fn preempt(&mut self, request: &PlacementRequest, now: MonotonicTime) -> bool {
        let guaranteed = self.guaranteed_jobs();
        let within_guarantee = guaranteed.contains(&request.job);
        let Some(job_state) = self.job_states.get_mut(&request.job) else { return false };
        let spec = job_state.job.spec.clone();
        let priority = job_state.priority;
        if job_state.preempting_until.is_some_and(|until| now < until) {
            return false;
        }
        // Resources may become free without preemption, so the job first waits for a part of its wait
        // objective. Replicas of services do not wait.
        let objective = self.settings.wait_objective(&spec.kind, within_guarantee);
        let wait =
            Duration::from_secs_f64(objective.map_or(0.0, |objective_s| objective_s * PREEMPT_AFTER_SHARE));
        if spec.job_type != JobType::Service && now.since(job_state.known_since) < wait {
            return false;
        }
        job_state.preempting_until = Some(now + PREEMPT_RETRY);
        let whole_gang = request.job_type == JobType::Gang && request.tasks.len() > 1;
        // Preempting for a gang of several tasks delays more work than the gang contains. While many tasks of
        // lower priority wait for resources, preempted tasks would wait with them for a long time.
        if whole_gang && self.has_large_backlog_below(priority) {
            return true;
        }
        // Tasks of lower priority are preempted for all tasks of the request at once. Tasks beyond their
        // team's guarantee are preempted for one task at a time, and not for whole gangs: otherwise,
        // with many teams near their guarantees, teams would preempt one another in turn.
        let freed = self.free_by_preemption(request, &spec, Preemption::LowerPriority, now);
        if freed == 0 && within_guarantee && !whole_gang {
            self.free_by_preemption(request, &spec, Preemption::BeyondGuarantee(&guaranteed), now);
        }
        true
    }

    /// Whether so many tasks below `priority` wait that preempted ones would wait long.
    fn has_large_backlog_below(&self, priority: Priority) -> bool {
        let mut waiting = 0;
        let mut placed = 0;
        for job_state in self.job_states.values().filter(|job_state| job_state.priority < priority) {
            waiting += job_state.waiting_count() as usize;
            placed += job_state.placed().len();
        }
        waiting as f64 > placed as f64 * MAX_BACKLOG_RATIO
    }

    /// Stops the tasks that lose the least work so that `request` fits. Returns the number of machines
    /// chosen for the request; 0 if no task is stopped.
    pub(super) fn free_by_preemption(
        &mut self,
        request: &PlacementRequest,
        spec: &JobSpec,
        preemption: Preemption,
        now: MonotonicTime,
    ) -> u32 {
        let Some(candidates) = self.preemption_candidates(request, spec, preemption, now) else { return 0 };
        let one_at_a_time = matches!(preemption, Preemption::BeyondGuarantee(_));
        let wanted = PreemptionRequest {
            resources: &request.resources,
            tasks: if one_at_a_time { 1 } else { request.tasks.len() as u32 },
            gang: request.job_type == JobType::Gang,
            together: request.together,
            zones: &request.zones,
        };
        let chosen = choose(candidates, &wanted);
        let stopped: usize = chosen.iter().map(|entry| entry.victims.len()).sum();
        if stopped == 0 {
            return 0;
        }
        tracing::info!(job = %request.job, machines = chosen.len(), stopped, "preempting tasks for this job");
        let longest_grace_s = self.stop_victims(&chosen, preemption, now);
        let until = now + PREEMPT_PAUSE + Duration::from_secs_f64(longest_grace_s);
        let whole_gang = wanted.gang && wanted.tasks > 1;
        let hold_all = whole_gang || matches!(preemption, Preemption::WithImage);
        self.hold_freed_resources(&request.job, &chosen, hold_all, until);
        if let Some(job_state) = self.job_states.get_mut(&request.job) {
            job_state.preempting_until = Some(until);
            job_state.reason = WaitingReason::Preempting;
        }
        chosen.len() as u32
    }

    /// Machines that could take tasks of the request if other tasks were stopped; `None` if the job is
    /// unknown.
    fn preemption_candidates(
        &self,
        request: &PlacementRequest,
        spec: &JobSpec,
        preemption: Preemption,
        now: MonotonicTime,
    ) -> Option<Vec<Candidate>> {
        let priority = self.job_states.get(&request.job)?.priority;
        let needs_image = matches!(preemption, Preemption::WithImage);
        let mut candidates = Vec::new();
        for machine in self.machines.iter() {
            let suitable = machine.is_schedulable(now)
                && machine.held_for(now).is_none_or(|job| *job == request.job)
                && self.health(machine, now) == Health::Healthy
                && request.resources.fits_in(&machine.total)
                && allows_machine(request, machine)
                && (!needs_image || machine.has_image(&request.image));
            if suitable {
                let may_stop =
                    |id: &JobId, job_state: &JobState| preemption.may_stop(id, job_state, spec, priority);
                candidates.push(self.preemption_candidate(machine, request, may_stop, now));
            }
        }
        Some(candidates)
    }

    fn preemption_candidate(
        &self,
        machine: &Machine,
        request: &PlacementRequest,
        may_stop: impl Fn(&JobId, &JobState) -> bool,
        now: MonotonicTime,
    ) -> Candidate {
        let mut free = machine.free();
        let mut victims = Vec::new();
        for (task, assignment) in machine.assignments.iter().filter(|(_, assignment)| assignment.occupies()) {
            if assignment.stop.is_some() {
                free = free.plus(&assignment.resources); // it is being stopped already
                continue;
            }
            let Some(job_state) = self.job_states.get(&task.job) else { continue };
            if may_stop(&task.job, job_state) {
                let loss_s = loss_s(job_state, assignment, now);
                victims.push(Victim { task: task.clone(), resources: assignment.resources, loss_s });
            }
        }
        let fetch_rate = self.fetch_gb_per_s(machine);
        let fetches = !machine.has_image(&request.image) && fetch_rate > 0.0;
        let fetch_s = if fetches { request.image_gb / fetch_rate } else { 0.0 };
        Candidate { machine: machine.id.clone(), zone: machine.zone.clone(), free, victims, fetch_s }
    }

    /// Stops the victims on the chosen machines. Returns the longest grace period of any of them, in seconds.
    fn stop_victims(
        &mut self,
        chosen: &[PreemptionTarget],
        preemption: Preemption,
        now: MonotonicTime,
    ) -> f64 {
        let mut longest_grace_s = 0.0f64;
        for PreemptionTarget { machine, victims } in chosen {
            for task in victims {
                let Some(job_state) = self.job_states.get(&task.job) else { continue };
                let grace_s = preemption.grace_s(&job_state.job.spec);
                longest_grace_s = longest_grace_s.max(grace_s);
                if job_state.is_gang() {
                    self.stop_job(&task.job, grace_s, now);
                } else {
                    self.stop_task(machine, task, grace_s, now);
                }
            }
        }
        longest_grace_s
    }

    /// Holds the freed resources of a machine for the job if several tasks are stopped there, and those of
    /// all chosen machines with `hold_all`. Without a hold, small tasks would take these resources bit
    /// by bit as the victims end. The resources of a single victim go to the next request that fits.
    fn hold_freed_resources(
        &mut self,
        job: &JobId,
        chosen: &[PreemptionTarget],
        hold_all: bool,
        until: MonotonicTime,
    ) {
        for PreemptionTarget { machine, victims } in chosen {
            if (hold_all || victims.len() > 1)
                && let Some(machine) = self.machines.get_mut(machine)
            {
                machine.capacity_hold = Some(CapacityHold { job: job.clone(), until });
            }
        }
    }
}

/// Seconds of work lost if the task is stopped now, including the cost of its restart.
fn loss_s(job_state: &JobState, assignment: &Assignment, now: MonotonicTime) -> f64 {
    let spec = &job_state.job.spec;
    // Work since the last checkpoint, or since the start if the job saves no checkpoints.
    let repeated_s = if spec.checkpoint_interval.0 > 0 {
        spec.checkpoint_duration.as_secs_f64()
    } else {
        assignment.running_since.map_or(0.0, |since| now.since(since).as_secs_f64())
    };
    let loss_s = repeated_s + RESTART_COST_S;
    // Stopping one task of a gang stops all of its tasks.
    if job_state.is_gang() { loss_s * f64::from(spec.tasks) } else { loss_s }
}
