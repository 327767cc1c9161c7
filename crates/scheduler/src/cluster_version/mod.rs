//! Cluster version: which features every node of the service is known to understand. Used by the controller,
//! while nodes of different versions run side by side during an upgrade.
//!
//! Each node writes the feature level that it understands under its own key when it starts. Once every configured
//! node has done so, the leader raises the cluster's level, durably and for good; only then may anything be
//! stored or sent that a node of the previous level would misread. Neither time nor silence raises the level: a
//! node that doesn't start holds it back until it does, or until the settings no longer name it.
//! `docs/design.md` ("Upgrades") has the argument.

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
/// Most keys read at a time.
const PAGE: u32 = 500;
/// The version of the program that a node announces beside its level, for operators.
const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");
/// Version reported for a node whose announcement was not read.
const UNKNOWN_VERSION: &str = "unknown";

/// Time from a reply until the next request.
const STEP_INTERVAL: Duration = Duration::from_millis(1000);
/// The same once the cluster has reached this program's level: the nodes' keys are then read for operators only.
const IDLE_INTERVAL: Duration = Duration::from_millis(60_000);

/// What a node stores under its own key.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct NodeRecord {
    level: FeatureLevel,
    #[serde(default)]
    version: String,
}

/// A request under way.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// This node writes what it understands.
    Announce,
    /// All keys are read.
    Read,
    /// The leader raises the cluster's level.
    Raise(FeatureLevel),
}

/// What a node announced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeVersion<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// The feature level that it understands; 0 if it wasn't read yet.
    pub level: FeatureLevel,
    /// The version of its program, or `unknown`.
    pub version: &'a str,
}

/// One node's view of the levels.
#[derive(Debug)]
pub struct ClusterVersion {
    node: NodeName,
    /// All configured nodes, this one first.
    nodes: Vec<NodeName>,
    /// Whether this node's level is known to be stored.
    announced: bool,
    /// Whether the keys were read since this node started.
    has_read: bool,
    reached: FeatureLevel,
    cluster_level_revision: Revision,
    announcements: BTreeMap<NodeName, NodeRecord>,
    under_way: Option<Step>,
    next_step_at: MonotonicTime,
}

impl ClusterVersion {
    /// The view of `node` when it starts; `peers` are the other configured nodes.
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
            under_way: None,
            next_step_at: MonotonicTime::default(),
        }
    }

    /// The level that every node is durably known to understand.
    pub fn reached(&self) -> FeatureLevel {
        self.reached
    }

    /// Each configured node, with its level and version as last read.
    pub fn nodes(&self) -> impl Iterator<Item = NodeVersion<'_>> {
        self.nodes.iter().map(|node| match self.announcements.get(node) {
            Some(record) => NodeVersion { node, level: record.level, version: &record.version },
            None => NodeVersion { node, level: FeatureLevel::default(), version: UNKNOWN_VERSION },
        })
    }

    /// The next request to the key-value store, if one is due. `fencing_token` is given while this node validly
    /// leads.
    pub fn tick(&mut self, now: MonotonicTime, fencing_token: Option<FencingToken>) -> Option<StoreRequest> {
        if self.under_way.is_some() || now < self.next_step_at {
            return None;
        }
        // What an earlier run stored is not written again. (When each restart did so, and all nodes had crashed,
        // these writes were refused for a minute while others used up the write limit, and the new leader delegated
        // heartbeats to nobody: simulated with four times the machines of the andina site.)
        if self.has_read && !self.announced {
            self.under_way = Some(Step::Announce);
            return Some(self.announcement());
        }
        let common_level = self.common_level();
        if let Some(fencing_token) = fencing_token
            && common_level > self.reached
        {
            self.under_way = Some(Step::Raise(common_level));
            return Some(self.raise_request(common_level, fencing_token));
        }
        self.under_way = Some(Step::Read);
        Some(StoreRequest::Range { prefix: PREFIX, after: None, limit: PAGE })
    }

    /// The highest level that all configured nodes, and this program, understand.
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

    /// Takes the reply to the request under way.
    pub fn reply(&mut self, now: MonotonicTime, reply: StoreReply) {
        let Some(step) = self.under_way.take() else { return };
        self.next_step_at = now + STEP_INTERVAL;
        match (step, reply) {
            (Step::Announce, StoreReply::Committed { .. }) => {
                self.announced = true;
                self.next_step_at = now;
            }
            (Step::Read, StoreReply::Pairs { pairs, .. }) => self.keys_read(now, &pairs),
            (Step::Raise(level), StoreReply::Committed { store_revision }) => {
                tracing::info!(%level, "every node understands this feature level now");
                self.reached = level;
                self.cluster_level_revision = Revision(store_revision);
            }
            // Another node raised the level, or the leader changed: the keys are read again.
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

    /// Whether what this node would announce is already stored.
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
            // A level once reached stays so.
            Ok(level) => self.reached = self.reached.max(level),
            Err(error) => {
                tracing::error!(key = pair.key, %error, "the cluster's feature level can't be read");
            }
        }
    }

    fn learn_announcement(&mut self, node: NodeName, pair: &Pair) {
        match serde_json::from_str(&pair.value) {
            Ok(record) => {
                self.announcements.insert(node, record);
            }
            Err(error) => tracing::error!(key = pair.key, %error, "a node's feature level can't be read"),
        }
    }

    /// Fault injection: takes the current level as reached although not every node announced it.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) fn assume_current_level(&mut self) {
        self.reached = CURRENT;
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
