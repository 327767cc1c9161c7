use super::*;
use pearford_types::WorkerEpoch;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

fn position(serial: u64) -> HeartbeatPosition {
    HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial, fencing_token: FencingToken(7) }
}

fn live_nodes() -> [LiveNode; 3] {
    let live_node = |node: &str, zone: &str| LiveNode { node: node.into(), zone: zone.into() };
    [live_node("l", "x"), live_node("a", "y"), live_node("b", "z")]
}

/// The leader `l` with the nodes `a` and `b`, and its first delegation, sent at 1 s.
fn coordinator() -> (Coordinator, Delegation) {
    let mut coordinator = Coordinator::new("l".into(), FencingToken(7), at_ms(1_000));
    let delegation = coordinator.delegation(&live_nodes(), true, at_ms(1_000)).expect("a delegation is due");
    (coordinator, delegation)
}

fn full(serial: u64, content: &str) -> FullHeartbeat {
    FullHeartbeat {
        machine: "m".into(),
        position: position(serial),
        age: Duration::from_millis(0),
        content: content.as_bytes().to_vec(),
    }
}

fn unchanged(serial: u64, content: &str) -> UnchangedHeartbeat {
    UnchangedHeartbeat {
        machine: "m".into(),
        position: position(serial),
        age: Duration::from_millis(0),
        hash: content_hash(content.as_bytes()),
    }
}

fn digest(full: Vec<FullHeartbeat>, unchanged: Vec<UnchangedHeartbeat>) -> HeartbeatDigest {
    HeartbeatDigest { fencing_token: FencingToken(7), sequence: 1, full, unchanged }
}

fn empty_digest(sequence: u64) -> HeartbeatDigest {
    HeartbeatDigest { sequence, ..digest(vec![], vec![]) }
}

/// A worker reports to node a, then with other content to node b, then to a again with the first content,
/// which a reports as unchanged. If the leader used the content that b reported, it would conclude that
/// running tasks are gone.
#[test]
fn accepts_unchanged_heartbeat_only_if_same_content_is_known() {
    let (mut coordinator, _) = coordinator();
    let a = NodeName::from("a");
    let b = NodeName::from("b");
    let runs_x = digest(vec![full(1, "runs x")], vec![]);
    assert_eq!(coordinator.digest_received(&a, runs_x, at_ms(1_100)).len(), 1);
    let runs_nothing = digest(vec![full(2, "nothing")], vec![]);
    assert_eq!(coordinator.digest_received(&b, runs_nothing.clone(), at_ms(1_200)).len(), 1);
    let runs_x_unchanged = digest(vec![], vec![unchanged(3, "runs x")]);
    assert!(coordinator.digest_received(&a, runs_x_unchanged, at_ms(1_300)).is_empty());
    let resend = ResendRequest { node: a.clone(), machines: vec!["m".into()] };
    assert_eq!(coordinator.take_resend_requests(), [resend]);

    let resent = digest(vec![full(3, "runs x")], vec![]);
    let received = coordinator.digest_received(&a, resent, at_ms(1_400));
    assert!(received[0].content_changed);
    assert_eq!(coordinator.known_heartbeat(&"m".into()).expect("machine m is known").content, b"runs x");
    let runs_x_unchanged = digest(vec![], vec![unchanged(4, "runs x")]);
    let received = coordinator.digest_received(&a, runs_x_unchanged.clone(), at_ms(1_500));
    assert!(!received[0].content_changed && received[0].position.serial == 4);

    let received = coordinator.digest_received(&b, runs_nothing, at_ms(1_600));
    assert!(received.is_empty(), "its heartbeat is older than the known one");
    let received = coordinator.digest_received(&a, runs_x_unchanged, at_ms(1_700));
    assert!(received.is_empty(), "a repeated digest has nothing new");
    assert!(coordinator.take_resend_requests().is_empty());
    let for_other_leader =
        HeartbeatDigest { fencing_token: FencingToken(6), ..digest(vec![full(9, "")], vec![]) };
    let received = coordinator.digest_received(&a, for_other_leader, at_ms(1_800));
    assert!(received.is_empty(), "the digest is for another leader");
}

/// After a network partition has delayed a digest by a minute, the ages in it suggest that its machines
/// reported just now.
#[test]
fn bounds_heartbeat_time_of_delayed_digest_by_its_delegation() {
    let (mut coordinator, _) = coordinator();
    let delayed = digest(vec![full(1, "x")], vec![]);
    let received = coordinator.digest_received(&"a".into(), delayed, at_ms(60_000));
    assert!(received[0].received_at <= at_ms(1_000) + MAX_DIGEST_DELAY);
    let of_unknown_delegation = HeartbeatDigest { sequence: 0, ..digest(vec![full(2, "x")], vec![]) };
    assert!(coordinator.digest_received(&"a".into(), of_unknown_delegation, at_ms(60_000)).is_empty());
}

#[test]
fn routes_commands_through_responsive_node_or_else_directly() {
    let (mut coordinator, _) = coordinator();
    let machine = MachineId::from("m");
    let a = NodeName::from("a");
    let b = NodeName::from("b");
    coordinator.digest_received(&a, digest(vec![full(1, "x")], vec![]), at_ms(1_100));
    assert_eq!(coordinator.route(&machine, at_ms(1_200)), Some(&a));
    assert_eq!(coordinator.route(&machine, at_ms(4_000)), None, "a has sent no recent digest");
    assert_eq!(
        coordinator.alternative_route(&machine, at_ms(1_200)),
        None,
        "the alternative to the route through a is direct"
    );
    coordinator.digest_received(&b, empty_digest(1), at_ms(4_000));
    assert_eq!(coordinator.alternative_route(&machine, at_ms(4_000)), Some(&b));
    coordinator.digest_received(&b, empty_digest(1), at_ms(5_000));
    assert_eq!(
        coordinator.alternative_route(&machine, at_ms(5_000)),
        None,
        "b sends digests, but receives no delegations"
    );
    coordinator.heartbeat_received_here(&machine, position(2), b"x".to_vec());
    assert_eq!(
        coordinator.alternative_route(&machine, at_ms(1_200)),
        Some(&a),
        "the leader may have lost its connection to the machine"
    );
    assert_eq!(coordinator.route(&machine, at_ms(1_200)), None);
    assert_eq!(coordinator.route(&"unknown".into(), at_ms(1_200)), None);
}

/// Guards against machines that no command reaches: a node that receives neither commands nor delegations may
/// keep sending digests under an outdated delegation. It must not keep its share of the machines.
#[test]
fn assigns_no_machines_to_node_that_receives_no_delegations() {
    let (mut coordinator, _) = coordinator();
    let have_weight = |delegation: &Delegation| {
        delegation.node_weights.nodes().iter().map(|node| node.weight > 0).collect::<Vec<_>>()
    };
    let mut last = Vec::new();
    for second in 2..10 {
        for (node, sequence) in [("a", second - 1), ("b", 1)] {
            coordinator.digest_received(&node.into(), empty_digest(sequence), at_ms(second * 1_000 - 100));
        }
        let delegation =
            coordinator.delegation(&live_nodes(), true, at_ms(second * 1_000)).expect("a delegation is due");
        last = have_weight(&delegation);
        assert!(second > 4 || last == [true; 3], "b is not unresponsive before the timeout");
    }
    assert_eq!(last, [true, false, true], "of a, b and l only b has no weight");
    coordinator.digest_received(&"b".into(), empty_digest(9), at_ms(9_900));
    let delegation = coordinator.delegation(&live_nodes(), true, at_ms(10_000)).expect("a delegation is due");
    assert_eq!(have_weight(&delegation), [true; 3]);
}

#[test]
fn lowers_weight_of_node_with_far_more_than_its_share() {
    let (mut coordinator, first) = coordinator();
    let weight = |delegation: &Delegation, node: &str| {
        let mut nodes = delegation.node_weights.nodes().iter();
        nodes.find(|weighted| weighted.node.as_str() == node).expect("node has a weight").weight
    };
    for i in 0..400 {
        let machine = MachineId::from(format!("m-{i}").as_str());
        let node = if i < 380 { "a" } else { "b" };
        let heartbeats = vec![FullHeartbeat { machine, ..full(1, "x") }];
        coordinator.digest_received(&node.into(), digest(heartbeats, vec![]), at_ms(1_100));
    }
    for second in 2..12 {
        coordinator.delegation(&live_nodes(), true, at_ms(second * 1_000));
        for node in ["a", "b"] {
            coordinator.digest_received(&node.into(), empty_digest(second), at_ms(second * 1_000 + 500));
        }
    }
    let later = coordinator.delegation(&live_nodes(), true, at_ms(12_000)).expect("a delegation is due");
    assert!(weight(&later, "a") < weight(&first, "a") && weight(&later, "b") > weight(&first, "b"));
}
