//! A node's copy of a feature's records.

use crate::types::Stamp;
use crate::wire::state::{Event, Pair};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Debug, Default)]
pub struct Records {
    pairs: BTreeMap<String, (Stamp, Arc<str>)>,
    epoch: Option<u64>,
    /// Keys that a full read under way has not met yet: what is left at its end was removed unseen.
    unmet: BTreeSet<String>,
    changed: Vec<String>,
}

impl Records {
    pub fn get(&self, key: &str) -> Option<(Stamp, &Arc<str>)> {
        self.pairs.get(key).map(|(stamp, value)| (*stamp, value))
    }

    pub fn iter_from<'a>(&'a self, from: &str) -> impl Iterator<Item = (&'a str, Stamp, &'a Arc<str>)> {
        self.pairs.range(from.to_string()..).map(|(k, (stamp, v))| (k.as_str(), *stamp, v))
    }

    /// All changes up to this revision are in it; `None` until the first full read is over.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    pub(crate) fn take_changed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn learn(&mut self, key: &str, stamp: Stamp, value: &str) {
        self.unmet.remove(key);
        if self.pairs.get(key).is_none_or(|(known, _)| *known < stamp) {
            self.pairs.insert(key.into(), (stamp, value.into()));
            self.changed.push(key.into());
        }
    }

    pub(crate) fn learn_removed(&mut self, key: &str, stamp: Stamp) {
        if self.pairs.get(key).is_some_and(|(known, _)| *known < stamp) {
            self.pairs.remove(key);
            self.changed.push(key.into());
        }
    }

    pub(crate) fn forget_epoch(&mut self) {
        self.epoch = None;
        self.unmet = self.pairs.keys().cloned().collect();
    }

    pub(crate) fn reach(&mut self, epoch: u64) {
        for key in std::mem::take(&mut self.unmet) {
            self.pairs.remove(&key);
            self.changed.push(key);
        }
        if self.epoch.is_none_or(|e| e < epoch) {
            self.epoch = Some(epoch);
        }
    }

    pub(crate) fn learn_events(&mut self, epoch: u64, events: &[Event]) {
        for event in events {
            match event {
                Event::Put(Pair { key, value, stamp }) => self.learn(key, *stamp, value),
                Event::Delete { key, stamp } => self.learn_removed(key, *stamp),
            }
        }
        if self.epoch.is_some_and(|e| e < epoch) {
            self.epoch = Some(epoch);
        }
    }
}

#[cfg(test)]
mod tests;
