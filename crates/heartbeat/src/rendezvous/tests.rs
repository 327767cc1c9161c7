use super::*;
use std::collections::BTreeMap;

fn node_weights(weights: &[(&str, &str, u16)]) -> NodeWeights {
    let weighted = |(node, zone, weight): &(&str, &str, u16)| NodeWeight {
        node: (*node).into(),
        zone: (*zone).into(),
        weight: *weight,
    };
    NodeWeights::new(weights.iter().map(weighted).collect())
}

fn machines() -> Vec<(MachineId, Zone)> {
    let zone = |i: u32| Zone::from(["x", "y", "z"][i as usize % 3]);
    (0..3000).map(|i| (format!("m-{i:06}").as_str().into(), zone(i))).collect()
}

fn shares(node_weights: &NodeWeights) -> BTreeMap<NodeName, u32> {
    let mut shares = BTreeMap::new();
    for (machine, zone) in machines() {
        let node = node_weights.assigned_node(&machine, &zone).expect("some node has a weight");
        *shares.entry(node.clone()).or_default() += 1;
    }
    shares
}

#[test]
fn prefers_nodes_of_same_zone_and_moves_only_machines_of_removed_node() {
    let all = node_weights(&[("a", "x", 100), ("b", "y", 100), ("c", "z", 100)]);
    for (node, count) in shares(&all) {
        assert!((900..1100).contains(&count), "{node}: {count}");
    }
    let in_own_zone = machines().into_iter().filter(|(machine, zone)| {
        let assigned = all.assigned_node(machine, zone).map(NodeName::as_str);
        assigned
            == Some(match zone.as_str() {
                "x" => "a",
                "y" => "b",
                _ => "c",
            })
    });
    assert!(in_own_zone.count() > 1900);
    let fewer = node_weights(&[("a", "x", 100), ("c", "z", 100)]);
    for (machine, zone) in machines() {
        let before = all.assigned_node(&machine, &zone).expect("some node has a weight");
        if before.as_str() != "b" {
            assert_eq!(fewer.assigned_node(&machine, &zone), Some(before), "only b's machines move");
        }
    }
    assert_eq!(node_weights(&[("a", "x", 0)]).assigned_node(&"m".into(), &"x".into()), None);
}

#[test]
fn lower_weight_moves_only_machines_of_that_node() {
    let before = node_weights(&[("a", "x", 100), ("b", "y", 100), ("c", "z", 100)]);
    let after = node_weights(&[("a", "x", 50), ("b", "y", 100), ("c", "z", 100)]);
    assert!(shares(&after)[&NodeName::from("a")] < shares(&before)[&NodeName::from("a")]);
    for (machine, zone) in machines() {
        let old = before.assigned_node(&machine, &zone);
        let new = after.assigned_node(&machine, &zone);
        assert!(old == new || old.map(NodeName::as_str) == Some("a"));
    }
}
