//! What the leader does for names beside requests: rollouts, native jobs left to cancel, old versions. One commit at a
//! time, from what the node has to spare.

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

/// Time between commits, at least.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time until the next commit after one that failed.
const PAUSE: Duration = Duration::from_millis(1000);
/// Names considered in one step.
const MAX_NAMES_PER_STEP: usize = 64;

/// The leader's maintenance; on other nodes it only keeps up with the records.
#[derive(Debug, Default)]
pub struct Maintenance {
    /// Names with a rollout, or with native jobs left to cancel.
    active: BTreeSet<NameHash>,
    /// Names with versions beyond those that are kept.
    untidy: BTreeSet<NameHash>,
    /// The active name considered last: the next step begins after it.
    after: Option<NameHash>,
    health: Health,
    fencing_token: Option<FencingToken>,
    committing: Option<u64>,
    next: MonotonicTime,
    salt: u64,
    steps: u64,
    failed: u64,
}

impl Maintenance {
    /// Takes in a name's record as it is now.
    pub fn record_changed(&mut self, hash: &NameHash, head: &Head) {
        if head.roll.as_ref().is_some_and(|r| !r.kept) || !head.ending.is_empty() {
            self.active.insert(hash.clone());
        } else if self.active.remove(hash) {
            self.health.forget(hash.as_str(), head);
        }
        if head.version > VERSIONS_KEPT {
            self.untidy.insert(hash.clone());
        }
    }

    /// Takes in the outcome of a commit.
    pub fn committed(&mut self, tag: u64, outcome: &Outcome, now: MonotonicTime) {
        if self.committing != Some(tag) {
            return;
        }
        self.committing = None;
        if let Outcome::Done { .. } = outcome {
            self.steps += 1;
        } else {
            // The records may have changed meanwhile: it is decided anew from what they say then.
            self.salt += u64::from(matches!(outcome, Outcome::Conflict(_)));
            self.next = now + PAUSE;
        }
    }

    /// The next commit, if one is due.
    pub fn tick(
        &mut self,
        view: &View<'_>,
        heads: &BTreeMap<NameHash, Head>,
        context: &dyn Fn() -> Context,
        tag: u64,
    ) -> Option<Action> {
        if self.fencing_token != view.leadership {
            // What an earlier leader saw counts for nothing: health is counted anew.
            self.fencing_token = view.leadership;
            self.health.clear();
            self.committing = None;
        }
        if view.leadership.is_none() || self.committing.is_some() || view.now < self.next {
            return None;
        }
        self.next = view.now + INTERVAL;
        let from = self.after.take();
        let later = |h: &&NameHash| from.as_ref().is_none_or(|from| *h > from);
        let mut turn: Vec<NameHash> =
            self.active.iter().filter(later).take(MAX_NAMES_PER_STEP).cloned().collect();
        if turn.len() < MAX_NAMES_PER_STEP {
            let more = MAX_NAMES_PER_STEP - turn.len();
            turn.extend(self.active.iter().filter(|h| !later(h)).take(more).cloned());
        }
        let mut writes = None;
        for hash in turn {
            let Some(head) = heads.get(&hash) else { continue };
            let next = if head.ending.is_empty() {
                self.roll(view, &hash, head, context)
            } else {
                versions::end_some(view, &hash)
            };
            self.after = Some(hash);
            if next.is_some() {
                writes = next;
                break;
            }
        }
        let Writes { conditions, changes } = writes.or_else(|| self.tidy(view))?;
        self.committing = Some(tag);
        Some(Action::Commit { tag, budget: WriteBudget::Maintenance, conditions, changes })
    }

    fn tidy(&mut self, view: &View<'_>) -> Option<Writes> {
        let hash = self.untidy.first()?.clone();
        let writes = versions::tidy(view, &hash);
        if writes.is_none() {
            self.untidy.remove(&hash);
        }
        writes
    }

    /// The next step of a roll.
    fn roll(
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
                let seen = self.health.see(hash.as_str(), &part.id, now, part.tasks, min, view.now);
                parts.insert(part.id.clone(), seen);
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
                self.health.touched(hash.as_str(), view.now);
                let next = rollouts::without(head, &id, view.wall_time.0);
                Some(versions::write_roll(view, revision, &next, Some(&id)))
            }
            Step::Finish => {
                let ended =
                    if head.ended == Some(Ended::Reverted) { Ended::Reverted } else { Ended::Successful };
                let next = Head { roll: None, ended: Some(ended), ..head.clone() };
                tracing::info!(job = head.name, version = head.version, "the new version runs alone");
                Some(versions::write_roll(view, revision, &next, None))
            }
            Step::Fail => {
                self.failed += 1;
                Some(self.fail(view, revision, head, context))
            }
        }
    }

    /// A failed roll goes back where it is to and can; else it is kept as it stands.
    fn fail(
        &self,
        view: &View<'_>,
        revision: Revision,
        head: &Head,
        context: &dyn Fn() -> Context,
    ) -> Writes {
        let reverts = head.groups.iter().any(|g| g.update.is_some_and(|u| u.auto_revert));
        // A way back that fails too is not turned once more.
        if reverts
            && head.ended != Some(Ended::Reverted)
            && let Some(before) = before(view, head, context)
            && let Some(writes) = versions::revert(view, revision, head, &before, self.salt)
        {
            tracing::warn!(job = head.name, version = head.version, "the roll has failed; goes back");
            return writes;
        }
        tracing::warn!(job = head.name, version = head.version, "the roll has failed; kept as it stands");
        let mut next = head.clone();
        if let Some(roll) = &mut next.roll {
            roll.kept = true;
        }
        next.ended = Some(Ended::Failed);
        versions::write_roll(view, revision, &next, None)
    }

    /// Adds its metrics.
    pub fn metrics(&self, lines: &mut Vec<String>) {
        lines.push(format!("pearford_nomad_rolls {}", self.active.len()));
        lines.push(format!("pearford_nomad_upkeep_commits {}", self.steps));
        lines.push(format!("pearford_nomad_rolls_failed {}", self.failed));
    }
}

/// The version before a roll, as it was registered.
fn before(view: &View<'_>, head: &Head, context: &dyn Fn() -> Context) -> Option<Job> {
    let from = head.roll.as_ref()?.from;
    let (_, record) = view.records.get(&head.hash().version_key(from))?;
    let record: VersionRecord = serde_json::from_str(record).ok()?;
    let mut faults = Faults::default();
    let mut section = decode::api(&record.job()?, &mut faults);
    section.default_text("namespace", &head.namespace);
    translate(&section, &context(), faults).ok()
}
