//! Assigns machines to nodes by weighted rendezvous hashing over the leader's list of nodes.
//!
//! No assignments are sent: nodes with the same list of nodes compute the same ones. When a node is added or
//! removed or its weight changes, only machines assigned to or from that node move. The leader makes the list
//! ([`Coordinator`](crate::Coordinator)), and every node looks up machines in it
//! ([`Delegate`](crate::Delegate)).

use pearford_types::{MachineId, NodeName, Zone};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Factor on the weight of a node in the machine's own zone. Workers can reach such a node even if the zone is
/// partitioned from the others, and their heartbeats don't cross zones. A higher factor would overload the
/// only node of a zone with many machines: with 8, the weights had to be lowered so far that balancing
/// oscillated between nodes.
const SAME_ZONE_FACTOR: f64 = 4.0;

/// A node to which machines may be assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWeight {
    /// The node.
    pub node: NodeName,
    /// The zone in which it runs.
    pub zone: Zone,
    /// Its share of the machines, relative to the weights of the other nodes; 0: no machines.
    pub weight: u16,
}

/// All nodes to which machines may be assigned, ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWeights(Vec<NodeWeight>);

impl NodeWeights {
    /// The list of these nodes, which may be given in any order.
    pub fn new(mut nodes: Vec<NodeWeight>) -> Self {
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        Self(nodes)
    }

    /// The nodes, ordered by name.
    pub fn nodes(&self) -> &[NodeWeight] {
        &self.0
    }

    /// The node to which a machine is assigned: the one with the highest score. `None` if no node has a
    /// weight above 0.
    pub fn assigned_node(&self, machine: &MachineId, zone: &Zone) -> Option<&NodeName> {
        let seed = xxh3_64_with_seed(machine.as_str().as_bytes(), 0);
        let candidates = self.0.iter().filter(|candidate| candidate.weight > 0);
        candidates
            .max_by(|a, b| score(a, zone, seed).total_cmp(&score(b, zone, seed)))
            .map(|candidate| &candidate.node)
    }
}

/// Score of a node for the machine in `zone` whose hash is `seed`, as in weighted rendezvous hashing.
fn score(candidate: &NodeWeight, zone: &Zone, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.node.as_str().as_bytes(), seed);
    // In the open interval (0, 1), from 53 bits: as many as an `f64` holds exactly.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let zone_factor = if candidate.zone == *zone { SAME_ZONE_FACTOR } else { 1.0 };
    f64::from(candidate.weight) * zone_factor / -uniform.ln()
}

#[cfg(test)]
mod tests;
