//! Versions side by side: what every node of the service is known to understand.
//!
//! A node writes the level that it understands under its own key as it starts. Once every
//! configured node has done so, the leader marks that level as reached, durably and for good; only
//! then may anything be stored that the level before would misread. Never time or silence: a node
//! that doesn't show up holds the mark back until it does, or until the settings drop it.
//! `docs/design.md` ("Upgrades") has the argument.

use crate::election;
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName, Revision};
use crate::wire::state::{Change, Pair, StoreReply, StoreRequest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Versions before the first level write nothing here.
pub type FeatureLevel = u32;
/// Jobs that need others.
pub const DEPENDENCIES: FeatureLevel = 1;
/// Reports are answered by every node, in the leader's name.
pub const HEARTBEAT_DELEGATION: FeatureLevel = 2;
/// Whoever leads tells where its starts are in doubt.
pub const UNACKNOWLEDGED_STARTS: FeatureLevel = 3;
/// What this version understands.
pub const OURS: FeatureLevel = UNACKNOWLEDGED_STARTS;

const PREFIX: &str = "level/";
const NODES: &str = "level/node/";
const MARK: &str = "level/reached";
const VERSION: &str = env!("CARGO_PKG_VERSION");
const PAUSE: Duration = Duration::from_millis(1000);
/// Once all is reached a look now and then suffices, for operators.
const LONG_PAUSE: Duration = Duration::from_millis(60_000);

#[derive(Debug, Clone, Serialize, Deserialize)]
struct NodeValue {
    level: FeatureLevel,
    #[serde(default)]
    version: String,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Announce,
    Look,
    Mark(FeatureLevel),
}

/// One node's view of the levels.
#[derive(Debug)]
pub struct ClusterVersion {
    node: NodeName,
    nodes: Vec<NodeName>,
    announced: bool,
    /// What is stored was read once since this node started.
    looked: bool,
    reached: FeatureLevel,
    mark_revision: Revision,
    seen: BTreeMap<NodeName, NodeValue>,
    under_way: Option<Step>,
    next: MonotonicTime,
}

impl ClusterVersion {
    pub fn new(node: NodeName, peers: impl Iterator<Item = NodeName>) -> Self {
        let nodes = std::iter::once(node.clone()).chain(peers).collect();
        Self {
            node,
            nodes,
            announced: false,
            looked: false,
            reached: 0,
            mark_revision: Revision(0),
            seen: BTreeMap::new(),
            under_way: None,
            next: MonotonicTime::default(),
        }
    }

    /// What every node is durably known to understand.
    pub fn reached(&self) -> FeatureLevel {
        self.reached
    }

    /// Each configured node, its level and version as last seen.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeName, FeatureLevel, &str)> {
        self.nodes.iter().map(|n| match self.seen.get(n) {
            Some(v) => (n, v.level, v.version.as_str()),
            None => (n, 0, "unknown"),
        })
    }

    /// The next request to the state service, if one is due. `fencing_token`: this node validly leads.
    pub fn tick(&mut self, now: MonotonicTime, fencing_token: Option<FencingToken>) -> Option<StoreRequest> {
        if self.under_way.is_some() || now < self.next {
            return None;
        }
        let all = self.nodes().map(|(_, level, _)| level).min().unwrap_or(0).min(OURS);
        let (step, request) = match fencing_token {
            // What an earlier run wrote needs no change. (Each restart wrote it anew; after all nodes had crashed that
            // was refused for a minute while others used up the changes, and the new leader delegated to nobody:
            // four times the andina fleet.)
            _ if self.looked && !self.announced => {
                let value = NodeValue { level: OURS, version: VERSION.into() };
                let value = serde_json::to_string(&value).unwrap_or_default();
                let key = format!("{NODES}{}", self.node);
                let put = Change::Put { key, value, lease: None };
                (Step::Announce, StoreRequest::Commit { conditions: Vec::new(), changes: vec![put] })
            }
            Some(fencing_token) if all > self.reached => {
                let conditions = vec![
                    (election::LEADER_KEY.into(), Revision(fencing_token.0)),
                    (MARK.to_string(), self.mark_revision),
                ];
                let put = Change::Put { key: MARK.into(), value: all.to_string(), lease: None };
                (Step::Mark(all), StoreRequest::Commit { conditions, changes: vec![put] })
            }
            _ => (Step::Look, StoreRequest::Range { prefix: PREFIX, after: None, most: 500 }),
        };
        self.under_way = Some(step);
        Some(request)
    }

    pub fn reply(&mut self, now: MonotonicTime, reply: StoreReply) {
        let Some(step) = self.under_way.take() else { return };
        self.next = now + PAUSE;
        match (step, reply) {
            (Step::Announce, StoreReply::Committed { .. }) => {
                self.announced = true;
                self.next = now;
            }
            (Step::Look, StoreReply::Pairs { pairs, .. }) => {
                pairs.iter().for_each(|p| self.learn(p));
                self.looked = true;
                self.announced |= self.has_said();
                self.next = match (self.announced, self.reached >= OURS) {
                    (false, _) => now,
                    (true, true) => now + LONG_PAUSE,
                    (true, false) => now + PAUSE,
                };
            }
            (Step::Mark(level), StoreReply::Committed { store_revision }) => {
                tracing::info!(level, "every node understands this level now");
                self.reached = level;
                self.mark_revision = Revision(store_revision);
            }
            // Somebody else's mark, or a change of leader: look again.
            (Step::Mark(_), _) => self.seen.clear(),
            _ => {}
        }
    }

    #[cfg(any(test, feature = "world"))]
    pub(crate) fn sabotage_reached(&mut self) {
        self.reached = OURS;
    }

    /// Whether what this node has to say is stored.
    fn has_said(&self) -> bool {
        self.seen.get(&self.node).is_some_and(|v| v.level == OURS && v.version == VERSION)
    }

    fn learn(&mut self, pair: &Pair) {
        if pair.key == MARK {
            self.mark_revision = pair.revision;
            match serde_json::from_str::<FeatureLevel>(&pair.value) {
                // What was reached once stays so.
                Ok(level) => self.reached = self.reached.max(level),
                Err(error) => tracing::error!(key = pair.key, %error, "the mark can't be read"),
            }
        } else if let Some(node) = pair.key.strip_prefix(NODES) {
            match serde_json::from_str(&pair.value) {
                Ok(value) => {
                    self.seen.insert(node.into(), value);
                }
                Err(error) => tracing::error!(key = pair.key, %error, "a node's level can't be read"),
            }
        }
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
