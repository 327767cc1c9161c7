//! The leader's commit pipeline: one transaction in flight, every one conditional on the leader
//! key and on each key's own version.
//!
//! A transaction without an answer may still be applied later. The next one for the same keys
//! has the same conditions, so only one of the two can win; the loser is told which key moved,
//! reads it, and carries on from there.

use crate::types::{Fence, Stamp};
use crate::wire::state::Change;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
struct Doc {
    stamp: Stamp,
    /// Wanted value; `None` deletes the key.
    value: Option<String>,
    wanted: u64,
    saved: u64,
}

/// What one transaction settled: keys, and the version of each that is now durable.
#[derive(Debug)]
pub struct Settled {
    pub keys: Vec<(String, u64)>,
}

#[derive(Debug)]
pub struct Batch {
    pub conditions: Vec<(String, Stamp)>,
    pub changes: Vec<Change>,
    versions: Vec<(String, u64)>,
}

#[derive(Debug)]
pub struct Journal {
    leader_key: String,
    fence: Fence,
    docs: BTreeMap<String, Doc>,
    urgent: VecDeque<String>,
    dirty: VecDeque<String>,
    in_flight: Option<Vec<(String, u64)>>,
    batches: u64,
    next_version: u64,
    max_ops: usize,
    /// Transactions that are to hold one change each: one of these is refused for good.
    singly: usize,
}

/// Most that a transaction may hold, with room for its frame.
const MAX_BYTES: usize = 56 * 1024;

impl Journal {
    pub fn new(leader_key: &str, fence: Fence, max_ops: usize) -> Self {
        Self {
            leader_key: leader_key.into(),
            fence,
            docs: BTreeMap::new(),
            urgent: VecDeque::new(),
            dirty: VecDeque::new(),
            in_flight: None,
            batches: 0,
            next_version: 1,
            max_ops: max_ops.max(1),
            singly: 0,
        }
    }

    /// Takes note of a key read from the state service.
    pub fn loaded(&mut self, key: &str, stamp: Stamp) {
        let doc = self.docs.entry(key.into()).or_default();
        doc.stamp = doc.stamp.max(stamp);
    }

    /// Whether `key` is stored, or waits to be.
    pub fn holds(&self, key: &str) -> bool {
        self.docs.contains_key(key)
    }

    pub fn stamp(&self, key: &str) -> Stamp {
        self.docs.get(key).map(|d| d.stamp).unwrap_or_default()
    }

    /// Wants `value` under `key`; returns the version that `Settled` will name.
    pub fn put(&mut self, key: &str, value: Option<String>, urgent: bool) -> u64 {
        let version = self.next_version;
        self.next_version += 1;
        let doc = self.docs.entry(key.into()).or_default();
        let queued = doc.wanted > doc.saved;
        doc.value = value;
        doc.wanted = version;
        let in_flight = self.in_flight.as_ref().is_some_and(|f| f.iter().any(|(k, _)| k == key));
        if urgent {
            self.urgent.push_back(key.into());
        } else if !queued || in_flight {
            self.dirty.push_back(key.into());
        }
        version
    }

    /// Drops the wish to write `key`, since somebody else's verdict stands there.
    pub fn give_up(&mut self, key: &str) {
        self.docs.remove(key);
    }

    pub fn idle(&self) -> bool {
        self.in_flight.is_none()
    }

    pub fn backlog(&self) -> usize {
        self.urgent.len() + self.dirty.len()
    }

    /// Whether something waits that `next_batch` would take.
    pub fn wants(&self, ample: bool) -> bool {
        self.idle()
            && (!self.urgent.is_empty() || (ample || self.turn_of_the_rest()) && !self.dirty.is_empty())
    }

    /// However much is urgent, what isn't gets a part of every fourth transaction.
    fn turn_of_the_rest(&self) -> bool {
        self.batches % 4 == 3
    }

    /// The next transaction, if there is something to write and none is in flight. What isn't
    /// urgent goes along while the budget is `ample`.
    pub fn next_batch(&mut self, ample: bool) -> Option<Batch> {
        if self.in_flight.is_some() {
            return None;
        }
        let rest = ample || self.turn_of_the_rest();
        self.batches += 1;
        let mut batch = Batch {
            conditions: vec![(self.leader_key.clone(), Stamp(self.fence.0))],
            changes: Vec::new(),
            versions: Vec::new(),
        };
        let mut bytes = 0;
        let max_ops = if self.singly > 0 { 1 } else { self.max_ops };
        while batch.changes.len() < max_ops {
            let next = match self.urgent.pop_front() {
                None if rest => self.dirty.pop_front(),
                urgent => urgent,
            };
            let Some(key) = next else { break };
            let Some(doc) = self.docs.get(&key) else { continue };
            if doc.wanted <= doc.saved || batch.versions.iter().any(|(k, _)| *k == key) {
                continue;
            }
            let change = match &doc.value {
                Some(value) => Change::Put { key: key.clone(), value: value.clone(), permit: None },
                None => Change::Delete { key: key.clone() },
            };
            if bytes > 0 && bytes + change.size() > MAX_BYTES {
                self.urgent.push_front(key);
                break;
            }
            bytes += change.size();
            batch.conditions.push((key.clone(), doc.stamp));
            batch.versions.push((key.clone(), doc.wanted));
            batch.changes.push(change);
        }
        if batch.changes.is_empty() {
            return None;
        }
        self.in_flight = Some(batch.versions.clone());
        Some(batch)
    }

    pub fn committed(&mut self, epoch: u64) -> Settled {
        let keys = self.in_flight.take().unwrap_or_default();
        self.singly = self.singly.saturating_sub(1);
        for (key, version) in &keys {
            let Some(doc) = self.docs.get_mut(key) else { continue };
            doc.saved = *version;
            doc.stamp = Stamp(epoch);
            if doc.value.is_none() && doc.wanted == *version {
                self.docs.remove(key);
            }
        }
        Settled { keys }
    }

    /// Nothing known to be written: the same keys are tried again.
    pub fn failed(&mut self) {
        for (key, _) in self.in_flight.take().unwrap_or_default().into_iter().rev() {
            self.urgent.push_front(key);
        }
    }

    /// The transaction was refused for good. Its changes are tried again one by one; one that is refused
    /// alone is given up, and told with its size. The key's stored value stays known.
    pub fn refused(&mut self) -> Option<(String, usize)> {
        let keys = self.in_flight.take().unwrap_or_default();
        if keys.len() != 1 {
            self.singly = keys.len();
            self.in_flight = Some(keys);
            self.failed();
            return None;
        }
        let (key, version) = keys.into_iter().next()?;
        self.singly = self.singly.saturating_sub(1);
        let doc = self.docs.get_mut(&key)?;
        doc.saved = version;
        let bytes = doc.value.as_ref().map_or(0, String::len);
        Some((key, bytes))
    }

    /// What a key turned out to be after a conflict.
    pub fn corrected(&mut self, key: &str, stamp: Stamp) {
        if let Some(doc) = self.docs.get_mut(key) {
            doc.stamp = stamp;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_late_transaction_and_its_successor_exclude_each_other() {
        let mut j = Journal::new("leader", Fence(9), 4);
        j.loaded("m/a", Stamp(3));
        let v1 = j.put("m/a", Some("1".into()), false);
        let first = j.next_batch(true).expect("work");
        assert_eq!(first.conditions, [("leader".to_string(), Stamp(9)), ("m/a".to_string(), Stamp(3))]);
        assert!(j.next_batch(true).is_none(), "one in flight at a time");
        let v2 = j.put("m/a", Some("2".into()), false);
        j.failed();
        let second = j.next_batch(true).expect("work");
        assert_eq!(second.conditions, first.conditions, "so that only one of them can be applied");
        assert_eq!(j.committed(12).keys, [("m/a".to_string(), v2)]);
        assert!(v1 < v2 && j.next_batch(true).is_none());
        j.put("m/a", None, false);
        assert_eq!(j.next_batch(true).expect("work").conditions[1].1, Stamp(12));
    }

    #[test]
    fn a_change_made_while_its_key_is_in_flight_is_written_too() {
        let mut j = Journal::new("leader", Fence(9), 4);
        j.put("m/a", Some("1".into()), false);
        j.next_batch(true).expect("work");
        let v2 = j.put("m/a", Some("2".into()), false);
        j.committed(10);
        let batch = j.next_batch(true).expect("the second change");
        assert_eq!(batch.conditions[1].1, Stamp(10));
        assert_eq!(j.committed(11).keys, [("m/a".to_string(), v2)]);
    }

    /// A refused value ended the tenure, and the next leader met the same one.
    #[test]
    fn a_change_refused_for_good_is_given_up_and_those_beside_it_are_written() {
        let mut j = Journal::new("leader", Fence(9), 4);
        j.loaded("m/b", Stamp(3));
        for key in ["m/a", "m/b", "m/c"] {
            j.put(key, Some("12345".into()), true);
        }
        let mut written = Vec::new();
        let mut given_up = Vec::new();
        for _ in 0..10 {
            let Some(batch) = j.next_batch(true) else { break };
            let keys: Vec<&str> = batch.changes.iter().map(Change::key).collect();
            if keys.contains(&"m/b") {
                given_up.extend(j.refused());
            } else {
                written.extend(keys.iter().map(|k| k.to_string()));
                j.committed(10);
            }
        }
        assert_eq!((written, given_up), (vec!["m/a".into(), "m/c".into()], vec![("m/b".into(), 5)]));
        assert_eq!(j.stamp("m/b"), Stamp(3), "its stored value is still known");
        j.put("m/b", Some("1".into()), true);
        assert!(j.next_batch(true).is_some_and(|b| b.changes.len() == 1), "and it may be written later");
    }
}
