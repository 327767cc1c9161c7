//! Cluster version: the features that all nodes of the service are known to understand. Used by the
//! controller during upgrades, while nodes of different versions run side by side.
//!
//! Each node writes the feature level that it understands under its own key when it starts. Once every
//! configured node has done so, the leader raises the cluster's level; the raise is durable and is never
//! undone. Only then may a node store or send anything that a node of the previous level would misread. The
//! level is not raised after a timeout: a node that doesn't start blocks it until the node starts or is
//! removed from the settings. `docs/design.md` ("Upgrades") has the safety argument.

mod feature_level;

pub use feature_level::{DEPENDENCIES, FeatureLevel, HEARTBEAT_DELEGATION, UNACKNOWLEDGED_STARTS};

use crate::election;
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName, Revision};
use crate::wire::state::{Change, Pair, StoreReply, StoreRequest};
use feature_level::CURRENT;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of all keys of this module in the key-value store.
const PREFIX: &str = "level/";
/// Prefix of the nodes' own keys; the node's name follows.
const NODES_PREFIX: &str = "level/node/";
/// Key of the cluster's level.
const CLUSTER_LEVEL_KEY: &str = "level/reached";
/// Most keys per read.
const MAX_KEYS_PER_READ: u32 = 500;
/// The program's version, which a node announces with its level for operators.
const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");
/// Version reported for a node whose announcement was not read yet.
const UNKNOWN_VERSION: &str = "unknown";

/// Delay from a reply to the next request.
const STEP_INTERVAL: Duration = Duration::from_millis(1000);
/// The same once the cluster has reached this program's level: the keys are then read only to show the nodes'
/// versions to operators.
const IDLE_INTERVAL: Duration = Duration::from_millis(60_000);

/// The value that a node stores under its own key.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct NodeRecord {
    level: FeatureLevel,
    #[serde(default)]
    version: String,
}

/// The purpose of a request in flight.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Write this node's level.
    Announce,
    /// Read all keys.
    Read,
    /// Raise the cluster's level, as the leader.
    Raise(FeatureLevel),
}

/// A node's announcement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeVersion<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// The feature level that it understands; 0 if it wasn't read yet.
    pub level: FeatureLevel,
    /// The version of its program, or `unknown`.
    pub version: &'a str,
}

/// The cluster's level and the nodes' announcements, as one node knows them.
#[derive(Debug)]
pub struct ClusterVersion {
    node: NodeName,
    /// All configured nodes, this one first.
    nodes: Vec<NodeName>,
    /// Whether the announcement of this node is known to be stored.
    announced: bool,
    /// Whether the keys were read since this node started.
    has_read: bool,
    reached: FeatureLevel,
    cluster_level_revision: Revision,
    announcements: BTreeMap<NodeName, NodeRecord>,
    in_flight: Option<Step>,
    next_step_at: MonotonicTime,
}

impl ClusterVersion {
    /// The initial state of `node` after its start; `peers` are the other configured nodes.
    pub fn new(node: NodeName, peers: impl Iterator<Item = NodeName>) -> Self {
        let nodes = std::iter::once(node.clone()).chain(peers).collect();
        Self {
            node,
            nodes,
            announced: false,
            has_read: false,
            reached: FeatureLevel::default(),
            cluster_level_revision: Revision(0),
            announcements: BTreeMap::new(),
            in_flight: None,
            next_step_at: MonotonicTime::default(),
        }
    }

    /// The level that every node is durably known to understand.
    pub fn reached(&self) -> FeatureLevel {
        self.reached
    }

    /// The announcement of each configured node, as last read.
    pub fn nodes(&self) -> impl Iterator<Item = NodeVersion<'_>> {
        self.nodes.iter().map(|node| match self.announcements.get(node) {
            Some(record) => NodeVersion { node, level: record.level, version: &record.version },
            None => NodeVersion { node, level: FeatureLevel::default(), version: UNKNOWN_VERSION },
        })
    }

    /// The next request to the key-value store, if one is due. `fencing_token` is `Some` while this node is
    /// the leader with a valid lease.
    pub fn tick(&mut self, now: MonotonicTime, fencing_token: Option<FencingToken>) -> Option<StoreRequest> {
        if self.in_flight.is_some() || now < self.next_step_at {
            return None;
        }
        // Read before announcing: an announcement stored before a restart is not written again. When it was,
        // and all nodes had crashed with four times the machines, the store refused these writes for a minute
        // because other requests used up its write limit, and the new leader couldn't delegate heartbeats.
        if self.has_read && !self.announced {
            self.in_flight = Some(Step::Announce);
            return Some(self.announcement());
        }
        let common_level = self.common_level();
        if let Some(fencing_token) = fencing_token
            && common_level > self.reached
        {
            self.in_flight = Some(Step::Raise(common_level));
            return Some(self.raise_request(common_level, fencing_token));
        }
        self.in_flight = Some(Step::Read);
        Some(StoreRequest::Range { prefix: PREFIX, after: None, limit: MAX_KEYS_PER_READ })
    }

    /// The highest level that all configured nodes and this program understand.
    fn common_level(&self) -> FeatureLevel {
        self.nodes().map(|node| node.level).min().unwrap_or_default().min(CURRENT)
    }

    fn announcement(&self) -> StoreRequest {
        let record = NodeRecord { level: CURRENT, version: PROGRAM_VERSION.into() };
        let put = Change::Put {
            key: format!("{NODES_PREFIX}{}", self.node),
            value: serde_json::to_string(&record).unwrap_or_default(),
            lease: None,
        };
        StoreRequest::Commit { conditions: Vec::new(), changes: vec![put] }
    }

    fn raise_request(&self, level: FeatureLevel, fencing_token: FencingToken) -> StoreRequest {
        let conditions = vec![
            (election::LEADER_KEY.into(), Revision(fencing_token.0)),
            (CLUSTER_LEVEL_KEY.to_string(), self.cluster_level_revision),
        ];
        let put = Change::Put { key: CLUSTER_LEVEL_KEY.into(), value: level.to_string(), lease: None };
        StoreRequest::Commit { conditions, changes: vec![put] }
    }

    /// Processes the reply to the request in flight.
    pub fn reply(&mut self, now: MonotonicTime, reply: StoreReply) {
        let Some(step) = self.in_flight.take() else { return };
        self.next_step_at = now + STEP_INTERVAL;
        match (step, reply) {
            (Step::Announce, StoreReply::Committed { .. }) => {
                self.announced = true;
                self.next_step_at = now;
            }
            (Step::Read, StoreReply::Pairs { pairs, .. }) => self.keys_read(now, &pairs),
            (Step::Raise(level), StoreReply::Committed { store_revision }) => {
                tracing::info!(%level, "cluster feature level raised; every configured node understands it");
                self.reached = level;
                self.cluster_level_revision = Revision(store_revision);
            }
            // The commit was refused or its outcome is unknown: another node may have raised the level, or
            // the leader may have changed. The announcements are cleared, so the keys are read again first.
            (Step::Raise(_), _) => self.announcements.clear(),
            _ => {}
        }
    }

    fn keys_read(&mut self, now: MonotonicTime, pairs: &[Pair]) {
        pairs.iter().for_each(|pair| self.learn(pair));
        self.has_read = true;
        self.announced |= self.is_announcement_stored();
        self.next_step_at = if !self.announced {
            now
        } else if self.reached >= CURRENT {
            now + IDLE_INTERVAL
        } else {
            now + STEP_INTERVAL
        };
    }

    /// Whether the announcement that this node would write is already stored.
    fn is_announcement_stored(&self) -> bool {
        self.announcements
            .get(&self.node)
            .is_some_and(|record| record.level == CURRENT && record.version == PROGRAM_VERSION)
    }

    fn learn(&mut self, pair: &Pair) {
        if pair.key == CLUSTER_LEVEL_KEY {
            self.learn_cluster_level(pair);
        } else if let Some(node) = pair.key.strip_prefix(NODES_PREFIX) {
            self.learn_announcement(node.into(), pair);
        }
    }

    fn learn_cluster_level(&mut self, pair: &Pair) {
        self.cluster_level_revision = pair.revision;
        match serde_json::from_str::<FeatureLevel>(&pair.value) {
            // A level that was reached is never lowered.
            Ok(level) => self.reached = self.reached.max(level),
            Err(error) => {
                tracing::error!(
                    key = pair.key,
                    %error,
                    "cluster feature level can't be read; keeping the level already known"
                );
            }
        }
    }

    fn learn_announcement(&mut self, node: NodeName, pair: &Pair) {
        match serde_json::from_str(&pair.value) {
            Ok(record) => {
                self.announcements.insert(node, record);
            }
            Err(error) => {
                tracing::error!(
                    key = pair.key,
                    %error,
                    "node's feature level can't be read; ignoring it. Restart the node to write it again"
                );
            }
        }
    }

    /// Fault injection: treats the current level as reached although not every node has announced it.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) fn assume_current_level(&mut self) {
        self.reached = CURRENT;
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
