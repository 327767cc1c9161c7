//! Zones in which a job's tasks may be placed.

use super::Leader;
use crate::assignments::Assignment;
use crate::jobs::JobState;
use crate::types::{JobId, TaskId, Zone};
use std::collections::BTreeMap;

impl Leader {
    /// Number of a job's tasks that use resources in each zone; empty if the job requires neither that its
    /// tasks be spread over zones nor that they be together in one.
    pub(super) fn tasks_by_zone(&self, job: &JobId, job_state: &JobState) -> BTreeMap<Zone, u32> {
        let mut tasks_by_zone = BTreeMap::new();
        if !job_state.job.spec.spread && !job_state.job.spec.together {
            return tasks_by_zone;
        }
        for (index, machine) in job_state.placed() {
            let task = TaskId { job: job.clone(), index: *index };
            if let Some(machine) = self.machines.get(machine)
                && machine.assignments.get(&task).is_some_and(Assignment::occupies)
            {
                *tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        tasks_by_zone
    }

    /// Zones that a job may use, and how many more of its tasks may be placed in each.
    pub(super) fn zone_capacity(&self, job: &JobId, job_state: &JobState) -> Vec<(Zone, u32)> {
        let spec = &job_state.job.spec;
        let taken = self.tasks_by_zone(job, job_state);
        let max_per_zone = spec.zone_cap();
        let remaining = |zone: &Zone| max_per_zone.saturating_sub(taken.get(zone).copied().unwrap_or(0));
        self.settings
            .zones
            .iter()
            .filter(|zone| spec.zone_allowed(zone))
            .filter(|zone| !spec.together || taken.is_empty() || taken.contains_key(*zone))
            .map(|zone| (zone.clone(), remaining(zone)))
            .collect()
    }
}
