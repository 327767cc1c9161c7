//! The leader's commit pipeline: one transaction in flight, every one conditional on the leader
//! key and on each key's own version.
//!
//! A transaction without an answer may still be applied later. The next one for the same keys
//! has the same conditions, so only one of the two can win; the loser is told which key moved,
//! reads it, and carries on from there.

use crate::types::{FencingToken, Revision};
use crate::wire::state::Change;
use std::collections::{BTreeMap, VecDeque};

/// How soon a change is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommitPriority {
    /// Saves a later reader some work: while nothing else is to be written, or the budget is ample.
    Background,
    /// Somebody waits for it, but not users: gets its part however much is urgent.
    Normal,
    /// A start or a verdict waits for it.
    Urgent,
    /// The start of a replica waits for it: what users of a service feel at once.
    Critical,
}

#[derive(Debug, Default)]
struct PendingWrite {
    revision: Revision,
    /// Wanted value; `None` deletes the key.
    value: Option<String>,
    wanted_version: u64,
    saved_version: u64,
    /// The most hasty queue that the key is in.
    queued: Option<CommitPriority>,
}

/// What one transaction settled: keys, and the version of each that is now durable.
#[derive(Debug)]
pub struct CommittedKeys {
    pub keys: Vec<(String, u64)>,
}

#[derive(Debug)]
pub struct CommitBatch {
    pub conditions: Vec<(String, Revision)>,
    pub changes: Vec<Change>,
    versions: Vec<(String, u64)>,
}

#[derive(Debug)]
pub struct CommitPipeline {
    leader_key: String,
    fencing_token: FencingToken,
    writes: BTreeMap<String, PendingWrite>,
    critical: VecDeque<String>,
    urgent: VecDeque<String>,
    normal: VecDeque<String>,
    background: VecDeque<String>,
    in_flight: Option<Vec<(String, u64)>>,
    batches: u64,
    next_version: u64,
    max_ops: usize,
    /// Transactions that are to hold one change each: one of these is refused for good.
    single_writes_left: usize,
}

/// Most that a transaction may hold, with room for its frame.
const MAX_BYTES: usize = 56 * 1024;

impl CommitPipeline {
    pub fn new(leader_key: &str, fencing_token: FencingToken, max_ops: usize) -> Self {
        Self {
            leader_key: leader_key.into(),
            fencing_token,
            writes: BTreeMap::new(),
            critical: VecDeque::new(),
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
            background: VecDeque::new(),
            in_flight: None,
            batches: 0,
            next_version: 1,
            max_ops: max_ops.max(1),
            single_writes_left: 0,
        }
    }

    /// Takes note of a key read from the state service.
    pub fn loaded(&mut self, key: &str, revision: Revision) {
        let write = self.writes.entry(key.into()).or_default();
        write.revision = write.revision.max(revision);
    }

    /// Whether `key` is stored, or waits to be.
    pub fn holds(&self, key: &str) -> bool {
        self.writes.contains_key(key)
    }

    pub fn revision(&self, key: &str) -> Revision {
        self.writes.get(key).map(|d| d.revision).unwrap_or_default()
    }

    /// Wants `value` under `key`; returns the version that `CommittedKeys` will name.
    pub fn put(&mut self, key: &str, value: Option<String>, commit_priority: CommitPriority) -> u64 {
        let version = self.next_version;
        self.next_version += 1;
        let write = self.writes.entry(key.into()).or_default();
        write.value = value;
        write.wanted_version = version;
        if write.queued.is_none_or(|queued| queued < commit_priority) {
            write.queued = Some(commit_priority);
            let queue = match commit_priority {
                CommitPriority::Critical => &mut self.critical,
                CommitPriority::Urgent => &mut self.urgent,
                CommitPriority::Normal => &mut self.normal,
                CommitPriority::Background => &mut self.background,
            };
            queue.push_back(key.into());
        }
        version
    }

    /// Drops the wish to write `key`, since somebody else's verdict stands there.
    pub fn give_up(&mut self, key: &str) {
        self.writes.remove(key);
    }

    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    pub fn backlog(&self) -> usize {
        self.critical.len() + self.urgent.len() + self.normal.len() + self.background.len()
    }

    /// Changes that wait for their turn and that starts or verdicts wait for.
    pub fn pressing(&self) -> usize {
        self.critical.len() + self.urgent.len()
    }

    /// Whether such a change of `key` waits: what is added to its value by then costs no other one.
    pub fn is_pressing(&self, key: &str) -> bool {
        self.writes.get(key).is_some_and(|write| write.queued >= Some(CommitPriority::Urgent))
    }

    /// Whether something waits that `next_batch` would take.
    pub fn wants(&self, ample: bool) -> bool {
        self.is_idle()
            && (!self.critical.is_empty()
                || !self.urgent.is_empty()
                || (ample || self.turn_of_the_rest())
                    && !(self.normal.is_empty() && self.background.is_empty()))
    }

    /// However much is urgent, what isn't gets a part of every fourth transaction.
    fn turn_of_the_rest(&self) -> bool {
        self.batches % 4 == 3
    }

    /// The next transaction, if there is something to write and none is in flight. What isn't
    /// urgent goes along while the budget is `ample`.
    pub fn next_batch(&mut self, ample: bool) -> Option<CommitBatch> {
        if self.in_flight.is_some() {
            return None;
        }
        let turn = self.turn_of_the_rest();
        self.batches += 1;
        let mut batch = CommitBatch {
            conditions: vec![(self.leader_key.clone(), Revision(self.fencing_token.0))],
            changes: Vec::new(),
            versions: Vec::new(),
        };
        let mut bytes = 0;
        let max_ops = if self.single_writes_left > 0 { 1 } else { self.max_ops };
        // Filled only from what urgent writes left, the rest had to wait for a minute and more
        // (andina, inc-72db).
        let for_the_rest = if turn { max_ops / 2 } else { 0 };
        while batch.changes.len() < max_ops {
            let mut next = None;
            if batch.changes.len() < for_the_rest {
                next = self.normal.pop_front();
            }
            // However many replicas wait, every second change goes to other starts: no class waits for ever.
            if batch.changes.len().is_multiple_of(2) {
                next = next.or_else(|| self.critical.pop_front());
            }
            next = next.or_else(|| self.urgent.pop_front()).or_else(|| self.critical.pop_front());
            if next.is_none() && (ample || turn) {
                next = self.normal.pop_front().or_else(|| self.background.pop_front());
            }
            let Some(key) = next else { break };
            let Some(write) = self.writes.get_mut(&key) else { continue };
            write.queued = None;
            if write.wanted_version <= write.saved_version || batch.versions.iter().any(|(k, _)| *k == key) {
                continue;
            }
            let change = match &write.value {
                Some(value) => Change::Put { key: key.clone(), value: value.clone(), lease: None },
                None => Change::Delete { key: key.clone() },
            };
            if bytes > 0 && bytes + change.size() > MAX_BYTES {
                write.queued = Some(CommitPriority::Urgent);
                self.urgent.push_front(key);
                break;
            }
            bytes += change.size();
            batch.conditions.push((key.clone(), write.revision));
            batch.versions.push((key.clone(), write.wanted_version));
            batch.changes.push(change);
        }
        if batch.changes.is_empty() {
            return None;
        }
        self.in_flight = Some(batch.versions.clone());
        Some(batch)
    }

    pub fn committed(&mut self, store_revision: u64) -> CommittedKeys {
        let keys = self.in_flight.take().unwrap_or_default();
        self.single_writes_left = self.single_writes_left.saturating_sub(1);
        for (key, version) in &keys {
            let Some(write) = self.writes.get_mut(key) else { continue };
            write.saved_version = *version;
            write.revision = Revision(store_revision);
            if write.value.is_none() && write.wanted_version == *version {
                self.writes.remove(key);
            }
        }
        CommittedKeys { keys }
    }

    /// Nothing known to be written: the same keys are tried again.
    pub fn failed(&mut self) {
        for (key, _) in self.in_flight.take().unwrap_or_default().into_iter().rev() {
            if let Some(write) = self.writes.get_mut(&key) {
                write.queued = Some(CommitPriority::Urgent);
            }
            self.urgent.push_front(key);
        }
    }

    /// The transaction was refused for good. Its changes are tried again one by one; one that is refused
    /// alone is given up, and told with its size. The key's stored value stays known.
    pub fn refused(&mut self) -> Option<(String, usize)> {
        let keys = self.in_flight.take().unwrap_or_default();
        if keys.len() != 1 {
            self.single_writes_left = keys.len();
            self.in_flight = Some(keys);
            self.failed();
            return None;
        }
        let (key, version) = keys.into_iter().next()?;
        self.single_writes_left = self.single_writes_left.saturating_sub(1);
        let write = self.writes.get_mut(&key)?;
        write.saved_version = version;
        let bytes = write.value.as_ref().map_or(0, String::len);
        Some((key, bytes))
    }

    /// What a key turned out to be after a conflict.
    pub fn corrected(&mut self, key: &str, revision: Revision) {
        if let Some(write) = self.writes.get_mut(key) {
            write.revision = revision;
        }
    }
}

#[cfg(test)]
mod tests;
