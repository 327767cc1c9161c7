//! Balances machines over nodes: a node that has far more than its share gets a lower weight.
//!
//! Used by the [`Coordinator`](super::Coordinator) as it makes a delegation.

use super::LiveNode;
use pearford_types::{Duration, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// Initial weight of a node.
const INITIAL_WEIGHT: u16 = 100;
/// Initial weight of the leader's node, which has scheduling and commits to do besides.
const INITIAL_LEADER_WEIGHT: u16 = 40;
/// How often weights are adjusted to the numbers of machines.
const BALANCE_INTERVAL: Duration = Duration::from_millis(10_000);
/// Factor by which a weight is lowered or, as divisor, raised at a time.
const ADJUSTMENT: f64 = 0.8;
/// A node with more than this many times its share gets a lower weight, one with less than the inverse a
/// higher one.
const IMBALANCE: f64 = 1.25;
/// A weight is lowered to the initial one divided by this at least.
const MAX_REDUCTION: f64 = 10.0;
/// A weight is raised to this many times the initial one at most.
const MAX_INCREASE: f64 = 2.0;
/// With fewer machines per node chance decides who has how many, and balancing gains nothing.
const MIN_MACHINES_PER_NODE: f64 = 50.0;

/// The nodes' weights.
#[derive(Debug, Clone)]
pub(super) struct WeightBalancer {
    leader: NodeName,
    /// Weights that differ from the initial one.
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

    /// If it is time for it, lowers the weight of nodes that have far more machines than the others, and
    /// raises it where it was lowered too far: zones differ in how many machines they have.
    /// `nodes_of_machines`: for each machine the node that received its newest heartbeat.
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

    /// The next weight of a node that has `load` times its share of the machines, if it is to change.
    fn adjusted_weight(&self, node: &NodeName, load: f64) -> Option<u16> {
        let initial = f64::from(self.initial_weight(node));
        let weight = f64::from(self.weight(node));
        let next = if load > IMBALANCE {
            (weight * ADJUSTMENT).max(initial / MAX_REDUCTION)
        } else if load < 1.0 / IMBALANCE {
            (weight / ADJUSTMENT).min(initial * MAX_INCREASE)
        } else {
            return None;
        };
        Some(next.round() as u16)
    }
}

/// How many machines each live node has.
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
