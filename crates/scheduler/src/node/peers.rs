//! The other controllers of the service, as their pings show them. The controller feeds it; the leader asks it who is
//! alive and who has applied its broadcasts.

use crate::peer_messages::BroadcastPosition;
use crate::settings::Peer;
use crate::types::{Duration, MonotonicTime, NodeName, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// A peer without a ping for so long counts as gone.
const SILENCE: Duration = Duration::from_millis(2500);
/// Broadcasts that may be under way to a peer that is up to date.
const BROADCASTS_IN_FLIGHT: u64 = 4;

/// What a peer's last ping said.
#[derive(Debug)]
pub(super) struct PeerState {
    /// When the ping came.
    pub heard_at: MonotonicTime,
    /// Whether the peer reaches the key-value store.
    pub store_reachable: bool,
    /// Up to which status broadcast the peer has applied all.
    pub broadcast_seen: BroadcastPosition,
    /// Whether workers that found no leader have lately turned to the peer.
    pub has_unanswered_heartbeats: bool,
}

/// All peers of this node.
#[derive(Debug)]
pub(super) struct Peers {
    names: Vec<NodeName>,
    /// Of those that have sent a ping.
    states: BTreeMap<NodeName, PeerState>,
    /// When a leader last heard a worker of each zone. A new leader must not take a zone that was cut off before its
    /// time for one that has just fallen silent.
    last_heartbeat_by_zone: BTreeMap<Zone, MonotonicTime>,
}

impl Peers {
    /// The peers that the settings name, none heard yet.
    pub fn new(peers: &[Peer]) -> Self {
        let names = peers.iter().map(|peer| peer.name.clone()).collect();
        Self { names, states: BTreeMap::new(), last_heartbeat_by_zone: BTreeMap::new() }
    }

    /// All peers that the settings name, alive or not.
    pub fn names(&self) -> &[NodeName] {
        &self.names
    }

    /// Notes a peer's ping.
    pub fn pinged(&mut self, from: NodeName, state: PeerState) {
        self.states.insert(from, state);
    }

    fn live_states(&self, now: MonotonicTime) -> impl Iterator<Item = (&NodeName, &PeerState)> {
        self.states.iter().filter(move |(_, peer)| now.since(peer.heard_at) < SILENCE)
    }

    /// The peers that are alive.
    pub fn live(&self, now: MonotonicTime) -> BTreeSet<NodeName> {
        self.live_states(now).map(|(name, _)| name.clone()).collect()
    }

    /// Whether a live peer reaches the key-value store.
    pub fn any_reaches_store(&self, now: MonotonicTime) -> bool {
        self.live_states(now).any(|(_, peer)| peer.store_reachable)
    }

    /// Whether workers that found no leader have lately turned to a live peer.
    pub fn any_has_unanswered_heartbeats(&self, now: MonotonicTime) -> bool {
        self.live_states(now).any(|(_, peer)| peer.has_unanswered_heartbeats)
    }

    /// Whether the peer `name` has applied the broadcasts of a leader up to `latest`, but for those that may still
    /// be under way.
    pub fn is_up_to_date(&self, name: &NodeName, latest: BroadcastPosition) -> bool {
        self.states.get(name).is_some_and(|peer| {
            let seen = peer.broadcast_seen;
            seen.fencing_token == latest.fencing_token
                && seen.sequence + BROADCASTS_IN_FLIGHT >= latest.sequence
        })
    }

    /// When a leader last heard a worker of each zone.
    pub fn last_heartbeat_by_zone(&self) -> &BTreeMap<Zone, MonotonicTime> {
        &self.last_heartbeat_by_zone
    }

    /// Notes that a worker of `zone` was heard at `at`, here or by an earlier leader.
    pub fn record_zone_heartbeat(&mut self, zone: &Zone, at: MonotonicTime) {
        match self.last_heartbeat_by_zone.get_mut(zone) {
            Some(heard_at) => *heard_at = at.max(*heard_at),
            None => {
                self.last_heartbeat_by_zone.insert(zone.clone(), at);
            }
        }
    }
}
