//! The rule that tells a machine's home: weighted rendezvous hashing over the leader's list of nodes. No list
//! of machines has to be told, all nodes with the same list agree, and when a node comes, goes or gets another
//! weight, only machines to or from that node move.

use pearford_types::{MachineId, NodeName, Zone};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node in its own zone counts as this many: its workers reach it when the zone is cut off, and their reports
/// don't cross zones. Not more, or a zone with many machines and one node would swamp it: with 8, weights had to
/// go so far down that balancing swung from one node to the other.
const NEAR: f64 = 4.0;

/// A node that may be a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWeight {
    pub node: NodeName,
    pub zone: Zone,
    /// How much it is to get, beside the others' weights. 0: nothing.
    pub weight: u16,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWeights(Vec<NodeWeight>);

impl NodeWeights {
    pub fn new(mut places: Vec<NodeWeight>) -> Self {
        places.sort_by(|a, b| a.node.cmp(&b.node));
        Self(places)
    }

    pub fn places(&self) -> &[NodeWeight] {
        &self.0
    }

    /// The home of a machine; none if there is no node.
    pub fn assigned_node(&self, machine: &MachineId, zone: &Zone) -> Option<&NodeName> {
        let key = xxh3_64_with_seed(machine.as_str().as_bytes(), 0);
        let score = |place: &NodeWeight| {
            let hash = xxh3_64_with_seed(place.node.as_str().as_bytes(), key);
            // In (0, 1): of 53 bits, as many as the number holds.
            let u = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
            let near = if place.zone == *zone { NEAR } else { 1.0 };
            f64::from(place.weight) * near / -u.ln()
        };
        let able = self.0.iter().filter(|p| p.weight > 0);
        able.max_by(|a, b| score(a).total_cmp(&score(b))).map(|p| &p.node)
    }
}

#[cfg(test)]
mod tests;
