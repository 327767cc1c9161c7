//! The contents of the simulated key-value store: keys with revisions, leases, and the latest changes.

use crate::http_server::Answer;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use warp::http::StatusCode;

/// Number of changes kept for watches.
const MAX_EVENTS: usize = 10_000;
/// Maximum number of pairs in the answer to one range read.
const MAX_PAIRS: usize = 1000;

/// A key's value.
pub(super) struct Entry {
    pub(super) value: Value,
    /// The store's revision when it was written.
    pub(super) revision: u64,
    /// The lease whose end deletes the key.
    pub(super) lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

struct Event {
    revision: u64,
    /// The change as watches return it.
    body: Value,
}

/// Contents of the store.
#[derive(Default)]
pub(super) struct Store {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// The latest changes, oldest first.
    events: Vec<Event>,
}

impl Store {
    /// The current revision: the number of transactions and lease ends that changed keys.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Up to `limit` pairs whose keys begin with `prefix`, in order, from the first key after `after`.
    pub(super) fn range(&self, prefix: &str, after: &str, limit: Option<usize>) -> Value {
        let limit = limit.unwrap_or(MAX_PAIRS).min(MAX_PAIRS);
        let mut pairs: Vec<Value> = self
            .entries
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit + 1)
            .map(|(key, entry)| json!({"k": key, "v": entry.value, "stamp": entry.revision}))
            .collect();
        let more = pairs.len() > limit;
        pairs.truncate(limit);
        json!({"pairs": pairs, "more": more, "epoch": self.revision})
    }

    /// Makes all changes of a request in one revision if all its conditions hold.
    pub(super) fn transaction(&mut self, body: &Value) -> Answer {
        let no_items = Vec::new();
        let conditions = body["if"].as_array().unwrap_or(&no_items);
        let changes = body["apply"].as_array().unwrap_or(&no_items);
        let mut leases = changes.iter().filter_map(|change| change["permit"].as_u64());
        if leases.any(|lease| !self.leases.contains_key(&lease)) {
            return Answer::new(StatusCode::BAD_REQUEST, json!({"error": "no such lease"}));
        }
        let failed = self.failed_conditions(conditions);
        if !failed.is_empty() {
            return Answer::new(StatusCode::CONFLICT, json!({"failed": failed, "epoch": self.revision}));
        }
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            self.apply(change);
        }
        Answer::ok(json!({"epoch": self.revision}))
    }

    /// The keys whose revision differs from the one that a condition expects; a missing key has revision 0.
    fn failed_conditions<'a>(&self, conditions: &'a [Value]) -> Vec<&'a str> {
        let mut failed = Vec::new();
        for condition in conditions {
            let Some(key) = condition["k"].as_str() else { continue };
            let Some(expected) = condition["stamp"].as_u64() else { continue };
            if self.get(key).map_or(0, |entry| entry.revision) != expected {
                failed.push(key);
            }
        }
        failed
    }

    /// Makes one change at the current revision.
    fn apply(&mut self, change: &Value) {
        if let Some(key) = change["set"].as_str() {
            let value = change["v"].clone();
            let entry =
                Entry { value: value.clone(), revision: self.revision, lease: change["permit"].as_u64() };
            self.entries.insert(key.into(), entry);
            self.record(json!({"set": key, "v": value, "stamp": self.revision}));
        } else if let Some(key) = change["drop"].as_str() {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &str) {
        self.entries.remove(key);
        self.record(json!({"drop": key, "stamp": self.revision}));
    }

    fn record(&mut self, body: Value) {
        self.events.push(Event { revision: self.revision, body });
        if self.events.len() > MAX_EVENTS {
            self.events.remove(0);
        }
    }

    /// The changes of keys with a prefix after a revision; `None` if some of them are no longer kept.
    pub(super) fn events_since(&self, prefix: &str, from: u64) -> Option<Vec<Value>> {
        let oldest = self.events.first().map_or(0, |event| event.revision);
        if self.events.len() >= MAX_EVENTS && oldest > from + 1 {
            return None;
        }
        let under_prefix = |event: &Event| {
            let key = event.body["set"].as_str().or(event.body["drop"].as_str());
            key.is_some_and(|key| key.starts_with(prefix))
        };
        let events = self.events.iter().filter(|event| event.revision > from && under_prefix(event));
        Some(events.map(|event| event.body.clone()).collect())
    }

    /// Grants a lease and returns its id.
    pub(super) fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: Instant::now() + ttl });
        self.last_lease
    }

    /// Renews a lease for its full duration; returns whether it exists.
    pub(super) fn renew_lease(&mut self, lease: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.expires_at = Instant::now() + lease.ttl;
        true
    }

    /// Revokes a lease and deletes its keys; returns whether it existed.
    pub(super) fn revoke_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Revokes all expired leases.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at < now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }
}
