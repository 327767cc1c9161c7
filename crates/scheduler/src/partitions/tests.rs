use super::*;

#[test]
fn blocks_are_disjoint_cover_all_and_follow_the_work() {
    let machines: BTreeSet<MachineId> = (0..20).map(|i| format!("m-{i}").as_str().into()).collect();
    let nodes = ["a", "b", "c"].map(NodeName::from);
    let mut partitions = Partitions::default();
    let work: BTreeMap<NodeName, u32> = nodes.iter().cloned().zip([18, 0, 0]).collect();
    partitions.cut(&machines, &work, Duration::from_secs_f64(30.0), MonotonicTime::from_millis(0));
    let sizes: Vec<usize> = nodes.iter().map(|n| partitions.get(n).map_or(0, |b| b.machines.len())).collect();
    assert_eq!(sizes.iter().sum::<usize>(), 20);
    assert!(sizes[0] >= 16, "{sizes:?}");
    let live: BTreeSet<NodeName> = nodes.iter().cloned().collect();
    assert!(
        !partitions.due(&live, MonotonicTime::from_millis(29_999))
            && partitions.due(&live, MonotonicTime::from_millis(30_000))
    );
    let live: BTreeSet<NodeName> = nodes[..2].iter().cloned().collect();
    assert!(partitions.due(&live, MonotonicTime::from_millis(1)), "cut anew as soon as a controller is away");
    partitions.give(&nodes[1], machines.iter().take(7).cloned());
    let all: usize = nodes.iter().map(|n| partitions.get(n).map_or(0, |b| b.machines.len())).sum();
    assert_eq!(all, 20, "giving keeps blocks disjoint");
}

#[test]
fn messages_survive_the_wire_and_garbage_does_not() {
    let bytes = encode(
        &"n0".into(),
        PeerMessage::Ping {
            store_reachable: true,
            fencing_token_seen: FencingToken(4),
            broadcast_seen: (FencingToken(4), 9),
            hears_workers: false,
            zones_heard: vec![("z".into(), Duration::from_millis(1200))],
        },
    );
    let back = decode(&bytes).expect("readable");
    assert!(matches!(back.message, PeerMessage::Ping { fencing_token_seen: FencingToken(4), .. }));
    assert!(decode(&bytes[..3]).is_none());
    assert!(decode(&[0xff; 40]).is_none());
}
