//! One transaction: its changes, its conditions, and the versions of the values that it writes.

use super::{PendingWrite, WriteVersion};
use crate::types::Revision;
use crate::wire::state::Change;

/// Most bytes of changes in a transaction; leaves space for the rest of the request.
const MAX_BYTES: usize = 56 * 1024;

/// A transaction for the key-value store.
#[derive(Debug)]
pub struct CommitBatch {
    /// Keys and their required revisions; if one differs, no change is applied.
    pub conditions: Vec<(String, Revision)>,
    /// The changes, one per key.
    pub changes: Vec<Change>,
}

/// A key that a transaction writes.
#[derive(Debug, Clone, PartialEq)]
pub struct CommittedWrite {
    /// The key.
    pub key: String,
    /// The version of its value that is durable once the transaction is committed.
    pub version: WriteVersion,
}

/// Builds a transaction.
#[derive(Debug)]
pub(super) struct BatchBuilder {
    conditions: Vec<(String, Revision)>,
    changes: Vec<Change>,
    writes: Vec<CommittedWrite>,
    bytes: usize,
}

impl BatchBuilder {
    /// An empty transaction that requires `leader_key` to have the revision `leader_revision`.
    pub(super) fn new(leader_key: &str, leader_revision: Revision) -> Self {
        Self {
            conditions: vec![(leader_key.to_string(), leader_revision)],
            changes: Vec::new(),
            writes: Vec::new(),
            bytes: 0,
        }
    }

    /// Number of changes.
    pub(super) fn len(&self) -> usize {
        self.changes.len()
    }

    pub(super) fn contains(&self, key: &str) -> bool {
        self.writes.iter().any(|write| write.key == key)
    }

    /// Whether `change` may be added; the first change always may.
    pub(super) fn has_space_for(&self, change: &Change) -> bool {
        self.bytes == 0 || self.bytes + change.size() <= MAX_BYTES
    }

    /// Adds `change`, which writes the wanted version of `write`.
    pub(super) fn push(&mut self, key: String, write: &PendingWrite, change: Change) {
        self.bytes += change.size();
        self.conditions.push((key.clone(), write.revision));
        self.writes.push(CommittedWrite { key, version: write.wanted_version });
        self.changes.push(change);
    }

    /// The transaction and the versions that it writes; `None` if it has no changes.
    pub(super) fn finish(self) -> Option<(CommitBatch, Vec<CommittedWrite>)> {
        if self.changes.is_empty() {
            return None;
        }
        let batch = CommitBatch { conditions: self.conditions, changes: self.changes };
        Some((batch, self.writes))
    }
}
