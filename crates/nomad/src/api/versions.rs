//! Builds the transaction of a registration or a stop: the name's record, the version's record and the native
//! jobs' records in one transaction, conditional on the revision of the name's record.
//!
//! `retry` calls this module for clients' writes, `maintenance` for the leader's background work.

use super::guards::{Guard, holds};
use super::names::{Ended, GroupRecord, Head, NameHash, Old, Part, Rollout, VersionRecord, part_id, split};
use super::reply::{Refusal, status};
use super::writes::Writes;
use crate::translate::{Group, Job};
use pearford_scheduler::extension::View;
use pearford_scheduler::jobs::{self, Record};
use pearford_scheduler::types::{JobId, Revision};
use pearford_scheduler::wire::state::Change;
use serde_json::Value;

/// The revision of a key that must not exist.
const ABSENT: Revision = Revision(0);
/// Number of records that a registration writes besides native jobs' records: the name's and the version's.
const NAME_RECORDS: usize = 2;

/// The decision on a registration or a stop that is not refused.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Nothing to write: the records are in the requested state already.
    Same,
    /// Commit this transaction.
    Write(Writes),
}

/// A name's record as this node has read it.
pub struct RecordedName {
    /// Revision of the record.
    pub revision: Revision,
    /// The record.
    pub head: Head,
}

/// The name's record as this node has read it; none if it is absent or can't be decoded, which is logged.
pub fn recorded_name(view: &View<'_>, hash: &NameHash) -> Option<RecordedName> {
    let (revision, value) = view.records.get(&hash.key())?;
    match serde_json::from_str(value) {
        Ok(head) => Some(RecordedName { revision, head }),
        Err(error) => {
            tracing::error!(
                key = hash.key(),
                %error,
                "a name's record can't be decoded; the name is skipped until its record is repaired"
            );
            None
        }
    }
}

/// Revision of the last registration or stop: what clients call the job's modify index.
pub fn modify_index(view: &View<'_>, head: &Head) -> u64 {
    view.records.get(&head.hash().version_key(head.version)).map_or(0, |(revision, _)| revision.0)
}

/// Whether a native job exists and is not finished.
pub fn is_open(view: &View<'_>, id: &JobId) -> bool {
    view.jobs.get(id).is_some_and(|known| known.record.is_open())
}

/// The record of a native job to be created.
struct NewRecord {
    key: String,
    value: String,
}

/// The native jobs of a new version.
struct NewParts {
    groups: Vec<GroupRecord>,
    records: Vec<NewRecord>,
}

/// Registers a job. `enforced_index` is the modify index that the client requires, if any; 0 requires that
/// the job is not registered. `salt` is increased by the caller if the id of a new native job is already in
/// use.
///
/// # Errors
/// The job is refused; the refusal holds the answer to the client.
pub fn register(
    view: &View<'_>,
    job: &Job,
    json: &Value,
    enforced_index: Option<u64>,
    salt: u64,
) -> Result<Decision, Refusal> {
    let hash = NameHash::of(&job.namespace, &job.id);
    let known = recorded_name(view, &hash);
    if known.is_none() && view.records.get(&hash.key()).is_some() {
        let reason = "the record of this name can't be read; see the log";
        return Err(Refusal::new(status::INTERNAL_ERROR, reason));
    }
    let digest = job.digest();
    // Must precede the check of the index: a client that retries has changed the index with its first
    // attempt.
    if holds(Guard::Repeat) && known.as_ref().is_some_and(|known| known.head.digest == digest) {
        return Ok(Decision::Same);
    }
    check_index(view, known.as_ref(), enforced_index)?;
    check_groups(view, job)?;
    let version = known.as_ref().map_or(0, |known| known.head.version + 1);
    let parts = new_parts(view, job, &hash, version, salt)?;
    let mut head = new_head(view, job, version, &digest, parts.groups);
    let mut to_cancel = Vec::new();
    let mut revision = ABSENT;
    if let Some(known) = &known {
        revision = known.revision;
        head.created = if known.head.created > 0 { known.head.created } else { revision.0 };
        to_cancel = take_over_parts(view, &known.head, &mut head);
    }
    let mut writes = Writes::default();
    let spare = view.settings.state.txn_ops - NAME_RECORDS - parts.records.len();
    head.ending.extend(writes.cancel_some(view, to_cancel, spare));
    let head_value = head.to_value();
    let version_value = VersionRecord::new(&digest, view.wall_time.0, json).to_value();
    check_size(view, "its record", &head_value)?;
    check_size(view, "the job", &version_value)?;
    for record in parts.records {
        writes.put(record.key, ABSENT, record.value);
    }
    writes.put(hash.key(), revision, head_value);
    writes.put(hash.version_key(version), ABSENT, version_value);
    Ok(Decision::Write(writes))
}

/// Checks the index that a client enforces against the job's modify index, which is 0 for a purged job.
fn check_index(view: &View<'_>, known: Option<&RecordedName>, enforced: Option<u64>) -> Result<(), Refusal> {
    let index = match known {
        Some(known) if !known.head.purged => modify_index(view, &known.head),
        _ => 0,
    };
    match enforced {
        Some(enforced) if enforced != index => {
            let reason =
                format!("Enforcing job modify index {enforced}: the job's is {index}; read it again");
            Err(Refusal::new(status::CONFLICT, reason))
        }
        _ => Ok(()),
    }
}

/// Maximum number of native jobs that one transaction can create.
fn max_new_records(view: &View<'_>) -> usize {
    view.settings.state.txn_ops.saturating_sub(NAME_RECORDS)
}

/// Checks that each group passes admission and that all groups fit into one transaction.
fn check_groups(view: &View<'_>, job: &Job) -> Result<(), Refusal> {
    for group in &job.groups {
        view.admission.check(&group.spec).map_err(|refusal| {
            let reason = format!("group `{}`: {}", group.name, refusal.reason);
            Refusal::new(refusal.status.as_u16(), reason)
        })?;
    }
    let max_groups = max_new_records(view);
    if job.groups.len() > max_groups {
        let reason = format!(
            "has {} groups; the state service takes {} changes at once, so at most {max_groups}: make several jobs",
            job.groups.len(),
            view.settings.state.txn_ops
        );
        return Err(Refusal::new(status::UNPROCESSABLE, reason));
    }
    Ok(())
}

/// Splits each group into native jobs.
fn new_parts(
    view: &View<'_>,
    job: &Job,
    hash: &NameHash,
    version: u64,
    salt: u64,
) -> Result<NewParts, Refusal> {
    let mut groups = Vec::new();
    let mut records = Vec::new();
    for (group_index, group) in job.groups.iter().enumerate() {
        let sizes = split(job, group_index, view.settings, max_new_records(view) / job.groups.len());
        let mut parts = Vec::new();
        for (part_index, tasks) in sizes.into_iter().enumerate() {
            let id = part_id(hash, version, &group.name, part_index, salt);
            if let Some(error) = view.admission.dependency_error(&id, &group.spec) {
                let reason = format!("group `{}`: {error}", group.name);
                return Err(Refusal::new(status::UNPROCESSABLE, reason));
            }
            records.push(NewRecord { key: jobs::key(&id), value: open_record(view, group, tasks) });
            parts.push(Part { id, tasks });
        }
        let update = job.service.then_some(group.update);
        groups.push(GroupRecord { name: group.name.clone(), task: group.task.clone(), parts, update });
    }
    Ok(NewParts { groups, records })
}

/// The record of a new native job that runs some of a group's tasks.
fn open_record(view: &View<'_>, group: &Group, tasks: u32) -> String {
    let mut spec = group.spec.clone();
    spec.tasks = tasks;
    Record::Open(view.admission.open(&spec)).to_value()
}

/// The name's record with a new version, without regard to earlier versions.
fn new_head(view: &View<'_>, job: &Job, version: u64, digest: &str, groups: Vec<GroupRecord>) -> Head {
    Head {
        namespace: job.namespace.clone(),
        name: job.id.clone(),
        version,
        digest: digest.to_string(),
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
    }
}

/// Checks a value against the store's size limit.
fn check_size(view: &View<'_>, what: &str, value: &str) -> Result<(), Refusal> {
    let bytes = value.len();
    let limit = view.settings.state.value_bytes;
    if bytes > limit {
        let reason =
            format!("{what} takes {bytes} bytes and the state service stores {limit}; make the job smaller");
        return Err(Refusal::new(status::UNPROCESSABLE, reason));
    }
    Ok(())
}

/// Hands over the native jobs of earlier versions: those that a rollout replaces go into `head.roll`, the
/// others are returned to be cancelled.
fn take_over_parts(view: &View<'_>, old: &Head, head: &mut Head) -> Vec<JobId> {
    head.ending = old.ending.iter().filter(|id| is_open(view, id)).cloned().collect();
    let mut olds: Vec<Old> = old.roll.iter().flat_map(|rollout| rollout.olds.clone()).collect();
    olds.extend(current_parts(old));
    olds.retain(|old| is_open(view, &old.part.id));
    let rolls_out = old.service && head.service && !old.stopped;
    let (replaced, cancelled): (Vec<Old>, Vec<Old>) = olds
        .into_iter()
        .partition(|old| rolls_out && head.groups.iter().any(|group| group.name == old.group));
    if !replaced.is_empty() {
        let from = old.roll.as_ref().filter(|rollout| !rollout.kept);
        let from = from.map_or(old.version, |rollout| rollout.from);
        head.roll = Some(new_rollout(view, from, replaced));
    }
    cancelled.into_iter().map(|old| old.part.id).collect()
}

/// The native jobs of a name's current version, as the old parts of a rollout.
fn current_parts(head: &Head) -> impl Iterator<Item = Old> {
    head.groups.iter().flat_map(|group| {
        group.parts.iter().map(|part| Old { group: group.name.clone(), part: part.clone() })
    })
}

/// Creates a rollout that begins now.
fn new_rollout(view: &View<'_>, from: u64, olds: Vec<Old>) -> Rollout {
    Rollout { from, olds, gone: Vec::new(), progressed_ms: view.wall_time.0, kept: false }
}

/// Stops a job without making a new version: cancels all of its native jobs, including those of a rollout.
///
/// # Errors
/// There is no such job.
pub fn deregister(view: &View<'_>, hash: &NameHash, purge: bool) -> Result<Decision, Refusal> {
    let Some(RecordedName { revision, mut head }) = recorded_name(view, hash) else {
        return Err(Refusal::new(status::NOT_FOUND, "there is no such job in this namespace"));
    };
    if head.stopped && (head.purged || !purge) {
        return Ok(Decision::Same);
    }
    let open: Vec<JobId> = head.jobs().filter(|id| is_open(view, id)).cloned().collect();
    if head.roll.take().is_some() {
        head.ended = Some(Ended::Cancelled);
    }
    head.stopped = true;
    head.purged |= purge;
    let mut writes = Writes::default();
    // Rewrites the version's record unchanged: its revision is the modify index that clients compare.
    let version_key = hash.version_key(head.version);
    let version = view.records.get(&version_key).map(|(revision, value)| (revision, value.to_string()));
    let at_most = view.settings.state.txn_ops - 1 - usize::from(version.is_some());
    head.ending = writes.cancel_some(view, open, at_most);
    writes.put(hash.key(), revision, head.to_value());
    if let Some((revision, value)) = version {
        writes.put(version_key, revision, value);
    }
    Ok(Decision::Write(writes))
}

/// Cancels native jobs that did not fit into the transaction of a stop or a new version; none if no jobs are
/// left.
pub fn cancel_ending(view: &View<'_>, hash: &NameHash) -> Option<Writes> {
    let RecordedName { revision, mut head } = recorded_name(view, hash)?;
    if head.ending.is_empty() {
        return None;
    }
    let mut writes = Writes::default();
    let at_most = view.settings.state.txn_ops - 1;
    let open: Vec<JobId> = head.ending.iter().filter(|id| is_open(view, id)).cloned().collect();
    head.ending = writes.cancel_some(view, open, at_most);
    writes.put(hash.key(), revision, head.to_value());
    Some(writes)
}

/// Number of version records that are kept besides the newest.
pub const VERSIONS_KEPT: u64 = 6;

/// Removes the oldest version's record if it is beyond those that are kept and no rollout can revert to it.
pub fn remove_oldest_version(view: &View<'_>, hash: &NameHash) -> Option<Writes> {
    let RecordedName { revision, head } = recorded_name(view, hash)?;
    let from = hash.versions_prefix();
    let (key, old, _) = view.records.iter_from(&from).next().filter(|(key, ..)| key.starts_with(&from))?;
    let version: u64 = key.rsplit('/').next()?.parse().ok()?;
    let rolls_from = head.roll.as_ref().is_some_and(|rollout| rollout.from == version);
    if version + VERSIONS_KEPT >= head.version || rolls_from {
        return None;
    }
    let key = key.to_string();
    Some(Writes {
        // Conditional on the name's record: a rollout that is reverted concurrently needs the version.
        conditions: vec![(hash.key(), revision), (key.clone(), old)],
        changes: vec![Change::Delete { key }],
    })
}

/// Writes a rollout's step: the new record of the name and, if given, the cancellation of a native job.
pub fn write_rollout(view: &View<'_>, revision: Revision, head: &Head, cancel: Option<&JobId>) -> Writes {
    let mut writes = Writes::default();
    if let Some(id) = cancel {
        writes.cancel(view, id);
    }
    writes.put(head.hash().key(), revision, head.to_value());
    writes
}

/// Reverts a failed rollout to the version `before`: its remaining parts are kept, missing tasks get a new
/// part, and a rollout replaces the failed version's parts. None if a record is missing or can't be decoded,
/// or if the changes don't fit into one transaction.
pub fn revert(view: &View<'_>, revision: Revision, failed: &Head, before: &Job, salt: u64) -> Option<Writes> {
    let roll = failed.roll.as_ref()?;
    let hash = failed.hash();
    let (_, record) = view.records.get(&hash.version_key(roll.from))?;
    let record: VersionRecord = serde_json::from_str(record).ok()?;
    let version = failed.version + 1;
    let mut writes = Writes::default();
    let mut groups = Vec::new();
    for group in &before.groups {
        let remaining = roll.olds.iter().filter(|old| old.group == group.name);
        let mut parts: Vec<Part> = remaining.map(|old| old.part.clone()).collect();
        let present: u32 = parts.iter().map(|part| part.tasks).sum();
        let missing = group.spec.tasks.saturating_sub(present);
        if missing > 0 {
            let id = part_id(&hash, version, &group.name, parts.len(), salt);
            writes.put(jobs::key(&id), ABSENT, open_record(view, group, missing));
            parts.push(Part { id, tasks: missing });
        }
        let update = Some(group.update);
        groups.push(GroupRecord { name: group.name.clone(), task: group.task.clone(), parts, update });
    }
    let head = Head {
        version,
        digest: record.digest.clone(),
        submitted_ms: view.wall_time.0,
        groups,
        roll: Some(new_rollout(view, failed.version, current_parts(failed).collect())),
        ended: Some(Ended::Reverted),
        ..failed.clone()
    };
    writes.put(hash.key(), revision, head.to_value());
    writes.put(hash.version_key(version), ABSENT, record.to_value());
    (writes.changes.len() <= view.settings.state.txn_ops).then_some(writes)
}
