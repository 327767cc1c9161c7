//! Guaranteed quotas of teams, and the order in which jobs are scheduled.

use super::Leader;
use crate::jobs::{JobState, Priority};
use crate::settings::Team;
use crate::types::{JobId, Resources, TeamName};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// By how much a sum of resources may exceed a guarantee, to allow for rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Sort key of a job in the scheduling order: higher priority first, then jobs within their team's guarantee,
/// then the earliest submission.
pub(super) type SchedulingOrder = (Reverse<Priority>, bool, u64);

/// A cache of the jobs within their team's guarantee.
#[derive(Debug, Default)]
pub(super) struct Guarantees {
    /// `None` after the set of jobs has changed.
    jobs: Option<Arc<BTreeSet<JobId>>>,
}

impl Guarantees {
    /// Drops the cached result, because the set of jobs has changed.
    pub fn invalidate(&mut self) {
        self.jobs = None;
    }

    fn jobs(
        &mut self,
        job_states: &BTreeMap<JobId, JobState>,
        teams: &BTreeMap<TeamName, Team>,
    ) -> Arc<BTreeSet<JobId>> {
        self.jobs.get_or_insert_with(|| Arc::new(jobs_within_guarantee(job_states, teams))).clone()
    }
}

impl Leader {
    /// The job's sort key in the scheduling order.
    pub(super) fn scheduling_order(
        &self,
        id: &JobId,
        job_state: &JobState,
        guaranteed: &BTreeSet<JobId>,
    ) -> SchedulingOrder {
        (Reverse(job_state.priority), !guaranteed.contains(id), job_state.job.submitted.0)
    }

    /// Jobs that fit into their team's guarantee together with all of the team's earlier unfinished jobs.
    pub(super) fn guaranteed_jobs(&mut self) -> Arc<BTreeSet<JobId>> {
        self.guarantees.jobs(&self.job_states, &self.settings.teams)
    }
}

fn jobs_within_guarantee(
    job_states: &BTreeMap<JobId, JobState>,
    teams: &BTreeMap<TeamName, Team>,
) -> BTreeSet<JobId> {
    let mut jobs: Vec<(&JobId, &JobState)> = job_states.iter().collect();
    jobs.sort_by_key(|(id, job_state)| (job_state.job.submitted, (*id).clone()));
    let mut demand_by_team: BTreeMap<&TeamName, Resources> = BTreeMap::new();
    let mut guaranteed = BTreeSet::new();
    for (id, job_state) in jobs {
        let spec = &job_state.job.spec;
        let Some(team) = teams.get(&spec.team) else { continue };
        let sum = demand_by_team.entry(&spec.team).or_default();
        *sum = sum.plus(&spec.resources.times(f64::from(spec.tasks)));
        if is_within_guarantee(team, sum) {
            guaranteed.insert(id.clone());
        }
    }
    guaranteed
}

/// Whether the team has a guarantee, and `sum` is within it.
fn is_within_guarantee(team: &Team, sum: &Resources) -> bool {
    let fits = |guarantee: Option<f64>, used: f64| {
        guarantee.is_none_or(|guarantee| used <= guarantee + ROUNDING_TOLERANCE)
    };
    let has_guarantee = team.guaranteed_cpus.is_some() || team.guaranteed_gpus.is_some();
    has_guarantee && fits(team.guaranteed_cpus, sum.cpus) && fits(team.guaranteed_gpus, sum.gpus)
}
