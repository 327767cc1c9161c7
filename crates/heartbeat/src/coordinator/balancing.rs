//! Balances machines over nodes: a node that has far more than its share gets a lower weight.
//!
//! Used by the [`Coordinator`](super::Coordinator) when it makes a delegation.

use super::LiveNode;
use pearford_types::{Duration, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// Initial weight of a node.
const INITIAL_WEIGHT: u16 = 100;
/// Initial weight of the leader's node, which also runs scheduling and commits.
const INITIAL_LEADER_WEIGHT: u16 = 40;
/// Interval at which weights are adjusted to the numbers of machines.
const BALANCE_INTERVAL: Duration = Duration::from_millis(10_000);
/// One adjustment multiplies a weight by this factor to lower it, and divides by it to raise it.
const ADJUSTMENT_FACTOR: f64 = 0.8;
/// A node with more than this many times its share of the machines gets a lower weight, and one with less
/// than the reciprocal of it a higher weight.
const IMBALANCE_THRESHOLD: f64 = 1.25;
/// The lowest weight of a node is its initial weight divided by this.
const MAX_REDUCTION: f64 = 10.0;
/// The highest weight of a node is its initial weight times this.
const MAX_INCREASE: f64 = 2.0;
/// With fewer machines per node on average the differences are mostly random, and balancing has no use.
const MIN_MACHINES_PER_NODE: f64 = 50.0;

/// The nodes' weights.
#[derive(Debug, Clone)]
pub(super) struct WeightBalancer {
    leader: NodeName,
    /// Weights that were adjusted; the other nodes have their initial weights.
    adjusted: BTreeMap<NodeName, u16>,
    next_balance_at: MonotonicTime,
}

impl WeightBalancer {
    /// Initial weights, for a leader on the node `leader`.
    pub(super) fn new(leader: NodeName, now: MonotonicTime) -> Self {
        Self { leader, adjusted: BTreeMap::new(), next_balance_at: now + BALANCE_INTERVAL }
    }

    /// The weight of a node.
    pub(super) fn weight(&self, node: &NodeName) -> u16 {
        self.adjusted.get(node).copied().unwrap_or(self.initial_weight(node))
    }

    fn initial_weight(&self, node: &NodeName) -> u16 {
        if *node == self.leader { INITIAL_LEADER_WEIGHT } else { INITIAL_WEIGHT }
    }

    /// Once per [`BALANCE_INTERVAL`], lowers the weight of nodes that have far more than their share of the
    /// machines and raises that of nodes that have far less. Equal weights don't give equal shares, since
    /// zones differ in their number of machines. `nodes_of_machines`: for each machine the node that received
    /// its newest heartbeat.
    pub(super) fn balance<'a>(
        &mut self,
        live: &[LiveNode],
        nodes_of_machines: impl Iterator<Item = &'a NodeName>,
        now: MonotonicTime,
    ) {
        if now < self.next_balance_at {
            return;
        }
        self.next_balance_at = now + BALANCE_INTERVAL;
        self.adjusted.retain(|node, _| live.iter().any(|live_node| live_node.node == *node));
        let machine_counts = machine_counts(live, nodes_of_machines);
        let machines: f64 = machine_counts.values().sum();
        let initial_weights = live.iter().map(|live_node| f64::from(self.initial_weight(&live_node.node)));
        let weight_sum: f64 = initial_weights.sum();
        if machines < MIN_MACHINES_PER_NODE * live.len() as f64 || weight_sum <= 0.0 {
            return;
        }
        for (node, count) in machine_counts {
            let share = machines * f64::from(self.initial_weight(node)) / weight_sum;
            if let Some(weight) = self.adjusted_weight(node, count / share.max(1.0)) {
                self.adjusted.insert(node.clone(), weight);
            }
        }
    }

    /// The new weight of a node that has `load` times its share of the machines; `None`: no change.
    fn adjusted_weight(&self, node: &NodeName, load: f64) -> Option<u16> {
        let initial = f64::from(self.initial_weight(node));
        let weight = f64::from(self.weight(node));
        let adjusted = if load > IMBALANCE_THRESHOLD {
            (weight * ADJUSTMENT_FACTOR).max(initial / MAX_REDUCTION)
        } else if load < 1.0 / IMBALANCE_THRESHOLD {
            (weight / ADJUSTMENT_FACTOR).min(initial * MAX_INCREASE)
        } else {
            return None;
        };
        Some(adjusted.round() as u16)
    }
}

/// The number of machines of each live node.
fn machine_counts<'a, 'b>(
    live: &'a [LiveNode],
    nodes_of_machines: impl Iterator<Item = &'b NodeName>,
) -> BTreeMap<&'a NodeName, f64> {
    let mut counts: BTreeMap<&NodeName, f64> = live.iter().map(|live_node| (&live_node.node, 0.0)).collect();
    for node in nodes_of_machines {
        if let Some(count) = counts.get_mut(node) {
            *count += 1.0;
        }
    }
    counts
}
