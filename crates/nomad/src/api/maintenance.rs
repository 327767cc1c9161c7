//! The leader's background work for names: it advances rollouts, cancels the remaining native jobs of stopped
//! or replaced versions, and deletes old version records. It makes one commit at a time, from the maintenance
//! budget.

use super::names::{Ended, Head, NameHash, VersionRecord};
use super::rollouts::{self, Facts, Health, Step};
use super::versions::{self, VERSIONS_KEPT};
use super::writes::Writes;
use crate::decode;
use crate::fault::Faults;
use crate::translate::{Context, Job, translate};
use pearford_scheduler::extension::{Action, Outcome, View, WriteBudget};
use pearford_scheduler::types::{Duration, FencingToken, MonotonicTime, Revision};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum time between commits.
const INTERVAL: Duration = Duration::from_millis(500);
/// Delay before the next commit after a failed one.
const FAILURE_DELAY: Duration = Duration::from_millis(1000);
/// Maximum number of names examined in one tick.
const MAX_NAMES_PER_TICK: usize = 64;

/// The maintenance state. Every node updates it from the records; only the leader commits.
#[derive(Debug, Default)]
pub struct Maintenance {
    /// Names with a rollout in progress or with native jobs that must still be cancelled.
    active: BTreeSet<NameHash>,
    /// Names that may have more version records than are kept.
    untrimmed: BTreeSet<NameHash>,
    /// The active name examined last: the next tick starts after it.
    cursor: Option<NameHash>,
    health: Health,
    fencing_token: Option<FencingToken>,
    committing: Option<u64>,
    /// The earliest time of the next commit.
    next_commit_at: MonotonicTime,
    /// Part of new native jobs' ids; incremented after each conflict.
    salt: u64,
    commits: u64,
    failed_rollouts: u64,
}

impl Maintenance {
    /// Updates the sets of names after a name's record changed.
    pub fn record_changed(&mut self, hash: &NameHash, head: &Head) {
        if head.roll.as_ref().is_some_and(|r| !r.kept) || !head.ending.is_empty() {
            self.active.insert(hash.clone());
        } else if self.active.remove(hash) {
            self.health.forget(hash.as_str(), head);
        }
        if head.version > VERSIONS_KEPT {
            self.untrimmed.insert(hash.clone());
        }
    }

    /// Handles the outcome of a commit.
    pub fn committed(&mut self, tag: u64, outcome: &Outcome, now: MonotonicTime) {
        if self.committing != Some(tag) {
            return;
        }
        self.committing = None;
        if let Outcome::Done { .. } = outcome {
            self.commits += 1;
        } else {
            // The records may have changed: the next tick decides again from the current records.
            self.salt += u64::from(matches!(outcome, Outcome::Conflict(_)));
            self.next_commit_at = now + FAILURE_DELAY;
        }
    }

    /// Returns the next commit, if one is due.
    pub fn tick(
        &mut self,
        view: &View<'_>,
        heads: &BTreeMap<NameHash, Head>,
        context: &dyn Fn() -> Context,
        tag: u64,
    ) -> Option<Action> {
        if self.fencing_token != view.leadership {
            // Health is measured from the start of each leadership term; earlier observations are discarded.
            self.fencing_token = view.leadership;
            self.health.clear();
            self.committing = None;
        }
        if view.leadership.is_none() || self.committing.is_some() || view.now < self.next_commit_at {
            return None;
        }
        self.next_commit_at = view.now + INTERVAL;
        let from = self.cursor.take();
        let after_cursor = |h: &&NameHash| from.as_ref().is_none_or(|from| *h > from);
        let mut batch: Vec<NameHash> =
            self.active.iter().filter(after_cursor).take(MAX_NAMES_PER_TICK).cloned().collect();
        if batch.len() < MAX_NAMES_PER_TICK {
            let more = MAX_NAMES_PER_TICK - batch.len();
            batch.extend(self.active.iter().filter(|h| !after_cursor(h)).take(more).cloned());
        }
        let mut writes = None;
        for hash in batch {
            let Some(head) = heads.get(&hash) else { continue };
            let next = if head.ending.is_empty() {
                self.advance_rollout(view, &hash, head, context)
            } else {
                versions::cancel_ending(view, &hash)
            };
            self.cursor = Some(hash);
            if next.is_some() {
                writes = next;
                break;
            }
        }
        let Writes { conditions, changes } = writes.or_else(|| self.remove_old_version(view))?;
        self.committing = Some(tag);
        Some(Action::Commit { tag, budget: WriteBudget::Maintenance, conditions, changes })
    }

    fn remove_old_version(&mut self, view: &View<'_>) -> Option<Writes> {
        let hash = self.untrimmed.first()?.clone();
        let writes = versions::remove_oldest_version(view, &hash);
        if writes.is_none() {
            self.untrimmed.remove(&hash);
        }
        writes
    }

    /// Returns the writes of a rollout's next step, if one is due.
    fn advance_rollout(
        &mut self,
        view: &View<'_>,
        hash: &NameHash,
        head: &Head,
        context: &dyn Fn() -> Context,
    ) -> Option<Writes> {
        let (revision, _) = view.records.get(&hash.key())?;
        let roll = head.roll.as_ref()?;
        let mut parts = BTreeMap::new();
        for group in &head.groups {
            let min = group.update.unwrap_or_default().min_healthy;
            for part in &group.parts {
                let open = versions::is_open(view, &part.id);
                let running = view.task_counts(&part.id).map_or(0, |counts| counts.running);
                let waiting = view.waiting(&part.id).unwrap_or(0);
                let now = if open { (running, waiting) } else { (0, 0) };
                let status = self.health.observe(hash.as_str(), &part.id, now, part.tasks, min, view.now);
                parts.insert(part.id.clone(), status);
            }
        }
        let fits = |group: &str| {
            let part = head.groups.iter().find(|g| g.name == group).and_then(|g| g.parts.first());
            let spec = part.and_then(|p| view.jobs.get(&p.id)).and_then(|k| k.record.open()).map(|j| &j.spec);
            spec.is_none_or(|spec| rollouts::fits(view.remaining_quota(&spec.team), &spec.resources))
        };
        let facts = Facts {
            parts: &parts,
            fits: &fits,
            open: &|id| versions::is_open(view, id),
            unchanged: self.health.unchanged(hash.as_str(), view.now),
            wall_ms: view.wall_time.0,
        };
        match rollouts::next(head, roll, &facts) {
            Step::Wait => None,
            Step::Cancel(id) => {
                self.health.record_change(hash.as_str(), view.now);
                let next = rollouts::with_part_removed(head, &id, view.wall_time.0);
                Some(versions::write_rollout(view, revision, &next, Some(&id)))
            }
            Step::Finish => {
                let ended =
                    if head.ended == Some(Ended::Reverted) { Ended::Reverted } else { Ended::Successful };
                let next = Head { roll: None, ended: Some(ended), ..head.clone() };
                tracing::info!(
                    job = head.name,
                    version = head.version,
                    "rollout finished; only the new version runs"
                );
                Some(versions::write_rollout(view, revision, &next, None))
            }
            Step::Fail => {
                self.failed_rollouts += 1;
                Some(self.fail_rollout(view, revision, head, context))
            }
        }
    }

    /// Handles a failed rollout: reverts it if a group has `auto_revert` and the revert is possible, else
    /// leaves it as it is.
    fn fail_rollout(
        &self,
        view: &View<'_>,
        revision: Revision,
        head: &Head,
        context: &dyn Fn() -> Context,
    ) -> Writes {
        let reverts = head.groups.iter().any(|g| g.update.is_some_and(|u| u.auto_revert));
        // A revert that fails is not reverted again.
        if reverts
            && head.ended != Some(Ended::Reverted)
            && let Some(before) = previous_version(view, head, context)
            && let Some(writes) = versions::revert(view, revision, head, &before, self.salt)
        {
            tracing::warn!(
                job = head.name,
                version = head.version,
                "rollout failed; reverting to the previous version"
            );
            return writes;
        }
        tracing::warn!(
            job = head.name,
            version = head.version,
            "rollout failed and is left as it is; register a corrected version or stop the job"
        );
        let mut next = head.clone();
        if let Some(roll) = &mut next.roll {
            roll.kept = true;
        }
        next.ended = Some(Ended::Failed);
        versions::write_rollout(view, revision, &next, None)
    }

    /// Appends the metrics.
    pub fn metrics(&self, lines: &mut Vec<String>) {
        lines.push(format!("pearford_nomad_rolls {}", self.active.len()));
        lines.push(format!("pearford_nomad_upkeep_commits {}", self.commits));
        lines.push(format!("pearford_nomad_rolls_failed {}", self.failed_rollouts));
    }
}

/// The version that a rollout started from, translated from its record.
fn previous_version(view: &View<'_>, head: &Head, context: &dyn Fn() -> Context) -> Option<Job> {
    let from = head.roll.as_ref()?.from;
    let (_, record) = view.records.get(&head.hash().version_key(from))?;
    let record: VersionRecord = serde_json::from_str(record).ok()?;
    let mut faults = Faults::default();
    let mut section = decode::api(&record.job()?, &mut faults);
    section.default_text("namespace", &head.namespace);
    translate(&section, &context(), faults).ok()
}
