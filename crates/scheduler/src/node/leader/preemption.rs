//! Preemption: less urgent work is stopped for work that fits nowhere.

use super::Leader;
use super::reservations::allows_machine;
use crate::assignments::Assignment;
use crate::gangs;
use crate::jobs::{JobSpec, JobState, JobType, Priority, WaitingReason};
use crate::placement::PlacementRequest;
use crate::preemption::{Candidate, Clearing, Victim, Wanted, choose};
use crate::types::{Duration, JobId, MonotonicTime};
use crate::workers::{CapacityHold, Health, Machine};
use std::collections::BTreeSet;

/// How long a job waits for the resources freed for it before more are freed, besides the time that
/// stopped tasks have to save.
const PREEMPT_PAUSE: Duration = Duration::from_millis(2000);
/// How long the result of a search that found nothing is taken to hold; each search goes through all
/// machines.
pub(super) const PREEMPT_RETRY: Duration = Duration::from_millis(1000);
/// Part of the time within which work is to start that it waits before others are stopped for it.
const PREEMPT_AFTER: f64 = 0.6;
/// Waiting less urgent work, as a part of what is placed, from which on no gang stops more of it.
const CROWDED: f64 = 0.1;
/// What a stopped task loses besides its work, in seconds: a new place, and often a new fetch.
const RESTART_S: f64 = 15.0;

/// Whose work is stopped.
#[derive(Clone, Copy)]
pub(super) enum Preemption<'a> {
    /// Less urgent work.
    LowerPriority,
    /// Less urgent work on machines that have the image, without waiting for saves.
    WithImage,
    /// Other teams' work beyond their guarantee: all but these jobs.
    BeyondGuarantee(&'a BTreeSet<JobId>),
}

impl Preemption<'_> {
    /// Whether tasks of `other` may be stopped for work of `spec` with `priority`.
    fn may_stop(&self, other_id: &JobId, other: &JobState, spec: &JobSpec, priority: Priority) -> bool {
        let other_spec = &other.job.spec;
        let whole_gang = other.is_gang() && other_spec.tasks > 1;
        let allowed = match self {
            Self::LowerPriority => other.priority < priority,
            // At once: no whole gangs, and no time to save.
            Self::WithImage => other.priority < priority && !whole_gang,
            Self::BeyondGuarantee(guaranteed) => {
                other_spec.team != spec.team && !guaranteed.contains(other_id) && !whole_gang
            }
        };
        allowed && other_spec.job_type != JobType::Service
    }

    /// Seconds that a task has to save its progress.
    fn grace_s(&self, spec: &JobSpec) -> f64 {
        match self {
            Self::WithImage => 0.0,
            Self::LowerPriority | Self::BeyondGuarantee(_) => gangs::save_grace_s(spec),
        }
    }
}

impl Leader {
    /// Frees resources for a job that fits nowhere, if its rank allows that: all its tasks' if it is
    /// a gang. Gives whether the machines were searched for it.
    pub(super) fn preempt(&mut self, request: &PlacementRequest, now: MonotonicTime) -> bool {
        let guaranteed = self.guaranteed_jobs();
        let within_guarantee = guaranteed.contains(&request.job);
        let Some(job_state) = self.job_states.get_mut(&request.job) else { return false };
        let spec = job_state.job.spec.clone();
        let priority = job_state.priority;
        if job_state.preempting_until.is_some_and(|until| now < until) {
            return false;
        }
        // Resources that come free by themselves cost nothing. Replicas don't wait for them.
        let objective = self.settings.wait_objective(&spec.kind, within_guarantee);
        let wait = Duration::from_secs_f64(objective.map_or(0.0, |objective_s| objective_s * PREEMPT_AFTER));
        if spec.job_type != JobType::Service && now.since(job_state.known_since) < wait {
            return false;
        }
        job_state.preempting_until = Some(now + PREEMPT_RETRY);
        let whole_gang = request.job_type == JobType::Gang && request.tasks.len() > 1;
        // A gang of several would put off more work than it is: while less urgent work waits for
        // resources itself, that only passes the wait on.
        if whole_gang && self.is_crowded(priority) {
            return true;
        }
        // Less urgent work makes way for all tasks at once. Work beyond its team's guarantee makes
        // way for one at a time, and not for whole gangs: with many teams near their guarantees they
        // would otherwise stop one another in turn.
        let freed = self.free_by_preemption(request, &spec, Preemption::LowerPriority, now);
        if freed == 0 && within_guarantee && !whole_gang {
            self.free_by_preemption(request, &spec, Preemption::BeyondGuarantee(&guaranteed), now);
        }
        true
    }

    /// Whether so much work below `priority` waits that what was stopped would wait long.
    fn is_crowded(&self, priority: Priority) -> bool {
        let mut waiting = 0;
        let mut placed = 0;
        for job_state in self.job_states.values().filter(|job_state| job_state.priority < priority) {
            waiting += job_state.waiting_count() as usize;
            placed += job_state.placed().len();
        }
        waiting as f64 > placed as f64 * CROWDED
    }

    /// Stops what loses least so that `request` fits; gives the number of machines where that frees
    /// enough.
    pub(super) fn free_by_preemption(
        &mut self,
        request: &PlacementRequest,
        spec: &JobSpec,
        preemption: Preemption,
        now: MonotonicTime,
    ) -> u32 {
        let Some(candidates) = self.preemption_candidates(request, spec, preemption, now) else { return 0 };
        let one_at_a_time = matches!(preemption, Preemption::BeyondGuarantee(_));
        let wanted = Wanted {
            resources: &request.resources,
            tasks: if one_at_a_time { 1 } else { request.tasks.len() as u32 },
            gang: request.job_type == JobType::Gang,
            together: request.together,
            zones: &request.zones,
        };
        let clearings = choose(candidates, &wanted);
        let stopped: usize = clearings.iter().map(|clearing| clearing.victims.len()).sum();
        if stopped == 0 {
            return 0;
        }
        tracing::info!(job = %request.job, machines = clearings.len(), stopped, "preempts");
        let longest_grace_s = self.stop_victims(&clearings, preemption, now);
        let until = now + PREEMPT_PAUSE + Duration::from_secs_f64(longest_grace_s);
        let several = wanted.gang && wanted.tasks > 1;
        let hold_all = several || matches!(preemption, Preemption::WithImage);
        self.hold_cleared(&request.job, &clearings, hold_all, until);
        if let Some(job_state) = self.job_states.get_mut(&request.job) {
            job_state.preempting_until = Some(until);
            job_state.reason = WaitingReason::Preempting;
        }
        clearings.len() as u32
    }

    /// Machines that could take tasks of the request if others were stopped; `None` if the job is unknown.
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
                free = free.plus(&assignment.resources); // it leaves already
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

    /// Stops the tasks that are to leave; gives the longest time that one of them has to save, in seconds.
    fn stop_victims(&mut self, clearings: &[Clearing], preemption: Preemption, now: MonotonicTime) -> f64 {
        let mut longest_grace_s = 0.0f64;
        for Clearing { machine, victims } in clearings {
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

    /// Keeps what several tasks have to leave, or what lies on several machines, for the job: it
    /// comes piece by piece, and small tasks would take each piece. A single place may go to
    /// whichever job is served first.
    fn hold_cleared(&mut self, job: &JobId, clearings: &[Clearing], hold_all: bool, until: MonotonicTime) {
        for Clearing { machine, victims } in clearings {
            if (hold_all || victims.len() > 1)
                && let Some(machine) = self.machines.get_mut(machine)
            {
                machine.capacity_hold = Some(CapacityHold { job: job.clone(), until });
            }
        }
    }
}

/// Seconds of work that are lost if the task is stopped now.
fn loss_s(job_state: &JobState, assignment: &Assignment, now: MonotonicTime) -> f64 {
    let spec = &job_state.job.spec;
    // Work since the last checkpoint, and a new start.
    let repeated_s = if spec.checkpoint.0 > 0 {
        spec.save.as_secs_f64()
    } else {
        assignment.running_since.map_or(0.0, |since| now.since(since).as_secs_f64())
    };
    let loss_s = repeated_s + RESTART_S;
    // With one task of a gang all of it stops.
    if job_state.is_gang() { loss_s * f64::from(spec.tasks) } else { loss_s }
}
