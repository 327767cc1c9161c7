use super::*;
use crate::{NodeWeight, content_hash};
use pearford_types::WorkerEpoch;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

/// A delegation by which all machines are assigned to one node.
fn delegation(fencing_token: u64, sequence: u64, assigned_node: &str) -> Delegation {
    let node = NodeWeight { node: assigned_node.into(), zone: "z".into(), weight: 100 };
    Delegation {
        fencing_token: FencingToken(fencing_token),
        sequence,
        ready: true,
        node_weights: NodeWeights::new(vec![node]),
    }
}

/// Node `a`, which holds a delegation of leader `l` with fencing token 5 since the clock's zero.
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

/// A heartbeat of a worker that has seen `seen_token`, at a node that knows of `highest_token`.
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

/// A heartbeat where all have seen fencing token 5.
fn report(delegate: &mut Delegate, serial: u64, now: MonotonicTime) -> Routing {
    report_seen(delegate, serial, 5, 5, now)
}

/// The worker would drop the 200 and stay there while its lease runs out.
#[test]
fn a_worker_is_never_answered_with_a_lower_fencing_token_than_it_has_seen() {
    let mut delegate = Delegate::new("a".into());
    assert_eq!(report_seen(&mut delegate, 1, 0, 0, at_ms(1)), Routing::NoDelegation);
    delegate.delegation_received(&"l".into(), delegation(5, 1, "a"), at_ms(1));
    assert_eq!(report(&mut delegate, 1, at_ms(2)), Routing::Answer(FencingToken(5)));
    let seen_by_worker = report_seen(&mut delegate, 2, 6, 5, at_ms(3));
    assert_eq!(seen_by_worker, Routing::NoDelegation, "the worker has seen a later leader");
    let known_here = report_seen(&mut delegate, 2, 5, 6, at_ms(3));
    assert_eq!(known_here, Routing::NoDelegation, "this node has heard of one");
    delegate.delegation_received(&"k".into(), delegation(6, 1, "a"), at_ms(4));
    delegate.delegation_received(&"l".into(), delegation(5, 9, "a"), at_ms(5));
    assert_eq!(delegate.fencing_token(), Some(FencingToken(6)), "a late delegation changes nothing");
    assert_eq!(report_seen(&mut delegate, 3, 6, 6, at_ms(6)), Routing::Answer(FencingToken(6)));
}

/// Workers that others might reach must not stay with a node that the leader doesn't hear.
#[test]
fn by_the_leader_key_alone_only_workers_of_the_same_zone_are_answered() {
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
fn without_the_leader_a_worker_is_sent_on_once_and_answered_when_it_comes_back() {
    let mut delegate = delegate("a");
    assert_eq!(report(&mut delegate, 1, at_ms(2_900)), Routing::Answer(FencingToken(5)));
    assert_eq!(report(&mut delegate, 2, at_ms(7_000)), Routing::TryAnotherNode);
    for i in 0..20 {
        let now = at_ms(17_000 + 5_000 * i);
        let routing = report(&mut delegate, 3 + i, now);
        assert_eq!(routing, Routing::Answer(FencingToken(5)), "nobody else was there");
    }
    delegate.delegation_received(&"l".into(), delegation(5, 2, "a"), at_ms(120_000));
    let after_next_loss = report(&mut delegate, 40, at_ms(124_000));
    assert_eq!(after_next_loss, Routing::TryAnotherNode, "the leader was lost anew");
}

#[test]
fn a_worker_is_redirected_once_and_answered_here_when_its_assigned_node_does_not_answer() {
    let mut delegate = delegate("b");
    assert_eq!(report(&mut delegate, 1, at_ms(1)), Routing::Redirect("b".into()));
    assert_eq!(report(&mut delegate, 2, at_ms(2_000)), Routing::Answer(FencingToken(5)));
    delegate.delegation_received(&"l".into(), delegation(5, 2, "b"), at_ms(31_000));
    assert_eq!(report(&mut delegate, 3, at_ms(31_500)), Routing::Redirect("b".into()), "b may be back");
}

/// It was redirected shortly before all nodes lost the leader, came from its assigned node, and was taken for
/// one that had found nobody.
#[test]
fn a_worker_that_comes_from_an_assigned_node_without_the_leader_is_sent_on() {
    let mut delegate = delegate("b");
    assert_eq!(report(&mut delegate, 1, at_ms(2_000)), Routing::Redirect("b".into()));
    assert_eq!(report(&mut delegate, 3, at_ms(8_000)), Routing::TryAnotherNode);
    assert_eq!(report(&mut delegate, 4, at_ms(20_000)), Routing::Answer(FencingToken(5)));
}

#[test]
fn digests_carry_changed_heartbeats_in_full_and_the_others_by_hash() {
    let mut delegate = delegate("a");
    let report_x = |delegate: &mut Delegate, serial: u64, now: MonotonicTime| {
        let fencing_token = FencingToken(5);
        let position = HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial, fencing_token };
        report_by(delegate, "m", position, "x", 5, now)
    };
    report_x(&mut delegate, 1, at_ms(10));
    let first = delegate.next_digest(at_ms(20)).expect("something is new");
    assert_eq!(first.leader.as_str(), "l");
    assert_eq!((first.digest.full.len(), first.digest.unchanged.len()), (1, 0));
    report_x(&mut delegate, 2, at_ms(600));
    let second = delegate.next_digest(at_ms(700)).expect("due").digest;
    assert_eq!((second.full.len(), second.unchanged.len()), (0, 1));
    let unchanged = &second.unchanged[0];
    assert_eq!((unchanged.position.serial, unchanged.age), (2, Duration::from_millis(100)));
    assert_eq!(unchanged.hash, content_hash(b"x"));

    delegate.resend_requested(vec!["m".into(), "unknown".into()]);
    let resent = delegate.next_digest(at_ms(900)).expect("due").digest;
    assert_eq!(resent.full[0].content, b"x", "what the leader lacks");
    delegate.delegation_received(&"k".into(), delegation(8, 1, "a"), at_ms(1_000));
    let to_new_leader = delegate.next_digest(at_ms(1_001)).expect("at once");
    assert_eq!(to_new_leader.leader.as_str(), "k");
    assert_eq!(to_new_leader.digest.full.len(), 1, "a new leader knows nothing");
    assert_eq!(to_new_leader.digest.fencing_token, FencingToken(8));
}

#[test]
fn a_limited_number_of_workers_is_redirected_each_second() {
    let mut delegate = delegate("b");
    let mut moved = 0;
    for i in 0..1000 {
        let fencing_token = FencingToken(5);
        let position = HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial: 1, fencing_token };
        let routing = report_by(&mut delegate, &format!("m-{i}"), position, "", 5, at_ms(10));
        moved += u32::from(routing == Routing::Redirect("b".into()));
    }
    assert_eq!(moved, redirects::MAX_MOVES);
    assert_eq!(delegate.len(), 940, "the others are answered meanwhile");
}
