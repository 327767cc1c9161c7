//! The other controllers, as their pings show them.

use crate::settings::Peer;
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a peer counts as away.
const SILENCE: Duration = Duration::from_millis(2500);
/// Beats that may be under way to a peer that is in step.
const BROADCASTS_IN_FLIGHT: u64 = 4;

#[derive(Debug)]
struct State {
    heard: MonotonicTime,
    store_reachable: bool,
    broadcast_seen: (FencingToken, u64),
    hears_workers: bool,
}

#[derive(Debug)]
pub(super) struct Peers {
    names: Vec<NodeName>,
    states: BTreeMap<NodeName, State>,
    /// When a leader last heard a worker of each zone: a new one must not take a zone that was cut
    /// off before its time for one that has just fallen silent.
    zones_heard: BTreeMap<Zone, MonotonicTime>,
}

impl Peers {
    pub fn new(peers: &[Peer]) -> Self {
        let names = peers.iter().map(|p| p.name.clone()).collect();
        Self { names, states: BTreeMap::new(), zones_heard: BTreeMap::new() }
    }

    /// All that the settings name, there or not.
    pub fn names(&self) -> &[NodeName] {
        &self.names
    }

    pub fn pinged(
        &mut self,
        from: NodeName,
        store_reachable: bool,
        broadcast_seen: (FencingToken, u64),
        hears_workers: bool,
        now: MonotonicTime,
    ) {
        self.states.insert(from, State { heard: now, store_reachable, broadcast_seen, hears_workers });
    }

    fn there(&self, now: MonotonicTime) -> impl Iterator<Item = (&NodeName, &State)> {
        self.states.iter().filter(move |(_, p)| now.since(p.heard) < SILENCE)
    }

    pub fn live(&self, now: MonotonicTime) -> BTreeSet<NodeName> {
        self.there(now).map(|(name, _)| name.clone()).collect()
    }

    /// Whether one reaches the state service.
    pub fn any_reaches_store(&self, now: MonotonicTime) -> bool {
        self.there(now).any(|(_, p)| p.store_reachable)
    }

    /// Whether workers that find no leader have turned to one lately.
    pub fn hear_workers(&self, now: MonotonicTime) -> bool {
        self.there(now).any(|(_, p)| p.hears_workers)
    }

    /// Whether `name` has taken in the beats of `fencing_token` up to about `broadcast`.
    pub fn in_step(&self, name: &NodeName, fencing_token: FencingToken, broadcast: u64) -> bool {
        self.states.get(name).is_some_and(|p| {
            p.broadcast_seen.0 == fencing_token && p.broadcast_seen.1 + BROADCASTS_IN_FLIGHT >= broadcast
        })
    }

    pub fn zones_heard(&self) -> &BTreeMap<Zone, MonotonicTime> {
        &self.zones_heard
    }

    /// A worker of `zone` was heard at `at`, here or by an earlier leader.
    pub fn heard_zone(&mut self, zone: &Zone, at: MonotonicTime) {
        match self.zones_heard.get_mut(zone) {
            Some(heard) => *heard = at.max(*heard),
            None => {
                self.zones_heard.insert(zone.clone(), at);
            }
        }
    }
}
