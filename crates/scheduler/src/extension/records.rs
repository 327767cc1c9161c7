//! A node's copy of a feature's records.

use crate::types::Revision;
use crate::wire::state::{Event, Pair};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Debug, Default)]
pub struct Records {
    pairs: BTreeMap<String, (Revision, Arc<str>)>,
    store_revision: Option<u64>,
    /// Keys that a full read under way has not met yet: what is left at its end was removed unseen.
    unmet: BTreeSet<String>,
    changed: Vec<String>,
}

impl Records {
    pub fn get(&self, key: &str) -> Option<(Revision, &Arc<str>)> {
        self.pairs.get(key).map(|(revision, value)| (*revision, value))
    }

    pub fn iter_from<'a>(&'a self, from: &str) -> impl Iterator<Item = (&'a str, Revision, &'a Arc<str>)> {
        self.pairs.range(from.to_string()..).map(|(k, (revision, v))| (k.as_str(), *revision, v))
    }

    /// All changes up to this revision are in it; `None` until the first full read is over.
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }

    pub(crate) fn take_changed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn learn(&mut self, key: &str, revision: Revision, value: &str) {
        self.unmet.remove(key);
        if self.pairs.get(key).is_none_or(|(known, _)| *known < revision) {
            self.pairs.insert(key.into(), (revision, value.into()));
            self.changed.push(key.into());
        }
    }

    pub(crate) fn learn_removed(&mut self, key: &str, revision: Revision) {
        if self.pairs.get(key).is_some_and(|(known, _)| *known < revision) {
            self.pairs.remove(key);
            self.changed.push(key.into());
        }
    }

    pub(crate) fn forget_store_revision(&mut self) {
        self.store_revision = None;
        self.unmet = self.pairs.keys().cloned().collect();
    }

    pub(crate) fn reach(&mut self, store_revision: u64) {
        for key in std::mem::take(&mut self.unmet) {
            self.pairs.remove(&key);
            self.changed.push(key);
        }
        if self.store_revision.is_none_or(|e| e < store_revision) {
            self.store_revision = Some(store_revision);
        }
    }

    pub(crate) fn learn_events(&mut self, store_revision: u64, events: &[Event]) {
        for event in events {
            match event {
                Event::Put(Pair { key, value, revision }) => self.learn(key, *revision, value),
                Event::Delete { key, revision } => self.learn_removed(key, *revision),
            }
        }
        if self.store_revision.is_some_and(|e| e < store_revision) {
            self.store_revision = Some(store_revision);
        }
    }
}

#[cfg(test)]
mod tests;
