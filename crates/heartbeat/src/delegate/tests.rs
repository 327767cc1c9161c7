use super::*;
use crate::{NodeWeight, content_hash};
use pearford_types::WorkerEpoch;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

/// A delegation that assigns all machines to one node.
fn delegation(fencing_token: u64, sequence: u64, assigned_node: &str) -> Delegation {
    let node = NodeWeight { node: assigned_node.into(), zone: "z".into(), weight: 100 };
    Delegation {
        fencing_token: FencingToken(fencing_token),
        sequence,
        ready: true,
        node_weights: NodeWeights::new(vec![node]),
    }
}

/// The delegate of node `a`, which received a delegation of leader `l` with fencing token 5 at time 0.
fn delegate(assigned_node: &str) -> Delegate {
    let mut delegate = Delegate::new("a".into());
    delegate.delegation_received(&"l".into(), delegation(5, 1, assigned_node), at_ms(0));
    delegate
}

fn report_by(
    delegate: &mut Delegate,
    machine: &str,
    position: HeartbeatPosition,
    content: &str,
    highest_token: u64,
    now: MonotonicTime,
) -> Routing {
    let heartbeat = IncomingHeartbeat {
        machine: &machine.into(),
        zone: &"z".into(),
        position,
        content: content.as_bytes().to_vec(),
    };
    delegate.heartbeat_received(heartbeat, FencingToken(highest_token), true, now)
}

/// A heartbeat of a worker that has seen `seen_token`, received by a node that knows `highest_token`.
fn report_seen(
    delegate: &mut Delegate,
    serial: u64,
    seen_token: u64,
    highest_token: u64,
    now: MonotonicTime,
) -> Routing {
    let fencing_token = FencingToken(seen_token);
    let position = HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial, fencing_token };
    report_by(delegate, "m", position, "", highest_token, now)
}

/// A heartbeat where both the worker and the node know fencing token 5.
fn report(delegate: &mut Delegate, serial: u64, now: MonotonicTime) -> Routing {
    report_seen(delegate, serial, 5, 5, now)
}

/// A worker ignores a 200 with a lower fencing token than it has seen, but keeps reporting to the same node
/// until its lease expires.
#[test]
fn never_answers_with_lower_fencing_token_than_worker_has_seen() {
    let mut delegate = Delegate::new("a".into());
    assert_eq!(report_seen(&mut delegate, 1, 0, 0, at_ms(1)), Routing::NoDelegation);
    delegate.delegation_received(&"l".into(), delegation(5, 1, "a"), at_ms(1));
    assert_eq!(report(&mut delegate, 1, at_ms(2)), Routing::Answer(FencingToken(5)));
    let seen_by_worker = report_seen(&mut delegate, 2, 6, 5, at_ms(3));
    assert_eq!(seen_by_worker, Routing::NoDelegation, "the worker has seen a newer leader");
    let known_here = report_seen(&mut delegate, 2, 5, 6, at_ms(3));
    assert_eq!(known_here, Routing::NoDelegation, "this node knows a newer leader");
    delegate.delegation_received(&"k".into(), delegation(6, 1, "a"), at_ms(4));
    delegate.delegation_received(&"l".into(), delegation(5, 9, "a"), at_ms(5));
    assert_eq!(delegate.fencing_token(), Some(FencingToken(6)), "an older leader's delegation is ignored");
    assert_eq!(report_seen(&mut delegate, 3, 6, 6, at_ms(6)), Routing::Answer(FencingToken(6)));
}

/// Workers that could reach other nodes must not stay with a node that can't reach the leader.
#[test]
fn answers_only_workers_of_own_zone_under_inferred_delegation() {
    let mut delegate = Delegate::new("a".into());
    delegate.delegation_inferred(&"l".into(), FencingToken(5), &"z".into(), at_ms(9_000));
    assert_eq!(report(&mut delegate, 1, at_ms(9_100)), Routing::TryAnotherNode);
    assert_eq!(report(&mut delegate, 2, at_ms(13_000)), Routing::Answer(FencingToken(5)));
    let mut delegate = Delegate::new("a".into());
    delegate.delegation_inferred(&"l".into(), FencingToken(5), &"y".into(), at_ms(9_000));
    for serial in 1..5 {
        let now = at_ms(9_000 + 4_000 * serial);
        assert_eq!(report(&mut delegate, serial, now), Routing::NoDelegation);
    }
    delegate.delegation_received(&"l".into(), delegation(5, 1, "a"), at_ms(30_000));
    assert_eq!(report(&mut delegate, 6, at_ms(30_100)), Routing::Answer(FencingToken(5)));
}

#[test]
fn without_leader_redirects_worker_once_and_answers_it_when_it_returns() {
    let mut delegate = delegate("a");
    assert_eq!(report(&mut delegate, 1, at_ms(2_900)), Routing::Answer(FencingToken(5)));
    assert_eq!(report(&mut delegate, 2, at_ms(7_000)), Routing::TryAnotherNode);
    for i in 0..20 {
        let now = at_ms(17_000 + 5_000 * i);
        let routing = report(&mut delegate, 3 + i, now);
        assert_eq!(routing, Routing::Answer(FencingToken(5)), "no other node answered the worker");
    }
    delegate.delegation_received(&"l".into(), delegation(5, 2, "a"), at_ms(120_000));
    let after_next_loss = report(&mut delegate, 40, at_ms(124_000));
    assert_eq!(after_next_loss, Routing::TryAnotherNode, "the leader became unreachable again");
}

#[test]
fn redirects_worker_once_and_answers_it_if_assigned_node_does_not() {
    let mut delegate = delegate("b");
    assert_eq!(report(&mut delegate, 1, at_ms(1)), Routing::Redirect("b".into()));
    assert_eq!(report(&mut delegate, 2, at_ms(2_000)), Routing::Answer(FencingToken(5)));
    delegate.delegation_received(&"l".into(), delegation(5, 2, "b"), at_ms(31_000));
    assert_eq!(report(&mut delegate, 3, at_ms(31_500)), Routing::Redirect("b".into()), "b may respond again");
}

/// A worker was redirected to its assigned node shortly before all nodes lost the leader, and the assigned
/// node redirected it in turn. When it returned, this node wrongly concluded that no other node had answered.
#[test]
fn redirects_worker_that_returns_from_assigned_node_without_leader() {
    let mut delegate = delegate("b");
    assert_eq!(report(&mut delegate, 1, at_ms(2_000)), Routing::Redirect("b".into()));
    assert_eq!(report(&mut delegate, 3, at_ms(8_000)), Routing::TryAnotherNode);
    assert_eq!(report(&mut delegate, 4, at_ms(20_000)), Routing::Answer(FencingToken(5)));
}

#[test]
fn digests_contain_changed_heartbeats_in_full_and_others_by_hash() {
    let mut delegate = delegate("a");
    let report_x = |delegate: &mut Delegate, serial: u64, now: MonotonicTime| {
        let fencing_token = FencingToken(5);
        let position = HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial, fencing_token };
        report_by(delegate, "m", position, "x", 5, now)
    };
    report_x(&mut delegate, 1, at_ms(10));
    let first = delegate.next_digest(at_ms(20)).expect("a digest is due");
    assert_eq!(first.leader.as_str(), "l");
    assert_eq!((first.digest.full.len(), first.digest.unchanged.len()), (1, 0));
    report_x(&mut delegate, 2, at_ms(600));
    let second = delegate.next_digest(at_ms(700)).expect("a digest is due").digest;
    assert_eq!((second.full.len(), second.unchanged.len()), (0, 1));
    let unchanged = &second.unchanged[0];
    assert_eq!((unchanged.position.serial, unchanged.age), (2, Duration::from_millis(100)));
    assert_eq!(unchanged.hash, content_hash(b"x"));

    delegate.resend_requested(vec!["m".into(), "unknown".into()]);
    let resent = delegate.next_digest(at_ms(900)).expect("a digest is due").digest;
    assert_eq!(resent.full[0].content, b"x", "the leader has requested the content");
    delegate.delegation_received(&"k".into(), delegation(8, 1, "a"), at_ms(1_000));
    let to_new_leader = delegate.next_digest(at_ms(1_001)).expect("a digest to a new leader is due at once");
    assert_eq!(to_new_leader.leader.as_str(), "k");
    assert_eq!(to_new_leader.digest.full.len(), 1, "a new leader has no heartbeats");
    assert_eq!(to_new_leader.digest.fencing_token, FencingToken(8));
}

#[test]
fn limits_redirects_to_assigned_nodes_per_second() {
    let mut delegate = delegate("b");
    let mut moved = 0;
    for i in 0..1000 {
        let fencing_token = FencingToken(5);
        let position = HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial: 1, fencing_token };
        let routing = report_by(&mut delegate, &format!("m-{i}"), position, "", 5, at_ms(10));
        moved += u32::from(routing == Routing::Redirect("b".into()));
    }
    assert_eq!(moved, redirects::MAX_MOVES);
    assert_eq!(delegate.len(), 940, "the other workers are answered here");
}
