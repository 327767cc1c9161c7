//! A node's copy of an extension's records. The controller's prefix watcher fills it; the extension reads it.

use crate::types::Revision;
use crate::wire::state::{Event, Pair};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The copy of all keys under an extension's prefix.
#[derive(Debug, Default)]
pub struct Records {
    records: BTreeMap<String, Record>,
    store_revision: Option<u64>,
    /// Keys that the full read in progress has not returned yet. Those left at its end were deleted in an
    /// event that this node did not receive.
    unconfirmed: BTreeSet<String>,
    changed: Vec<String>,
}

#[derive(Debug)]
struct Record {
    revision: Revision,
    value: Arc<str>,
}

impl Records {
    /// Revision and value of a key.
    pub fn get(&self, key: &str) -> Option<(Revision, &Arc<str>)> {
        self.records.get(key).map(|record| (record.revision, &record.value))
    }

    /// Keys from `from` on in their order, each with its revision and value.
    pub fn iter_from<'a>(&'a self, from: &str) -> impl Iterator<Item = (&'a str, Revision, &'a Arc<str>)> {
        let records = self.records.range(from.to_string()..);
        records.map(|(key, record)| (key.as_str(), record.revision, &record.value))
    }

    /// Revision of the key-value store up to which the copy has all changes; `None` until a full read has
    /// completed.
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }

    /// Returns the keys that have changed since the last call, and clears the list.
    pub(crate) fn take_changed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    /// Stores a key's value, unless the copy has a newer one.
    pub(crate) fn learn(&mut self, key: &str, revision: Revision, value: &str) {
        self.unconfirmed.remove(key);
        if self.records.get(key).is_none_or(|known| known.revision < revision) {
            self.records.insert(key.into(), Record { revision, value: value.into() });
            self.changed.push(key.into());
        }
    }

    /// Removes a key that was deleted at `revision`, unless the copy has a newer value.
    pub(crate) fn learn_removed(&mut self, key: &str, revision: Revision) {
        if self.records.get(key).is_some_and(|known| known.revision < revision) {
            self.records.remove(key);
            self.changed.push(key.into());
        }
    }

    /// Begins a full read: the copy may lack changes until [`Self::reach`] is called.
    pub(crate) fn forget_store_revision(&mut self) {
        self.store_revision = None;
        self.unconfirmed = self.records.keys().cloned().collect();
    }

    /// Completes a full read: the copy has all changes up to `store_revision`.
    pub(crate) fn reach(&mut self, store_revision: u64) {
        for key in std::mem::take(&mut self.unconfirmed) {
            self.records.remove(&key);
            self.changed.push(key);
        }
        if self.store_revision.is_none_or(|known| known < store_revision) {
            self.store_revision = Some(store_revision);
        }
    }

    /// Applies the changes that a watch has returned: all changes up to `store_revision`.
    pub(crate) fn learn_events(&mut self, store_revision: u64, events: &[Event]) {
        for event in events {
            match event {
                Event::Put(Pair { key, value, revision }) => self.learn(key, *revision, value),
                Event::Delete { key, revision } => self.learn_removed(key, *revision),
            }
        }
        if self.store_revision.is_some_and(|known| known < store_revision) {
            self.store_revision = Some(store_revision);
        }
    }
}

#[cfg(test)]
mod tests;
