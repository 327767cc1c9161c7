use super::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn sizes(partitions: &Partitions, nodes: &[NodeName]) -> Vec<usize> {
    nodes.iter().map(|node| partitions.get(node).map_or(0, |partition| partition.machines.len())).collect()
}

#[test]
fn partitions_cover_all_machines_disjointly_in_proportion_to_waiting_tasks() {
    let machines: BTreeSet<MachineId> = (0..20).map(|i| format!("m-{i}").as_str().into()).collect();
    let nodes = ["a", "b", "c"].map(NodeName::from);
    let mut partitions = Partitions::default();
    let waiting_tasks: BTreeMap<NodeName, u32> = nodes.iter().cloned().zip([18, 0, 0]).collect();
    partitions.divide(&machines, &waiting_tasks, Duration::from_secs_f64(30.0), at(0));
    let divided = sizes(&partitions, &nodes);
    assert_eq!(divided.iter().sum::<usize>(), 20);
    assert!(divided[0] >= 16, "{divided:?}");

    let live: BTreeSet<NodeName> = nodes.iter().cloned().collect();
    assert!(!partitions.needs_division(&live, at(29_999)) && partitions.needs_division(&live, at(30_000)));
    let live: BTreeSet<NodeName> = nodes[..2].iter().cloned().collect();
    assert!(
        partitions.needs_division(&live, at(1)),
        "a controller that is not live any more requires a new division"
    );

    partitions.transfer(&nodes[1], machines.iter().take(7).cloned());
    let all: usize = sizes(&partitions, &nodes).iter().sum();
    assert_eq!(all, 20, "a transfer keeps partitions disjoint");
}
