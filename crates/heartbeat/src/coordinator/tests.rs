use super::*;
use crate::messages::UnchangedHeartbeat;
use pearford_types::WorkerEpoch;

const T: fn(u64) -> MonotonicTime = MonotonicTime::from_millis;

fn position(serial: u64) -> HeartbeatPosition {
    HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial, fencing_token: FencingToken(7) }
}

fn coordinator() -> (Coordinator, Delegation) {
    let mut coordinator = Coordinator::new("l".into(), FencingToken(7), T(1_000));
    let live = [("l".into(), "x".into()), ("a".into(), "y".into()), ("b".into(), "z".into())];
    let delegation = coordinator.delegation(&live, true, T(1_000)).expect("due");
    (coordinator, delegation)
}

fn full(serial: u64, content: &str) -> FullHeartbeat {
    let (age, content) = (Duration::from_millis(0), content.as_bytes().to_vec());
    FullHeartbeat { machine: "m".into(), at: position(serial), age, content }
}

fn same(serial: u64, content: &str) -> UnchangedHeartbeat {
    let hash = content_hash(content.as_bytes());
    UnchangedHeartbeat { machine: "m".into(), at: position(serial), age: Duration::from_millis(0), hash }
}

fn digest(full: Vec<FullHeartbeat>, same: Vec<UnchangedHeartbeat>) -> HeartbeatDigest {
    HeartbeatDigest { fencing_token: FencingToken(7), sequence: 1, full, same }
}

/// A machine moved from a to b, said something else there, and came back to a, to which it says what it had
/// said there before: taken for what it said to b, that would prove tasks gone that run.
#[test]
fn the_same_as_before_is_taken_only_for_content_that_is_known() {
    let (mut coordinator, _) = coordinator();
    let (a, b): (NodeName, NodeName) = ("a".into(), "b".into());
    assert_eq!(coordinator.digest(&a, digest(vec![full(1, "runs x")], vec![]), T(1_100)).len(), 1);
    assert_eq!(coordinator.digest(&b, digest(vec![full(2, "nothing")], vec![]), T(1_200)).len(), 1);
    assert!(coordinator.digest(&a, digest(vec![], vec![same(3, "runs x")]), T(1_300)).is_empty());
    assert_eq!(coordinator.take_missing(), [(a.clone(), vec!["m".into()])]);
    let heard = coordinator.digest(&a, digest(vec![full(3, "runs x")], vec![]), T(1_400));
    assert!(heard[0].new && coordinator.known(&"m".into()).expect("known").content == b"runs x");
    let heard = coordinator.digest(&a, digest(vec![], vec![same(4, "runs x")]), T(1_500));
    assert!(!heard[0].new && heard[0].at.serial == 4);
    // Overtaken and repeated ones say nothing.
    assert!(coordinator.digest(&b, digest(vec![full(2, "nothing")], vec![]), T(1_600)).is_empty());
    assert!(coordinator.digest(&a, digest(vec![], vec![same(4, "runs x")]), T(1_700)).is_empty());
    assert!(coordinator.take_missing().is_empty());
    // Nor do those to another leader.
    let other = HeartbeatDigest { fencing_token: FencingToken(6), ..digest(vec![full(9, "")], vec![]) };
    assert!(coordinator.digest(&a, other, T(1_800)).is_empty());
}

/// Held back by a cut for a minute, a digest says that its machines were heard just now.
#[test]
fn a_digest_that_was_held_back_does_not_make_its_machines_look_alive() {
    let (mut coordinator, _) = coordinator();
    let heard = coordinator.digest(&"a".into(), digest(vec![full(1, "x")], vec![]), T(60_000));
    assert!(heard[0].heard <= T(1_000) + SLACK);
    // One whose beat is not even remembered says nothing.
    let old = HeartbeatDigest { sequence: 0, ..digest(vec![full(2, "x")], vec![]) };
    assert!(coordinator.digest(&"a".into(), old, T(60_000)).is_empty());
}

#[test]
fn orders_go_through_a_node_that_is_heard_and_else_straight() {
    let (mut coordinator, _) = coordinator();
    coordinator.digest(&"a".into(), digest(vec![full(1, "x")], vec![]), T(1_100));
    assert_eq!(coordinator.route(&"m".into(), T(1_200)), Some(&"a".into()));
    assert_eq!(coordinator.route(&"m".into(), T(4_000)), None, "a is silent");
    assert_eq!(coordinator.detour(&"m".into(), T(1_200)), None, "straight, for once");
    coordinator.digest(&"b".into(), digest(vec![], vec![]), T(4_000));
    assert_eq!(coordinator.detour(&"m".into(), T(4_000)), Some(&"b".into()));
    coordinator.digest(&"b".into(), digest(vec![], vec![]), T(5_000));
    assert_eq!(coordinator.detour(&"m".into(), T(5_000)), None, "b is heard, and hears nothing");
    coordinator.heartbeat_received_here(&"m".into(), position(2), b"x".to_vec());
    assert_eq!(coordinator.detour(&"m".into(), T(1_200)), Some(&"a".into()), "this node may have lost it");
    assert_eq!(coordinator.route(&"m".into(), T(1_200)), None);
    assert_eq!(coordinator.route(&"unheard".into(), T(1_200)), None);
}

/// Its digests came, under a delegation long past: it was home to a third of all machines, and no order and
/// no delegation reached it.
#[test]
fn a_node_that_hears_nothing_is_home_to_none_until_it_does() {
    let (mut coordinator, _) = coordinator();
    let live = [("l".into(), "x".into()), ("a".into(), "y".into()), ("b".into(), "z".into())];
    let weights = |d: &Delegation| d.node_weights.places().iter().map(|p| p.weight > 0).collect::<Vec<_>>();
    let mut last = Vec::new();
    for second in 2..10 {
        for (node, sequence) in [("a", second - 1), ("b", 1)] {
            let told = HeartbeatDigest { sequence, ..digest(vec![], vec![]) };
            coordinator.digest(&node.into(), told, T(second * 1_000 - 100));
        }
        last = weights(&coordinator.delegation(&live, true, T(second * 1_000)).expect("due"));
        assert!(second > 4 || last == [true; 3], "it has some time");
    }
    assert_eq!(last, [true, false, true], "a, b, l");
    coordinator.digest(&"b".into(), HeartbeatDigest { sequence: 9, ..digest(vec![], vec![]) }, T(9_900));
    assert_eq!(weights(&coordinator.delegation(&live, true, T(10_000)).expect("due")), [true; 3]);
}

#[test]
fn a_node_with_far_more_than_its_share_gets_a_lower_weight() {
    let (mut coordinator, first) = coordinator();
    let live = [("l".into(), "x".into()), ("a".into(), "y".into()), ("b".into(), "z".into())];
    let weight = |d: &Delegation, node: &str| {
        d.node_weights.places().iter().find(|p| p.node.as_str() == node).expect("there").weight
    };
    for i in 0..400 {
        let machine = MachineId::from(format!("m-{i}").as_str());
        let all = vec![FullHeartbeat { machine, ..full(1, "x") }];
        coordinator.digest(&if i < 380 { "a" } else { "b" }.into(), digest(all, vec![]), T(1_100));
    }
    for second in 2..12 {
        coordinator.delegation(&live, true, T(second * 1_000));
        for node in ["a", "b"] {
            let told = HeartbeatDigest { sequence: second, ..digest(vec![], vec![]) };
            coordinator.digest(&node.into(), told, T(second * 1_000 + 500));
        }
    }
    let later = coordinator.delegation(&live, true, T(12_000)).expect("due");
    assert!(weight(&later, "a") < weight(&first, "a") && weight(&later, "b") > weight(&first, "b"));
}
