//! Assigns machines to nodes by weighted rendezvous hashing over the leader's list of nodes.
//!
//! No list of machines is sent: all nodes that have the same list of nodes agree. When a node comes, goes or
//! gets another weight, only machines assigned to or from that node move. The leader makes the list
//! ([`Coordinator`](crate::Coordinator)), and every node looks machines up in it
//! ([`Delegate`](crate::Delegate)).

use pearford_types::{MachineId, NodeName, Zone};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Factor on the weight of a node in the machine's own zone: its workers reach it when the zone is cut off,
/// and their heartbeats don't cross zones. With a higher factor a zone with many machines and one node would
/// overload that node: with 8, weights had to go down so far that balancing swung from one node to the other.
const SAME_ZONE_FACTOR: f64 = 4.0;

/// A node that machines may be assigned to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWeight {
    /// The node.
    pub node: NodeName,
    /// The zone that it runs in.
    pub zone: Zone,
    /// How many machines it gets, relative to the weights of the others; 0: none.
    pub weight: u16,
}

/// All nodes that machines may be assigned to, ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWeights(Vec<NodeWeight>);

impl NodeWeights {
    /// The list of these nodes, in whichever order they come.
    pub fn new(mut nodes: Vec<NodeWeight>) -> Self {
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        Self(nodes)
    }

    /// The nodes, ordered by name.
    pub fn nodes(&self) -> &[NodeWeight] {
        &self.0
    }

    /// The node that a machine is assigned to: the one with the highest score. `None` if no node has a
    /// weight.
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
