//! The simulated key-value store.

use super::Simulation;
use super::events::Event;
use super::links::{Delay, Host};
use super::nodes::Caller;
use crate::jobs::{self, Record};
use crate::node::Input;
use crate::rate_limit::StoreLimits;
use crate::types::{LeaseId, Revision};
use crate::wire::state::{Change, Event as StoreEvent, Pair, StoreReply, StoreRequest};
use crate::wire::users;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// A lease that keys may be bound to.
#[derive(Debug)]
struct Lease {
    /// When the lease expires, in milliseconds.
    ends: u64,
    /// The time from a renewal to the expiry, in milliseconds.
    ttl_ms: u64,
}

/// A request that is answered when a key under a prefix changes.
#[derive(Debug)]
struct Watch {
    caller: Caller,
    prefix: &'static str,
    /// Only changes after this revision are reported.
    since: u64,
}

/// A key's value, the revision of its last change and the lease that the key is bound to.
#[derive(Debug)]
struct StoredValue {
    value: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

/// The store's keys, leases and watches, and its faults.
#[derive(Debug)]
pub struct Service {
    store_revision: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, Lease>,
    /// All changes so far.
    history: Vec<StoreEvent>,
    watches: BTreeMap<u64, Watch>,
    /// The last ID given to a lease or a watch.
    last_id: u64,
    /// Whether there is an outage, in which every request is refused.
    down: bool,
    /// Nodes whose requests are refused.
    pub refused: BTreeSet<usize>,
    pub limits: StoreLimits,
    /// Values and transactions that were refused because they exceeded the limits.
    pub too_large: Vec<String>,
    /// Injected fault: commits every transaction, even if its conditions do not hold.
    pub ignores_conditions: bool,
}

impl StoredValue {
    fn pair(&self, key: String) -> Pair {
        Pair { key, value: self.value.clone(), revision: self.revision }
    }
}

fn key_of(event: &StoreEvent) -> &str {
    match event {
        StoreEvent::Put(pair) => &pair.key,
        StoreEvent::Delete { key, .. } => key,
    }
}

fn revision_of(event: &StoreEvent) -> Revision {
    match event {
        StoreEvent::Put(pair) => pair.revision,
        StoreEvent::Delete { revision, .. } => *revision,
    }
}

impl Service {
    /// Creates an empty store.
    pub fn new(limits: StoreLimits) -> Self {
        Self {
            store_revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: Vec::new(),
            watches: BTreeMap::new(),
            last_id: 0,
            down: false,
            refused: BTreeSet::new(),
            limits,
            too_large: Vec::new(),
            ignores_conditions: false,
        }
    }

    /// Returns a key's value.
    pub fn key(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(|stored| stored.value.as_str())
    }

    /// Writes a value without any condition, as a write from outside the cluster would.
    pub fn overwrite(&mut self, key: &str, value: &str) {
        self.store_revision += 1;
        self.put(key.into(), value.into(), None);
    }

    /// Returns the revision of a key's last change.
    pub fn revision(&self, key: &str) -> Option<Revision> {
        self.keys.get(key).map(|stored| stored.revision)
    }

    /// Returns the number of changes under a prefix so far.
    pub fn changes(&self, prefix: &str) -> usize {
        self.history.iter().filter(|event| key_of(event).starts_with(prefix)).count()
    }

    /// Returns all pairs under a prefix.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let all = self.keys.range(prefix.to_string()..).take_while(move |(key, _)| key.starts_with(prefix));
        all.map(|(key, stored)| (key.as_str(), stored.value.as_str()))
    }

    /// Returns all keys in order, with their values, revisions and the leases that they are bound to.
    pub fn stored(&self) -> impl Iterator<Item = (&str, &str, Revision, Option<LeaseId>)> {
        self.keys
            .iter()
            .map(|(key, stored)| (key.as_str(), stored.value.as_str(), stored.revision, stored.lease))
    }

    /// Refuses a node's requests from now on (`on`), or serves them again.
    pub fn refuse(&mut self, node: usize, on: bool) {
        if on {
            self.refused.insert(node);
        } else {
            self.refused.remove(&node);
        }
    }

    /// Begins or ends an outage. The end of an outage renews all leases.
    pub fn outage(&mut self, on: bool, now: u64) {
        self.down = on;
        if !on {
            self.leases.values_mut().for_each(|lease| lease.ends = now + lease.ttl_ms);
        }
    }

    /// Removes expired leases and the keys bound to them. During an outage no lease expires.
    fn expire(&mut self, now: u64) {
        if self.down {
            return;
        }
        let is_expired = |lease: &Lease| lease.ends < now;
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, lease)| is_expired(lease)).map(|(id, _)| *id).collect();
        for lease in expired {
            self.leases.remove(&lease);
            let bound = self.keys.iter().filter(|(_, stored)| stored.lease == Some(lease));
            let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
            if !keys.is_empty() {
                self.store_revision += 1;
            }
            for key in keys {
                self.delete(key);
            }
        }
    }

    fn put(&mut self, key: String, value: String, lease: Option<LeaseId>) {
        let revision = Revision(self.store_revision);
        self.keys.insert(key.clone(), StoredValue { value: value.clone(), revision, lease });
        self.history.push(StoreEvent::Put(Pair { key, value, revision }));
    }

    fn delete(&mut self, key: String) {
        self.keys.remove(&key);
        self.history.push(StoreEvent::Delete { key, revision: Revision(self.store_revision) });
    }

    /// Returns the changes under a prefix after a revision.
    fn since(&self, prefix: &str, from: u64) -> Vec<StoreEvent> {
        let start = self.history.partition_point(|event| revision_of(event).0 <= from);
        self.history[start..].iter().filter(|event| key_of(event).starts_with(prefix)).cloned().collect()
    }

    /// Commits a transaction if its conditions hold: each key must have the given revision.
    fn commit(&mut self, conditions: &[(String, Revision)], changes: Vec<Change>) -> StoreReply {
        if let Some(what) = self.over_the_limits(conditions.len(), &changes) {
            self.too_large.push(what);
            return StoreReply::Malformed;
        }
        let names_unknown_lease = |change: &Change| matches!(change, Change::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease));
        if changes.iter().any(names_unknown_lease) {
            return StoreReply::LeaseExpired;
        }
        let holds = |key: &str, revision: Revision| self.revision(key).unwrap_or_default() == revision;
        let failed: Vec<String> = conditions
            .iter()
            .filter(|(key, revision)| !holds(key, *revision))
            .map(|(key, _)| key.clone())
            .collect();
        if !failed.is_empty() && !self.ignores_conditions {
            return StoreReply::Conflict { failed };
        }
        self.store_revision += 1;
        for change in changes {
            match change {
                Change::Put { key, value, lease } => self.put(key, value, lease),
                Change::Delete { key } => self.delete(key),
            }
        }
        StoreReply::Committed { store_revision: self.store_revision }
    }

    /// Returns the part of a transaction that exceeds the limits, if any.
    fn over_the_limits(&self, conditions: usize, changes: &[Change]) -> Option<String> {
        let too_large = changes.iter().find_map(|change| match change {
            Change::Put { key, value, .. } if value.len() > self.limits.value_bytes => Some(key.clone()),
            _ => None,
        });
        let too_many = changes.len() > self.limits.txn_ops || conditions > 4 * self.limits.txn_ops;
        too_large.or(too_many.then(|| format!("a transaction of {}", changes.len())))
    }

    /// Returns at most `most` pairs under a prefix, after a key.
    fn range(&self, prefix: &str, after: &str, most: usize) -> StoreReply {
        let mut pairs: Vec<Pair> = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(most + 1)
            .map(|(key, stored)| stored.pair(key.clone()))
            .collect();
        let more = pairs.len() > most;
        pairs.truncate(most);
        StoreReply::Pairs { pairs, more, store_revision: self.store_revision }
    }

    /// Carries out a request immediately and returns the reply.
    fn answer(&mut self, request: StoreRequest, now: u64) -> StoreReply {
        match request {
            StoreRequest::Get { key } => match self.keys.get(&key) {
                Some(stored) => StoreReply::Found(stored.pair(key)),
                None => StoreReply::Missing { store_revision: self.store_revision },
            },
            StoreRequest::Range { prefix, after, limit } => {
                self.range(prefix, after.as_deref().unwrap_or_default(), limit as usize)
            }
            StoreRequest::Commit { conditions, changes } => self.commit(&conditions, changes),
            StoreRequest::GrantLease { ttl_ms } => {
                self.last_id += 1;
                let lease = LeaseId(self.last_id);
                self.leases.insert(lease, Lease { ends: now + ttl_ms, ttl_ms });
                StoreReply::LeaseGranted(lease)
            }
            StoreRequest::RenewLease { lease } => match self.leases.get_mut(&lease) {
                Some(lease) => {
                    lease.ends = now + lease.ttl_ms;
                    StoreReply::LeaseRenewed
                }
                None => StoreReply::LeaseExpired,
            },
            StoreRequest::Watch { prefix, from, .. } => {
                StoreReply::Events { store_revision: self.store_revision, events: self.since(prefix, from) }
            }
        }
    }
}

impl Simulation {
    fn store_reply(&mut self, caller: Caller, reply: StoreReply, delay: Delay) {
        let node = caller.node;
        let answer = caller.input(Input::Store { request_id: caller.request_id, reply });
        let slow_ms = self.faults.slow_store_ms;
        if slow_ms > 0 {
            let ms = self.rng_ms(0, slow_ms);
            return self.after(ms, Event::SlowStoreAnswer { node, answer: Box::new(answer) });
        }
        self.send_with_delay(Host::Store, Host::Node(node), answer, delay);
    }

    /// Returns the delay of a request and its answer. Reads and watches of an extension's records have a
    /// fixed delay without a draw, so that the rest of the run does not depend on whether a job came through
    /// an extension.
    pub(super) fn store_delay(&self, request: &StoreRequest) -> Delay {
        match request {
            StoreRequest::Range { prefix, .. } | StoreRequest::Watch { prefix, .. } => {
                self.delay_under(prefix)
            }
            _ => Delay::Drawn,
        }
    }

    fn delay_under(&self, prefix: &str) -> Delay {
        if self.extension_prefix == Some(prefix) { Delay::Fixed } else { Delay::Drawn }
    }

    /// Carries out a node's request and answers it. Active faults may refuse or delay the request or drop the
    /// answer.
    pub(super) fn store_request(&mut self, caller: Caller, request: StoreRequest) {
        let now = self.now;
        let delay = self.store_delay(&request);
        self.state.expire(now);
        if self.state.down || self.state.refused.contains(&caller.node) {
            return self.store_reply(caller, StoreReply::Refused, delay);
        }
        if let StoreRequest::Watch { prefix, from: since, block_ms } = &request
            && *block_ms > 0
            && self.state.since(prefix, *since).is_empty()
        {
            self.state.last_id += 1;
            let id = self.state.last_id;
            self.state.watches.insert(id, Watch { caller, prefix, since: *since });
            return self.after(*block_ms, Event::WatchEnds(id));
        }
        if self.faults.late_writes > 0.0
            && matches!(request, StoreRequest::Commit { .. })
            && self.rng.random_bool(self.faults.late_writes)
        {
            let ms = self.rng_ms(2_000, 12_000);
            return self.after(ms, Event::LateWrite(request));
        }
        let lost = self.faults.lost_store_answers > 0.0
            && matches!(request, StoreRequest::Commit { .. })
            && self.rng.random_bool(self.faults.lost_store_answers);
        let answer = self.state.answer(request, now);
        if lost {
            self.count("only the answer lost");
        } else {
            self.store_reply(caller, answer, delay);
        }
        self.end_changed_watches();
    }

    /// Carries out a delayed transaction, which is not answered. During an outage it is delayed further.
    pub fn commit_late(&mut self, request: StoreRequest) {
        if self.state.down {
            return self.after(500, Event::LateWrite(request));
        }
        self.state.expire(self.now);
        self.state.answer(request, self.now);
        self.end_changed_watches();
    }

    /// Ends the watches whose prefix has changed.
    fn end_changed_watches(&mut self) {
        self.upload_descriptions();
        let ended: Vec<u64> = self
            .state
            .watches
            .iter()
            .filter(|(_, watch)| !self.state.refused.contains(&watch.caller.node))
            .filter(|(_, watch)| !self.state.since(watch.prefix, watch.since).is_empty())
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|id| self.end_watch(id));
    }

    /// Passes the submissions of jobs that came through an extension to the rules, from which workers read
    /// them.
    fn upload_descriptions(&mut self) {
        if self.extension.is_none() || self.state.store_revision == self.described_revision {
            return;
        }
        self.described_revision = self.state.store_revision;
        let mut new = Vec::new();
        for (key, value) in self.state.under(jobs::PREFIX) {
            let id = &key[jobs::PREFIX.len()..];
            if self.rules.body(id).is_none()
                && let Ok(Record::Open(job)) = serde_json::from_str(value)
            {
                let body = users::write_submission(&id.into(), &job.spec);
                new.push((id.to_string(), serde_json::from_str(&body).unwrap_or_default()));
            }
        }
        new.iter().for_each(|(id, body)| self.rules.record_submission(id, body));
    }

    pub fn end_watch(&mut self, id: u64) {
        if self.state.down {
            return self.after(200, Event::WatchEnds(id));
        }
        if let Some(watch) = self.state.watches.remove(&id) {
            let events = self.state.since(watch.prefix, watch.since);
            let store_revision = self.state.store_revision;
            let delay = self.delay_under(watch.prefix);
            self.store_reply(watch.caller, StoreReply::Events { store_revision, events }, delay);
        }
    }
}
