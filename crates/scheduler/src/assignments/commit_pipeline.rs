//! The leader's commit pipeline. At most one transaction is in flight. Each is conditional on the leader
//! key's revision and on the revision of each key that it writes.
//!
//! A transaction whose answer was lost may still be applied later. The next one for the same keys has the
//! same conditions, so at most one of the two succeeds; the other is refused with the keys whose revisions
//! differ. The leader then reads those keys again and sets their revisions with
//! [`CommitPipeline::correct_revision`].

mod batch;
mod queues;

pub use batch::{CommitBatch, CommittedWrite};
pub use queues::CommitPriority;

use crate::types::{FencingToken, Revision};
use crate::wire::state::Change;
use batch::BatchBuilder;
use queues::{BatchShares, CommitQueues};
use std::collections::BTreeMap;

/// Every this many batches, one reserves a share for normal changes.
const NORMAL_SHARE_EVERY: u64 = 4;

/// Version of a queued value; increases with each value that the leader queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WriteVersion(u64);

impl WriteVersion {
    fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A change that the store refused permanently.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusedWrite {
    /// The key of the refused change.
    pub key: String,
    /// Size of the refused value.
    pub bytes: usize,
}

/// State of a key that is stored or has a queued change.
#[derive(Debug, Default)]
struct PendingWrite {
    /// Last known revision of the key in the store.
    revision: Revision,
    /// The latest queued value; `None` deletes the key.
    value: Option<String>,
    wanted_version: WriteVersion,
    saved_version: WriteVersion,
    /// The highest priority at which the key is queued.
    queued: Option<CommitPriority>,
}

impl PendingWrite {
    fn is_saved(&self) -> bool {
        self.wanted_version <= self.saved_version
    }

    fn change(&self, key: &str) -> Change {
        match &self.value {
            Some(value) => Change::Put { key: key.into(), value: value.clone(), lease: None },
            None => Change::Delete { key: key.into() },
        }
    }
}

/// The queued changes, and the transaction in flight.
#[derive(Debug)]
pub struct CommitPipeline {
    leader_key: String,
    fencing_token: FencingToken,
    writes: BTreeMap<String, PendingWrite>,
    queues: CommitQueues,
    in_flight: Option<Vec<CommittedWrite>>,
    /// Number of calls that began to build a batch.
    batches: u64,
    last_version: WriteVersion,
    /// Most changes per transaction.
    max_ops: usize,
    /// Number of coming transactions that hold a single change each, to find out which change of a refused
    /// transaction the store refuses.
    single_writes_left: usize,
}

impl CommitPipeline {
    /// An empty pipeline for the leader of the term `fencing_token`. Its transactions are conditional on
    /// `leader_key` and hold at most `max_ops` changes.
    pub fn new(leader_key: &str, fencing_token: FencingToken, max_ops: usize) -> Self {
        Self {
            leader_key: leader_key.into(),
            fencing_token,
            writes: BTreeMap::new(),
            queues: CommitQueues::default(),
            in_flight: None,
            batches: 0,
            last_version: WriteVersion::default(),
            max_ops: max_ops.max(1),
            single_writes_left: 0,
        }
    }

    /// Records the revision of a key that was read from the store, unless a later one is known.
    pub fn record_revision(&mut self, key: &str, revision: Revision) {
        let write = self.writes.entry(key.into()).or_default();
        write.revision = write.revision.max(revision);
    }

    /// Whether `key` is stored or has a queued change.
    pub fn contains_key(&self, key: &str) -> bool {
        self.writes.contains_key(key)
    }

    /// The last known revision of `key` in the store; 0 if it isn't stored.
    pub fn revision(&self, key: &str) -> Revision {
        self.writes.get(key).map(|write| write.revision).unwrap_or_default()
    }

    /// Queues `value` to be written under `key`; `None` deletes the key. Returns the version of the value:
    /// [`Self::committed`] returns this version or a later one once the value or a later one is durable.
    pub fn put(&mut self, key: &str, value: Option<String>, priority: CommitPriority) -> WriteVersion {
        let version = self.last_version.next();
        self.last_version = version;
        let write = self.writes.entry(key.into()).or_default();
        write.value = value;
        write.wanted_version = version;
        if write.queued.is_none_or(|queued| queued < priority) {
            write.queued = Some(priority);
            self.queues.push_back(priority, key.into());
        }
        version
    }

    /// Discards the queued change and the known revision of `key`: another writer has stored a final value
    /// there.
    pub fn forget(&mut self, key: &str) {
        self.writes.remove(key);
    }

    /// Whether no transaction is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Number of queued changes.
    pub fn backlog(&self) -> usize {
        self.queues.len()
    }

    /// Number of queued changes of priority urgent or critical.
    pub fn urgent_backlog(&self) -> usize {
        self.queues.urgent_len()
    }

    /// Whether `key` is queued with priority urgent or critical: a new value for it then needs no extra
    /// write.
    pub fn is_urgent(&self, key: &str) -> bool {
        self.writes.get(key).is_some_and(|write| write.queued >= Some(CommitPriority::Urgent))
    }

    /// Whether [`Self::next_batch`] would find a queued change to take.
    pub fn has_batch(&self, budget_is_ample: bool) -> bool {
        let takes_deferred = budget_is_ample || self.reserves_normal_share();
        self.is_idle() && (self.queues.urgent_len() > 0 || takes_deferred && self.queues.deferred_len() > 0)
    }

    /// The next transaction, if there is something to write and none is in flight. Normal and background
    /// changes are included while the write budget is ample, and in one of [`NORMAL_SHARE_EVERY`] batches.
    pub fn next_batch(&mut self, budget_is_ample: bool) -> Option<CommitBatch> {
        if !self.is_idle() {
            return None;
        }
        let max_ops = if self.single_writes_left > 0 { 1 } else { self.max_ops };
        let shares = self.batch_shares(max_ops, budget_is_ample);
        self.batches += 1;
        let mut builder = BatchBuilder::new(&self.leader_key, Revision(self.fencing_token.0));
        while builder.len() < max_ops {
            let Some(key) = self.queues.pop_next(builder.len(), shares) else { break };
            if !self.add_to_batch(key, &mut builder) {
                break;
            }
        }
        let (batch, writes) = builder.finish()?;
        self.in_flight = Some(writes);
        Some(batch)
    }

    /// Reserves a share for normal changes: without it, they waited for more than a minute while urgent ones
    /// filled every batch.
    fn batch_shares(&self, max_ops: usize, budget_is_ample: bool) -> BatchShares {
        let reserves_normal_share = self.reserves_normal_share();
        BatchShares {
            reserved_for_normal: if reserves_normal_share { max_ops / 2 } else { 0 },
            fill_with_deferred: budget_is_ample || reserves_normal_share,
        }
    }

    fn reserves_normal_share(&self) -> bool {
        self.batches % NORMAL_SHARE_EVERY == NORMAL_SHARE_EVERY - 1
    }

    /// Adds the queued change of `key`, unless it is already saved or included. Returns `false` if the batch
    /// has no space for the change, which is then queued again.
    fn add_to_batch(&mut self, key: String, builder: &mut BatchBuilder) -> bool {
        let Some(write) = self.writes.get_mut(&key) else { return true };
        write.queued = None;
        if write.is_saved() || builder.contains(&key) {
            return true;
        }
        let change = write.change(&key);
        if !builder.has_space_for(&change) {
            write.queued = Some(CommitPriority::Urgent);
            self.queues.push_front(CommitPriority::Urgent, key);
            return false;
        }
        builder.push(key, write, change);
        true
    }

    /// Records that the transaction in flight was committed at `store_revision`. Returns the values that are
    /// now durable.
    pub fn committed(&mut self, store_revision: u64) -> Vec<CommittedWrite> {
        let committed = self.in_flight.take().unwrap_or_default();
        self.single_writes_left = self.single_writes_left.saturating_sub(1);
        for CommittedWrite { key, version } in &committed {
            let Some(write) = self.writes.get_mut(key) else { continue };
            write.saved_version = *version;
            write.revision = Revision(store_revision);
            if write.value.is_none() && write.wanted_version == *version {
                self.writes.remove(key);
            }
        }
        committed
    }

    /// Records that the transaction in flight was not applied, or may not have been. Its changes return to
    /// the front of the urgent queue.
    pub fn failed(&mut self) {
        let writes = self.in_flight.take().unwrap_or_default();
        self.requeue(writes);
    }

    fn requeue(&mut self, writes: Vec<CommittedWrite>) {
        for CommittedWrite { key, .. } in writes.into_iter().rev() {
            if let Some(write) = self.writes.get_mut(&key) {
                write.queued = Some(CommitPriority::Urgent);
            }
            self.queues.push_front(CommitPriority::Urgent, key);
        }
    }

    /// Records that the store refused the transaction in flight permanently. Its changes are retried one per
    /// transaction; one that is refused on its own is discarded and returned. The known revision of its
    /// stored value is kept.
    pub fn refused(&mut self) -> Option<RefusedWrite> {
        let mut writes = self.in_flight.take().unwrap_or_default();
        if writes.len() != 1 {
            self.single_writes_left = writes.len();
            self.requeue(writes);
            return None;
        }
        let CommittedWrite { key, version } = writes.pop()?;
        self.single_writes_left = self.single_writes_left.saturating_sub(1);
        let write = self.writes.get_mut(&key)?;
        write.saved_version = version;
        let bytes = write.value.as_ref().map_or(0, String::len);
        Some(RefusedWrite { key, bytes })
    }

    /// Sets the revision of a key that was read again after a conflict.
    pub fn correct_revision(&mut self, key: &str, revision: Revision) {
        if let Some(write) = self.writes.get_mut(key) {
            write.revision = revision;
        }
    }
}

#[cfg(test)]
mod tests;
