//! How a service goes from one version to the next. Pure: what the leader sees goes in, the next step
//! comes out. The steps that are taken are durable, so that the next leader goes on from there.
//!
//! New replicas come beside the old ones, and old ones go only once as many new ones are healthy. Only
//! where the team's limit leaves no room for another new one does an old part go first.

use super::guards::{Guard, holds};
use super::names::{Head, Rollout};
use pearford_scheduler::types::{Duration, JobId, MonotonicTime, Resources};
use std::collections::BTreeMap;

/// How long the limit must have been in the way before an old part goes first: what was just placed or
/// stopped takes a while to show.
const QUOTA_SETTLING_TIME: Duration = Duration::from_millis(4000);

/// What the leader sees of a new part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    /// Tasks that run.
    pub running: u32,
    /// Tasks without a machine.
    pub waiting: u32,
    /// All of its tasks have run for the group's `min_healthy`.
    pub healthy: bool,
}

/// What a step is decided from.
pub struct Facts<'a> {
    /// Parts of the new version.
    pub parts: &'a BTreeMap<JobId, Seen>,
    /// Whether another task of the group fits its team's limit.
    pub fits: &'a dyn Fn(&str) -> bool,
    /// Whether the old part's job is still open.
    pub open: &'a dyn Fn(&JobId) -> bool,
    /// How long nothing has changed that this leader has seen.
    pub unchanged: Duration,
    /// Time of day, in ms.
    pub wall_ms: u64,
}

/// The next step of a rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Nothing to do yet.
    Wait,
    /// This old part goes; it has gone already if it isn't open any more.
    Cancel(JobId),
    /// The new version runs alone.
    Finish,
    /// No progress within the deadline.
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
    let seen =
        |id: &JobId| facts.parts.get(id).copied().unwrap_or(Seen { running: 0, waiting: 0, healthy: false });
    let mut all_healthy = true;
    for group in &head.groups {
        let healthy: u32 = group.parts.iter().filter(|p| seen(&p.id).healthy).map(|p| p.tasks).sum();
        let whole = group.parts.iter().all(|p| seen(&p.id).healthy);
        all_healthy &= whole;
        let Some(old) = roll.olds.iter().find(|o| o.group == group.name) else { continue };
        let gone: u32 = roll.gone.iter().filter(|(g, _)| *g == group.name).map(|(_, n)| n).sum();
        if whole || healthy >= gone + old.part.tasks || !holds(Guard::HealthyFirst) {
            return Step::Cancel(old.part.id.clone());
        }
        // More of the new version waits, and the limit has no room for it. What has a machine but does not
        // run yet takes of the limit too: it is waited for. (With two of three new replicas up, a roll once
        // waited for the third until it had failed: seed 316 of the histories. And with all that fits on
        // its way, an old replica once went for nothing: seed 10 of the rolls.)
        let waits = group.parts.iter().any(|p| seen(&p.id).waiting > 0);
        let coming = group.parts.iter().any(|p| seen(&p.id).running + seen(&p.id).waiting < p.tasks);
        let min_healthy = group.update.unwrap_or_default().min_healthy;
        let settled = facts.unchanged.0 >= QUOTA_SETTLING_TIME.0 + min_healthy.0;
        if waits && !coming && settled && !(facts.fits)(&group.name) {
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

/// The record after an old part has gone.
pub fn without(head: &Head, id: &JobId, wall_ms: u64) -> Head {
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

/// Whether a task of `each` fits what is left of a limit.
pub fn fits(left: Option<Resources>, each: &Resources) -> bool {
    left.is_some_and(|left| each.fits_in(&left))
}

/// When each part became healthy, as this leader has seen it: a new leader counts anew.
#[derive(Debug, Default)]
pub struct Health {
    full_since: BTreeMap<JobId, MonotonicTime>,
    running: BTreeMap<JobId, u32>,
    changed_at: BTreeMap<String, MonotonicTime>,
}

impl Health {
    /// Takes in how many tasks of a part run, of `tasks`; says how it is seen.
    pub fn see(
        &mut self,
        name: &str,
        id: &JobId,
        (running, waiting): (u32, u32),
        tasks: u32,
        min: Duration,
        now: MonotonicTime,
    ) -> Seen {
        if self.running.insert(id.clone(), running) != Some(running) {
            self.changed_at.insert(name.into(), now);
        }
        if running < tasks {
            self.full_since.remove(id);
            return Seen { running, waiting, healthy: false };
        }
        let since = *self.full_since.entry(id.clone()).or_insert(now);
        Seen { running, waiting, healthy: now.since(since) >= min }
    }

    /// How long nothing has changed under a name.
    pub fn unchanged(&self, name: &str, now: MonotonicTime) -> Duration {
        self.changed_at.get(name).map_or(Duration::from_millis(0), |at| now.since(*at))
    }

    /// Takes in that something has changed under a name.
    pub fn touched(&mut self, name: &str, now: MonotonicTime) {
        self.changed_at.insert(name.into(), now);
    }

    /// Forgets a name.
    pub fn forget(&mut self, name: &str, head: &Head) {
        self.changed_at.remove(name);
        for part in head.parts() {
            self.full_since.remove(&part.id);
            self.running.remove(&part.id);
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
