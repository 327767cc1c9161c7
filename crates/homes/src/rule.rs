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
pub struct Place {
    pub node: NodeName,
    pub zone: Zone,
    /// How much it is to get, beside the others' weights. 0: nothing.
    pub weight: u16,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes(Vec<Place>);

impl Homes {
    pub fn new(mut places: Vec<Place>) -> Self {
        places.sort_by(|a, b| a.node.cmp(&b.node));
        Self(places)
    }

    pub fn places(&self) -> &[Place] {
        &self.0
    }

    /// The home of a machine; none if there is no node.
    pub fn home_of(&self, machine: &MachineId, zone: &Zone) -> Option<&NodeName> {
        let key = xxh3_64_with_seed(machine.as_str().as_bytes(), 0);
        let score = |place: &Place| {
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
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn homes(weights: &[(&str, &str, u16)]) -> Homes {
        let place = |(node, zone, weight): &(&str, &str, u16)| Place {
            node: (*node).into(),
            zone: (*zone).into(),
            weight: *weight,
        };
        Homes::new(weights.iter().map(place).collect())
    }

    fn machines() -> Vec<(MachineId, Zone)> {
        let zone = |i: u32| Zone::from(["x", "y", "z"][i as usize % 3]);
        (0..3000).map(|i| (format!("m-{i:06}").as_str().into(), zone(i))).collect()
    }

    fn shares(homes: &Homes) -> BTreeMap<NodeName, u32> {
        let mut out = BTreeMap::new();
        for (machine, zone) in machines() {
            *out.entry(homes.home_of(&machine, &zone).expect("a home").clone()).or_default() += 1;
        }
        out
    }

    #[test]
    fn machines_live_near_and_only_a_part_moves_when_a_node_goes() {
        let all = homes(&[("a", "x", 100), ("b", "y", 100), ("c", "z", 100)]);
        for (node, n) in shares(&all) {
            assert!((900..1100).contains(&n), "{node}: {n}");
        }
        let near = machines().into_iter().filter(|(m, z)| {
            let home = all.home_of(m, z).map(NodeName::as_str);
            home == Some(match z.as_str() {
                "x" => "a",
                "y" => "b",
                _ => "c",
            })
        });
        assert!(near.count() > 1900);
        let fewer = homes(&[("a", "x", 100), ("c", "z", 100)]);
        for (m, z) in machines() {
            let before = all.home_of(&m, &z).expect("a home");
            if before.as_str() != "b" {
                assert_eq!(fewer.home_of(&m, &z), Some(before), "only b's move");
            }
        }
        assert_eq!(homes(&[("a", "x", 0)]).home_of(&"m".into(), &"x".into()), None);
    }

    #[test]
    fn a_lower_weight_sheds_machines_and_moves_no_others() {
        let before = homes(&[("a", "x", 100), ("b", "y", 100), ("c", "z", 100)]);
        let after = homes(&[("a", "x", 50), ("b", "y", 100), ("c", "z", 100)]);
        assert!(shares(&after)[&NodeName::from("a")] < shares(&before)[&NodeName::from("a")]);
        for (m, z) in machines() {
            let (old, new) = (before.home_of(&m, &z), after.home_of(&m, &z));
            assert!(old == new || old.map(NodeName::as_str) == Some("a"));
        }
    }
}
