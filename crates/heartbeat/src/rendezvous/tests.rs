use super::*;
use std::collections::BTreeMap;

fn node_weights(weights: &[(&str, &str, u16)]) -> NodeWeights {
    let place = |(node, zone, weight): &(&str, &str, u16)| NodeWeight {
        node: (*node).into(),
        zone: (*zone).into(),
        weight: *weight,
    };
    NodeWeights::new(weights.iter().map(place).collect())
}

fn machines() -> Vec<(MachineId, Zone)> {
    let zone = |i: u32| Zone::from(["x", "y", "z"][i as usize % 3]);
    (0..3000).map(|i| (format!("m-{i:06}").as_str().into(), zone(i))).collect()
}

fn shares(node_weights: &NodeWeights) -> BTreeMap<NodeName, u32> {
    let mut out = BTreeMap::new();
    for (machine, zone) in machines() {
        *out.entry(node_weights.assigned_node(&machine, &zone).expect("a home").clone()).or_default() += 1;
    }
    out
}

#[test]
fn machines_live_near_and_only_a_part_moves_when_a_node_goes() {
    let all = node_weights(&[("a", "x", 100), ("b", "y", 100), ("c", "z", 100)]);
    for (node, n) in shares(&all) {
        assert!((900..1100).contains(&n), "{node}: {n}");
    }
    let near = machines().into_iter().filter(|(m, z)| {
        let home = all.assigned_node(m, z).map(NodeName::as_str);
        home == Some(match z.as_str() {
            "x" => "a",
            "y" => "b",
            _ => "c",
        })
    });
    assert!(near.count() > 1900);
    let fewer = node_weights(&[("a", "x", 100), ("c", "z", 100)]);
    for (m, z) in machines() {
        let before = all.assigned_node(&m, &z).expect("a home");
        if before.as_str() != "b" {
            assert_eq!(fewer.assigned_node(&m, &z), Some(before), "only b's move");
        }
    }
    assert_eq!(node_weights(&[("a", "x", 0)]).assigned_node(&"m".into(), &"x".into()), None);
}

#[test]
fn a_lower_weight_sheds_machines_and_moves_no_others() {
    let before = node_weights(&[("a", "x", 100), ("b", "y", 100), ("c", "z", 100)]);
    let after = node_weights(&[("a", "x", 50), ("b", "y", 100), ("c", "z", 100)]);
    assert!(shares(&after)[&NodeName::from("a")] < shares(&before)[&NodeName::from("a")]);
    for (m, z) in machines() {
        let (old, new) = (before.assigned_node(&m, &z), after.assigned_node(&m, &z));
        assert!(old == new || old.map(NodeName::as_str) == Some("a"));
    }
}
