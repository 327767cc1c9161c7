//! Which nodes the leader hears, and which of them hear the leader, by the digests that they send.
//!
//! Used by the [`Coordinator`](super::Coordinator) to choose a way to a worker and to assign no machines to a
//! node that does not respond.

use super::LiveNode;
use pearford_types::{Duration, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// How old a node's last digest may be for commands to go through that node.
const MAX_DIGEST_AGE: Duration = Duration::from_millis(1500);
/// How old the delegation may be that this digest names.
const MAX_DELEGATION_AGE: Duration = Duration::from_millis(3500);
/// How long a node has to send its first digest before no machine is assigned to it.
const FIRST_DIGEST_TIMEOUT: Duration = Duration::from_millis(4000);

/// The last digest of a node.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastDigest {
    /// When it came.
    pub(super) received_at: MonotonicTime,
    /// When the delegation was sent that it names.
    pub(super) delegation_sent_at: MonotonicTime,
}

/// What the leader knows of its connections to the nodes.
#[derive(Debug, Clone)]
pub(super) struct NodeContacts {
    me: NodeName,
    last_digests: BTreeMap<NodeName, LastDigest>,
    /// Since when nodes have been alive while this leader was ready for digests.
    expected_since: BTreeMap<NodeName, MonotonicTime>,
}

impl NodeContacts {
    pub(super) fn new(me: NodeName) -> Self {
        Self { me, last_digests: BTreeMap::new(), expected_since: BTreeMap::new() }
    }

    /// These nodes are alive. Digests are expected of them once the leader is `ready`.
    pub(super) fn update_live(&mut self, live: &[LiveNode], ready: bool, now: MonotonicTime) {
        self.expected_since.retain(|node, _| live.iter().any(|live_node| live_node.node == *node));
        if ready {
            for live_node in live {
                self.expected_since.entry(live_node.node.clone()).or_insert(now);
            }
        }
    }

    /// A node has sent a digest.
    pub(super) fn digest_received(&mut self, from: &NodeName, digest: LastDigest) {
        self.last_digests.insert(from.clone(), digest);
    }

    /// Whether a node is heard and hears this one.
    pub(super) fn is_responsive(&self, node: &NodeName, now: MonotonicTime) -> bool {
        self.last_digests.get(node).is_some_and(|digest| {
            now.since(digest.received_at) < MAX_DIGEST_AGE
                && now.since(digest.delegation_sent_at) < MAX_DELEGATION_AGE
        })
    }

    /// The nodes that are heard and hear this one, by name.
    pub(super) fn responsive_nodes(&self, now: MonotonicTime) -> impl Iterator<Item = &NodeName> {
        self.last_digests.keys().filter(move |node| self.is_responsive(node, now))
    }

    /// Whether a live node doesn't receive what is sent to it, or what it sends gets lost: then no machine
    /// may be assigned to it. (A node to which connections were refused still reached the leader: it answered
    /// workers and reported them under a delegation long past, and 440 machines that it heard were given up;
    /// simulated fleet "andina", fault "apart".)
    pub(super) fn is_unresponsive(&self, node: &NodeName, now: MonotonicTime) -> bool {
        let expected_since = self.expected_since.get(node);
        *node != self.me
            && expected_since.is_some_and(|since| now.since(*since) >= FIRST_DIGEST_TIMEOUT)
            && !self.is_responsive(node, now)
    }
}
