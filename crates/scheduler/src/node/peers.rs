//! The state of the other controllers of the service, from their pings. The controller records it; the leader
//! reads which peers are alive and which have applied its broadcasts.

use crate::peer_messages::BroadcastPosition;
use crate::settings::Peer;
use crate::types::{Duration, MonotonicTime, NodeName, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// A peer counts as failed after this time without a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(2500);
/// Broadcasts that may be in flight to a peer that is up to date.
const BROADCASTS_IN_FLIGHT: u64 = 4;

/// The content of a peer's last ping.
#[derive(Debug)]
pub(super) struct PeerState {
    /// When the ping arrived.
    pub pinged_at: MonotonicTime,
    /// Whether the key-value store replies to the peer.
    pub store_reachable: bool,
    /// The peer has applied all status broadcasts up to this position.
    pub broadcast_seen: BroadcastPosition,
    /// Whether the peer recently received heartbeats that it could not answer.
    pub has_unanswered_heartbeats: bool,
}

/// All peers of this node.
#[derive(Debug)]
pub(super) struct Peers {
    names: Vec<NodeName>,
    /// States of the peers that have sent a ping.
    states: BTreeMap<NodeName, PeerState>,
    /// When a leader last received a heartbeat from each zone. A new leader needs it to distinguish a zone
    /// that was partitioned before its term from one whose heartbeats have just stopped.
    last_heartbeat_by_zone: BTreeMap<Zone, MonotonicTime>,
}

impl Peers {
    /// Creates the peers that the settings name; none has sent a ping yet.
    pub fn new(peers: &[Peer]) -> Self {
        let names = peers.iter().map(|peer| peer.name.clone()).collect();
        Self { names, states: BTreeMap::new(), last_heartbeat_by_zone: BTreeMap::new() }
    }

    /// All peers that the settings name, alive or not.
    pub fn names(&self) -> &[NodeName] {
        &self.names
    }

    /// Records a peer's ping.
    pub fn record_ping(&mut self, from: NodeName, state: PeerState) {
        self.states.insert(from, state);
    }

    fn live_states(&self, now: MonotonicTime) -> impl Iterator<Item = (&NodeName, &PeerState)> {
        self.states.iter().filter(move |(_, peer)| now.since(peer.pinged_at) < PING_TIMEOUT)
    }

    /// The peers that are alive.
    pub fn live(&self, now: MonotonicTime) -> BTreeSet<NodeName> {
        self.live_states(now).map(|(name, _)| name.clone()).collect()
    }

    /// Whether any live peer reaches the key-value store.
    pub fn any_reaches_store(&self, now: MonotonicTime) -> bool {
        self.live_states(now).any(|(_, peer)| peer.store_reachable)
    }

    /// Whether any live peer recently received heartbeats that it could not answer.
    pub fn any_has_unanswered_heartbeats(&self, now: MonotonicTime) -> bool {
        self.live_states(now).any(|(_, peer)| peer.has_unanswered_heartbeats)
    }

    /// Whether the peer `name` has applied the broadcasts of a leader up to `latest`, except for those that
    /// may still be in flight.
    pub fn is_up_to_date(&self, name: &NodeName, latest: BroadcastPosition) -> bool {
        self.states.get(name).is_some_and(|peer| {
            let seen = peer.broadcast_seen;
            seen.fencing_token == latest.fencing_token
                && seen.sequence + BROADCASTS_IN_FLIGHT >= latest.sequence
        })
    }

    /// When a leader last received a heartbeat from each zone.
    pub fn last_heartbeat_by_zone(&self) -> &BTreeMap<Zone, MonotonicTime> {
        &self.last_heartbeat_by_zone
    }

    /// Records that a leader, here or on another node, received a heartbeat from `zone` at `at`.
    pub fn record_zone_heartbeat(&mut self, zone: &Zone, at: MonotonicTime) {
        match self.last_heartbeat_by_zone.get_mut(zone) {
            Some(last) => *last = at.max(*last),
            None => {
                self.last_heartbeat_by_zone.insert(zone.clone(), at);
            }
        }
    }
}
