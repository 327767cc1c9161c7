//! How a service goes from one version to the next.

use super::{MAX_TASKS, Translator};
use crate::decode::Section;
use pearford_scheduler::types::Duration;
use serde::{Deserialize, Serialize};

/// How a service goes from one version to the next. Part of names' records.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Replicas replaced at a time; 0: all.
    pub max_parallel: u32,
    /// How long a replica runs before it counts as healthy.
    pub min_healthy: Duration,
    /// How long a replica may take until it is healthy.
    pub healthy_deadline: Duration,
    /// How long the rollout may go on without progress; 0: the first failure ends it.
    pub progress_deadline: Duration,
    /// Whether a rollout that fails goes back to the version before.
    pub auto_revert: bool,
}

impl Default for Update {
    fn default() -> Self {
        Self {
            max_parallel: 1,
            min_healthy: Duration::from_secs_f64(10.0),
            healthy_deadline: Duration::from_secs_f64(300.0),
            progress_deadline: Duration::from_secs_f64(600.0),
            auto_revert: false,
        }
    }
}

impl Translator<'_> {
    /// Reads `update`, each field from the group, else from the job, else the default.
    pub(super) fn update(&mut self, job: &Section, group: &Section, service: bool) -> Update {
        let default = Update::default();
        let sections: Vec<&Section> = group.block("update").into_iter().chain(job.block("update")).collect();
        if let Some(section) = group.block("update")
            && !service
        {
            let reason = "goes with type service; a batch job's new version is new work";
            self.section_fault(section, reason);
        }
        let duration = |name: &str, default: Duration| {
            let seconds = sections.iter().find_map(|section| section.seconds(name));
            seconds.map_or(default, Duration::from_secs_f64)
        };
        let max_parallel = sections.iter().find_map(|section| section.whole("max_parallel"));
        if max_parallel.is_some_and(|replicas| !(0..=MAX_TASKS).contains(&replicas)) {
            let reason = format!("max_parallel must be from 0 to {MAX_TASKS}");
            self.fault(sections[0], "max_parallel", reason);
        }
        let auto_revert = sections.iter().find_map(|section| section.flag("auto_revert"));
        Update {
            max_parallel: max_parallel
                .map_or(default.max_parallel, |replicas| replicas.clamp(0, MAX_TASKS) as u32),
            min_healthy: duration("min_healthy_time", default.min_healthy),
            healthy_deadline: duration("healthy_deadline", default.healthy_deadline),
            progress_deadline: duration("progress_deadline", default.progress_deadline),
            auto_revert: auto_revert.unwrap_or(default.auto_revert),
        }
    }
}
