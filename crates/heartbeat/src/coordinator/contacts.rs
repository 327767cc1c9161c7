//! Tracks which nodes the leader exchanges messages with in both directions, by the digests that they send.
//!
//! Used by the [`Coordinator`](super::Coordinator) to choose a route to a worker, and to assign no machines to
//! a node that does not respond.

use super::LiveNode;
use pearford_types::{Duration, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// A node is responsive only while its last digest is younger than this.
const MAX_DIGEST_AGE: Duration = Duration::from_millis(1500);
/// A node is responsive only while the delegation to which its last digest refers is younger than this.
const MAX_DELEGATION_AGE: Duration = Duration::from_millis(3500);
/// A live node that has sent no digest within this time counts as unresponsive.
const FIRST_DIGEST_TIMEOUT: Duration = Duration::from_millis(4000);

/// The last digest of a node.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastDigest {
    /// When the leader received it.
    pub(super) received_at: MonotonicTime,
    /// When the leader sent the delegation to which it refers.
    pub(super) delegation_sent_at: MonotonicTime,
}

/// The leader's contacts with the nodes.
#[derive(Debug, Clone)]
pub(super) struct NodeContacts {
    own_node: NodeName,
    last_digests: BTreeMap<NodeName, LastDigest>,
    /// For each live node, since when the leader has expected digests of it.
    expected_since: BTreeMap<NodeName, MonotonicTime>,
}

impl NodeContacts {
    pub(super) fn new(own_node: NodeName) -> Self {
        Self { own_node, last_digests: BTreeMap::new(), expected_since: BTreeMap::new() }
    }

    /// Updates the set of live nodes. Digests are expected of them once the leader is `ready`.
    pub(super) fn update_live(&mut self, live: &[LiveNode], ready: bool, now: MonotonicTime) {
        self.expected_since.retain(|node, _| live.iter().any(|live_node| live_node.node == *node));
        if ready {
            for live_node in live {
                self.expected_since.entry(live_node.node.clone()).or_insert(now);
            }
        }
    }

    /// Records a node's digest.
    pub(super) fn digest_received(&mut self, from: &NodeName, digest: LastDigest) {
        self.last_digests.insert(from.clone(), digest);
    }

    /// Whether messages arrive in both directions between a node and this one.
    pub(super) fn is_responsive(&self, node: &NodeName, now: MonotonicTime) -> bool {
        self.last_digests.get(node).is_some_and(|digest| {
            now.since(digest.received_at) < MAX_DIGEST_AGE
                && now.since(digest.delegation_sent_at) < MAX_DELEGATION_AGE
        })
    }

    /// The responsive nodes, ordered by name.
    pub(super) fn responsive_nodes(&self, now: MonotonicTime) -> impl Iterator<Item = &NodeName> {
        self.last_digests.keys().filter(move |node| self.is_responsive(node, now))
    }

    /// Whether messages to or from a live node are lost. No machine may be assigned to such a node: one that
    /// refuses connections but can send would keep answering workers under an outdated delegation. Heartbeats
    /// reported under it count as old, so the leader would declare all machines of that node lost.
    pub(super) fn is_unresponsive(&self, node: &NodeName, now: MonotonicTime) -> bool {
        let expected_since = self.expected_since.get(node);
        *node != self.own_node
            && expected_since.is_some_and(|since| now.since(*since) >= FIRST_DIGEST_TIMEOUT)
            && !self.is_responsive(node, now)
    }
}
