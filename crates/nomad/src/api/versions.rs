//! What a registration or a stop leads to. All of it is one transaction: the name's record, the
//! version's, and the native jobs, conditional on the name's record as it was read.

use super::guards::{Guard, holds};
use super::names::{Ended, GroupRecord, Head, NameHash, Old, Part, Rollout, VersionRecord, part_id, split};
use crate::translate::Job;
use pearford_scheduler::extension::View;
use pearford_scheduler::jobs::{self, Record};
use pearford_scheduler::types::{JobId, Revision};
use pearford_scheduler::wire::state::Change;
use serde_json::Value;

/// A transaction.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Writes {
    pub conditions: Vec<(String, Revision)>,
    pub changes: Vec<Change>,
}

impl Writes {
    fn put(&mut self, key: String, revision: Revision, value: String) {
        self.conditions.push((key.clone(), revision));
        self.changes.push(Change::Put { key, value, lease: None });
    }

    /// Withdraws a native job, if it has no final answer yet: then the same transaction fails where it
    /// gets one meanwhile, so that neither overwrites the other.
    fn cancel(&mut self, view: &View<'_>, id: &JobId) {
        if holds(Guard::Withdrawal)
            && let Some(known) = view.jobs.get(id).filter(|k| k.record.is_open())
        {
            self.put(jobs::key(id), known.revision, Record::Cancelled.to_value());
        }
    }

    /// Withdraws as many as the transaction has room for; gives the rest, for `ending`.
    fn cancel_some(&mut self, view: &View<'_>, mut open: Vec<JobId>, at_most: usize) -> Vec<JobId> {
        let rest = open.split_off(at_most.min(open.len()));
        open.iter().for_each(|id| self.cancel(view, id));
        rest
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It is so already.
    Same,
    Write(Writes),
    Refuse {
        status: u16,
        why: String,
    },
}

fn refuse(status: u16, why: impl Into<String>) -> Decision {
    Decision::Refuse { status, why: why.into() }
}

/// The name's record as this node knows it.
pub fn head_of(view: &View<'_>, hash: &NameHash) -> Option<(Revision, Head)> {
    let (revision, value) = view.records.get(&hash.key())?;
    match serde_json::from_str(value) {
        Ok(head) => Some((revision, head)),
        Err(error) => {
            tracing::error!(key = hash.key(), %error, "a name's record can't be read");
            None
        }
    }
}

/// Revision of the last registration or stop: what clients call the job's modify index.
pub fn modify_index(view: &View<'_>, head: &Head) -> u64 {
    view.records.get(&head.hash().version_key(head.version)).map_or(0, |(revision, _)| revision.0)
}

pub fn is_open(view: &View<'_>, id: &JobId) -> bool {
    view.jobs.get(id).is_some_and(|k| k.record.is_open())
}

/// Registers a job. `enforce`: the modify index that the client has read; 0: none. `salt` moves on when an
/// id turns out to be taken.
pub fn register(view: &View<'_>, job: &Job, json: &Value, enforce: Option<u64>, salt: u64) -> Decision {
    let hash = NameHash::of(&job.namespace, &job.id);
    let known = head_of(view, &hash);
    if known.is_none() && view.records.get(&hash.key()).is_some() {
        return refuse(500, "the record of this name can't be read; see the log");
    }
    let digest = job.digest();
    // Before the check of the index: a client that repeats itself has changed the index by its first try.
    if holds(Guard::Repeat) && known.as_ref().is_some_and(|(_, head)| head.digest == digest) {
        return Decision::Same;
    }
    let index = known.as_ref().map_or(0, |(_, head)| if head.purged { 0 } else { modify_index(view, head) });
    if let Some(enforced) = enforce
        && enforced != index
    {
        return refuse(
            409,
            format!("Enforcing job modify index {enforced}: the job's is {index}; read it again"),
        );
    }
    for group in &job.groups {
        if let Err(refusal) = view.admission.check(&group.spec) {
            return refuse(refusal.status.as_u16(), format!("group `{}`: {}", group.name, refusal.reason));
        }
    }
    let ops = view.settings.state.txn_ops;
    let groups_at_most = ops.saturating_sub(2);
    if job.groups.len() > groups_at_most {
        let why = format!(
            "has {} groups; the state service takes {ops} changes at once, so at most {groups_at_most}: make several jobs",
            job.groups.len()
        );
        return refuse(422, why);
    }
    let version = known.as_ref().map_or(0, |(_, head)| head.version + 1);
    let mut writes = Writes::default();
    let mut groups = Vec::new();
    let mut made = Vec::new();
    for (g, group) in job.groups.iter().enumerate() {
        let sizes = split(job, g, view.settings, groups_at_most / job.groups.len());
        let mut parts = Vec::new();
        for (p, tasks) in sizes.into_iter().enumerate() {
            let id = part_id(&hash, version, &group.name, p, salt);
            if let Some(never) = view.admission.dependency_error(&id, &group.spec) {
                return refuse(422, format!("group `{}`: {never}", group.name));
            }
            let mut spec = group.spec.clone();
            spec.tasks = tasks;
            made.push((jobs::key(&id), Record::Open(view.admission.open(&spec)).to_value()));
            parts.push(Part { id, tasks });
        }
        let update = job.service.then_some(group.update);
        groups.push(GroupRecord { name: group.name.clone(), task: group.task.clone(), parts, update });
    }
    let mut head = Head {
        namespace: job.namespace.clone(),
        name: job.id.clone(),
        version,
        digest: digest.clone(),
        service: job.service,
        priority: job.priority,
        submitted_ms: view.wall_time.0,
        created: 0,
        groups,
        stopped: false,
        purged: false,
        roll: None,
        ended: None,
        ending: Vec::new(),
    };
    let mut leaving = Vec::new();
    if let Some((revision, old)) = &known {
        head.created = if old.created > 0 { old.created } else { revision.0 };
        succeed(view, old, &mut head, &mut leaving);
    }
    let record = VersionRecord::new(&digest, view.wall_time.0, json).to_value();
    let revision = known.as_ref().map_or(Revision(0), |(revision, _)| *revision);
    let spare = ops - 2 - made.len();
    head.ending.extend(writes.cancel_some(view, leaving, spare));
    for (what, value) in [("its record", &head.to_value()), ("the job", &record)] {
        let (bytes, limit) = (value.len(), view.settings.state.value_bytes);
        if bytes > limit {
            let why = format!(
                "{what} takes {bytes} bytes and the state service stores {limit}; make the job smaller"
            );
            return refuse(422, why);
        }
    }
    made.into_iter().for_each(|(key, value)| writes.put(key, Revision(0), value));
    writes.put(hash.key(), revision, head.to_value());
    writes.put(hash.version_key(version), Revision(0), record);
    Decision::Write(writes)
}

/// What becomes of the native jobs of the version before: a service's are rolled, others withdrawn.
fn succeed(view: &View<'_>, old: &Head, head: &mut Head, leaving: &mut Vec<JobId>) {
    head.ending = old.ending.iter().filter(|id| is_open(view, id)).cloned().collect();
    let mut olds: Vec<Old> = old.roll.iter().flat_map(|r| r.olds.clone()).collect();
    for group in &old.groups {
        olds.extend(group.parts.iter().map(|p| Old { group: group.name.clone(), part: p.clone() }));
    }
    olds.retain(|o| is_open(view, &o.part.id));
    let rollouts = old.service && head.service && !old.stopped;
    let (staying, going): (Vec<Old>, Vec<Old>) =
        olds.into_iter().partition(|o| rollouts && head.groups.iter().any(|g| g.name == o.group));
    leaving.extend(going.into_iter().map(|o| o.part.id));
    if !staying.is_empty() {
        let from = old.roll.as_ref().filter(|r| !r.kept).map_or(old.version, |r| r.from);
        head.roll = Some(Rollout {
            from,
            olds: staying,
            gone: Vec::new(),
            progressed_ms: view.wall_time.0,
            kept: false,
        });
    }
}

/// Stops a job: no new version, and all of its native jobs withdrawn, those of a roll included.
pub fn deregister(view: &View<'_>, hash: &NameHash, purge: bool) -> Decision {
    let Some((revision, mut head)) = head_of(view, hash) else {
        return refuse(404, "there is no such job in this namespace");
    };
    if head.stopped && (head.purged || !purge) {
        return Decision::Same;
    }
    let open: Vec<JobId> = head.jobs().filter(|id| is_open(view, id)).cloned().collect();
    if head.roll.take().is_some() {
        head.ended = Some(Ended::Cancelled);
    }
    head.stopped = true;
    head.purged |= purge;
    let mut writes = Writes::default();
    // The version's record is written again: its revision is the index that clients compare.
    let version_key = hash.version_key(head.version);
    let version = view.records.get(&version_key).map(|(revision, value)| (revision, value.to_string()));
    let at_once = view.settings.state.txn_ops - 1 - usize::from(version.is_some());
    head.ending = writes.cancel_some(view, open, at_once);
    writes.put(hash.key(), revision, head.to_value());
    if let Some((revision, value)) = version {
        writes.put(version_key, revision, value);
    }
    Decision::Write(writes)
}

/// Withdraws what a stop or a new version could not withdraw at once.
pub fn end_some(view: &View<'_>, hash: &NameHash) -> Option<Writes> {
    let (revision, mut head) = head_of(view, hash)?;
    if head.ending.is_empty() {
        return None;
    }
    let mut writes = Writes::default();
    let at_once = view.settings.state.txn_ops - 1;
    let open: Vec<JobId> = head.ending.iter().filter(|id| is_open(view, id)).cloned().collect();
    head.ending = writes.cancel_some(view, open, at_once);
    writes.put(hash.key(), revision, head.to_value());
    Some(writes)
}

/// Versions whose records are kept, besides the newest.
pub const VERSIONS_KEPT: u64 = 6;

/// Removes the oldest version's record beyond those that are kept.
pub fn tidy(view: &View<'_>, hash: &NameHash) -> Option<Writes> {
    let (revision, head) = head_of(view, hash)?;
    let from = hash.versions_from();
    let (key, old, _) = view.records.iter_from(&from).next().filter(|(key, ..)| key.starts_with(&from))?;
    let version: u64 = key.rsplit('/').next()?.parse().ok()?;
    let rolls_from = head.roll.as_ref().is_some_and(|r| r.from == version);
    if version + VERSIONS_KEPT >= head.version || rolls_from {
        return None;
    }
    let key = key.to_string();
    Some(Writes {
        // As it was looked at: a roll that goes back could need it by now.
        conditions: vec![(hash.key(), revision), (key.clone(), old)],
        changes: vec![Change::Delete { key }],
    })
}

/// How a roll goes on, as the leader decided.
pub fn write_roll(view: &View<'_>, revision: Revision, head: &Head, cancel: Option<&JobId>) -> Writes {
    let mut writes = Writes::default();
    if let Some(id) = cancel {
        writes.cancel(view, id);
    }
    writes.put(head.hash().key(), revision, head.to_value());
    writes
}

/// Goes back to the version before a roll that has failed: its parts that are still there go on, those that
/// have gone come anew, and what the failed version has is rolled away.
pub fn revert(view: &View<'_>, revision: Revision, failed: &Head, before: &Job, salt: u64) -> Option<Writes> {
    let roll = failed.roll.as_ref()?;
    let hash = failed.hash();
    let (_, record) = view.records.get(&hash.version_key(roll.from))?;
    let record: VersionRecord = serde_json::from_str(record).ok()?;
    let version = failed.version + 1;
    let mut writes = Writes::default();
    let mut groups = Vec::new();
    for group in &before.groups {
        let mut parts: Vec<Part> =
            roll.olds.iter().filter(|o| o.group == group.name).map(|o| o.part.clone()).collect();
        let there: u32 = parts.iter().map(|p| p.tasks).sum();
        let missing = group.spec.tasks.saturating_sub(there);
        if missing > 0 {
            let id = part_id(&hash, version, &group.name, parts.len(), salt);
            let mut spec = group.spec.clone();
            spec.tasks = missing;
            let value = Record::Open(view.admission.open(&spec)).to_value();
            writes.put(jobs::key(&id), Revision(0), value);
            parts.push(Part { id, tasks: missing });
        }
        let update = Some(group.update);
        groups.push(GroupRecord { name: group.name.clone(), task: group.task.clone(), parts, update });
    }
    let mut olds = Vec::new();
    for group in &failed.groups {
        olds.extend(group.parts.iter().map(|p| Old { group: group.name.clone(), part: p.clone() }));
    }
    let head = Head {
        version,
        digest: record.digest.clone(),
        submitted_ms: view.wall_time.0,
        groups,
        roll: Some(Rollout {
            from: failed.version,
            olds,
            gone: Vec::new(),
            progressed_ms: view.wall_time.0,
            kept: false,
        }),
        ended: Some(Ended::Reverted),
        ..failed.clone()
    };
    writes.put(hash.key(), revision, head.to_value());
    writes.put(hash.version_key(version), Revision(0), record.to_value());
    (writes.changes.len() <= view.settings.state.txn_ops).then_some(writes)
}
