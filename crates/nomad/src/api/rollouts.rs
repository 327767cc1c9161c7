//! Decides the steps of a service's rollout from one version to the next. Pure functions: they compute the
//! next step from the leader's observations. Each step is stored, so that a new leader continues from it.
//!
//! New replicas start beside the old ones, and an old part is cancelled only once as many new replicas are
//! healthy. An old part is cancelled earlier only if the team's limit leaves no room for another new replica.

use super::guards::{Guard, holds};
use super::names::{Head, Rollout};
use pearford_scheduler::types::{Duration, JobId, MonotonicTime, Resources};
use std::collections::BTreeMap;

/// How long a name's task counts must be unchanged before an old part is cancelled for lack of quota: recent
/// placements and stops reach the quota with a delay.
const QUOTA_SETTLING_TIME: Duration = Duration::from_millis(4000);

/// The leader's observation of a part of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartStatus {
    /// Running tasks.
    pub running: u32,
    /// Tasks without a machine.
    pub waiting: u32,
    /// Whether all of its tasks have run for the group's `min_healthy`.
    pub healthy: bool,
}

/// The inputs of a decision.
pub struct Facts<'a> {
    /// Parts of the new version.
    pub parts: &'a BTreeMap<JobId, PartStatus>,
    /// Whether another task of the group fits its team's limit.
    pub fits: &'a dyn Fn(&str) -> bool,
    /// Whether the old part's job is still open.
    pub open: &'a dyn Fn(&JobId) -> bool,
    /// Time since the last change that this leader observed.
    pub unchanged: Duration,
    /// Time of day, in ms.
    pub wall_ms: u64,
}

/// The next step of a rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Nothing to do yet.
    Wait,
    /// Cancel this old part and remove it from the rollout; its job may have ended already.
    Cancel(JobId),
    /// Only the new version runs: the rollout is complete.
    Finish,
    /// The rollout made no progress within its deadline.
    Fail,
}

/// Decides the next step.
pub fn next(head: &Head, roll: &Rollout, facts: &Facts<'_>) -> Step {
    if roll.kept {
        return Step::Wait;
    }
    if let Some(old) = roll.olds.iter().find(|o| !(facts.open)(&o.part.id)) {
        return Step::Cancel(old.part.id.clone());
    }
    let status = |id: &JobId| {
        facts.parts.get(id).copied().unwrap_or(PartStatus { running: 0, waiting: 0, healthy: false })
    };
    let mut all_healthy = true;
    for group in &head.groups {
        let healthy: u32 = group.parts.iter().filter(|p| status(&p.id).healthy).map(|p| p.tasks).sum();
        let group_healthy = group.parts.iter().all(|p| status(&p.id).healthy);
        all_healthy &= group_healthy;
        let Some(old) = roll.olds.iter().find(|o| o.group == group.name) else { continue };
        let gone: u32 = roll.gone.iter().filter(|(g, _)| *g == group.name).map(|(_, n)| n).sum();
        if group_healthy || healthy >= gone + old.part.tasks || !holds(Guard::HealthyFirst) {
            return Step::Cancel(old.part.id.clone());
        }
        // Cancels an old part if new tasks wait and the limit has no room for them. Without this, a rollout
        // with two of three new replicas running would wait for the third until its deadline. Tasks that have
        // a machine but don't run yet count against the limit too: cancelling an old part before they run
        // would remove a replica without need.
        let has_waiting = group.parts.iter().any(|p| status(&p.id).waiting > 0);
        let has_starting =
            group.parts.iter().any(|p| status(&p.id).running + status(&p.id).waiting < p.tasks);
        let min_healthy = group.update.unwrap_or_default().min_healthy;
        let settled = facts.unchanged.0 >= QUOTA_SETTLING_TIME.0 + min_healthy.0;
        if has_waiting && !has_starting && settled && !(facts.fits)(&group.name) {
            return Step::Cancel(old.part.id.clone());
        }
    }
    if roll.olds.is_empty() && all_healthy {
        return Step::Finish;
    }
    let deadline = head.groups.iter().filter_map(|g| g.update).map(|u| match u.progress_deadline.0 {
        0 => u.healthy_deadline.0,
        ms => ms,
    });
    let deadline = deadline.max().unwrap_or(u64::MAX);
    if facts.wall_ms.saturating_sub(roll.progressed_ms) > deadline { Step::Fail } else { Step::Wait }
}

/// The name's record after an old part was removed from the rollout.
pub fn with_part_removed(head: &Head, id: &JobId, wall_ms: u64) -> Head {
    let mut head = head.clone();
    if let Some(roll) = &mut head.roll {
        for old in roll.olds.extract_if(.., |o| o.part.id == *id) {
            match roll.gone.iter_mut().find(|(g, _)| *g == old.group) {
                Some((_, n)) => *n += old.part.tasks,
                None => roll.gone.push((old.group, old.part.tasks)),
            }
        }
        roll.progressed_ms = wall_ms;
    }
    head
}

/// Whether a task with resources `each` fits into the remaining quota.
pub fn fits(remaining: Option<Resources>, each: &Resources) -> bool {
    remaining.is_some_and(|remaining| each.fits_in(&remaining))
}

/// Since when each part has run all its tasks, as this leader observed it. A new leader starts with no
/// observations.
#[derive(Debug, Default)]
pub struct Health {
    full_since: BTreeMap<JobId, MonotonicTime>,
    running: BTreeMap<JobId, u32>,
    changed_at: BTreeMap<String, MonotonicTime>,
}

impl Health {
    /// Records the running tasks of a part with `tasks` tasks, and returns the part's status.
    pub fn observe(
        &mut self,
        name: &str,
        id: &JobId,
        (running, waiting): (u32, u32),
        tasks: u32,
        min: Duration,
        now: MonotonicTime,
    ) -> PartStatus {
        if self.running.insert(id.clone(), running) != Some(running) {
            self.changed_at.insert(name.into(), now);
        }
        if running < tasks {
            self.full_since.remove(id);
            return PartStatus { running, waiting, healthy: false };
        }
        let since = *self.full_since.entry(id.clone()).or_insert(now);
        PartStatus { running, waiting, healthy: now.since(since) >= min }
    }

    /// Time since the last observed change of a name's parts.
    pub fn unchanged(&self, name: &str, now: MonotonicTime) -> Duration {
        self.changed_at.get(name).map_or(Duration::from_millis(0), |at| now.since(*at))
    }

    /// Records a change of a name's parts.
    pub fn record_change(&mut self, name: &str, now: MonotonicTime) {
        self.changed_at.insert(name.into(), now);
    }

    /// Removes the observations of a name.
    pub fn forget(&mut self, name: &str, head: &Head) {
        self.changed_at.remove(name);
        for part in head.parts() {
            self.full_since.remove(&part.id);
            self.running.remove(&part.id);
        }
    }

    /// Removes all observations.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
