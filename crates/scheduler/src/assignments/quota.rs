//! Resources that teams use, and the remainder of their quotas.

use super::Assignment;
use crate::settings::Team;
use crate::types::{Resources, TeamName};
use std::collections::BTreeMap;

/// Tolerance of comparisons: rounding errors of sums must not make usage equal to a limit exceed it.
const EPSILON: f64 = 1e-6;

/// Resources that each team's tasks take.
pub fn used_by_team<'a>(assignments: impl Iterator<Item = &'a Assignment>) -> BTreeMap<TeamName, Resources> {
    let mut used: BTreeMap<TeamName, Resources> = BTreeMap::new();
    for assignment in assignments.filter(|assignment| assignment.occupies()) {
        match used.get_mut(&assignment.team) {
            Some(resources) => *resources = resources.plus(&assignment.resources),
            None => {
                used.insert(assignment.team.clone(), assignment.resources);
            }
        }
    }
    used
}

/// How many more tasks of `each` resources a team that uses `used` may start; `u32::MAX` without a limit.
pub fn tasks_within_limit(team: &Team, used: &Resources, each: &Resources) -> u32 {
    let gpu_tasks = count_within(team.max_gpus, used.gpus, each.gpus);
    let cpu_tasks = count_within(team.max_cpus, used.cpus, each.cpus);
    gpu_tasks.min(cpu_tasks)
}

fn count_within(limit: Option<f64>, used: f64, each: f64) -> u32 {
    match limit {
        Some(limit) if each > 0.0 => ((limit - used + EPSILON) / each).max(0.0) as u32,
        _ => u32::MAX,
    }
}

/// Whether a team that uses `used` may take `more` resources.
pub fn within_limit(team: &Team, used: &Resources, more: &Resources) -> bool {
    let is_within =
        |limit: Option<f64>, used: f64, more: f64| limit.is_none_or(|limit| used + more <= limit + EPSILON);
    is_within(team.max_gpus, used.gpus, more.gpus) && is_within(team.max_cpus, used.cpus, more.cpus)
}

#[cfg(test)]
mod tests;
