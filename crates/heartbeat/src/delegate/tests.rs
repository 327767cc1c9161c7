use super::*;
use crate::NodeWeight;
use pearford_types::WorkerEpoch;

fn delegation(fencing_token: u64, sequence: u64, home: &str) -> Delegation {
    let place = NodeWeight { node: home.into(), zone: "z".into(), weight: 100 };
    Delegation {
        fencing_token: FencingToken(fencing_token),
        sequence,
        ready: true,
        node_weights: NodeWeights::new(vec![place]),
    }
}

fn report(
    d: &mut Delegate,
    serial: u64,
    fencing_token: u64,
    content: &str,
    top: u64,
    now: MonotonicTime,
) -> Routing {
    let at = HeartbeatPosition {
        worker_epoch: WorkerEpoch(1),
        serial,
        fencing_token: FencingToken(fencing_token),
    };
    let (machine, zone) = ("m".into(), "z".into());
    let heartbeat =
        IncomingHeartbeat { machine: &machine, zone: &zone, at, content: content.as_bytes().to_vec() };
    d.heartbeat_received(heartbeat, FencingToken(top), true, now)
}

const T: fn(u64) -> MonotonicTime = MonotonicTime::from_millis;

/// The worker would drop the 200 and stay there while its lease runs out.
#[test]
fn a_worker_is_never_answered_by_a_lower_fencing_token_than_it_has_seen() {
    let mut d = Delegate::new("a".into());
    assert_eq!(report(&mut d, 1, 0, "", 0, T(1)), Routing::NoDelegation);
    d.delegation_received(&"l".into(), delegation(5, 1, "a"), T(1));
    assert_eq!(report(&mut d, 1, 5, "", 5, T(2)), Routing::Answer(FencingToken(5)));
    assert_eq!(
        report(&mut d, 2, 6, "", 5, T(3)),
        Routing::NoDelegation,
        "the worker has seen a later leader"
    );
    assert_eq!(report(&mut d, 2, 5, "", 6, T(3)), Routing::NoDelegation, "this node has heard of one");
    d.delegation_received(&"k".into(), delegation(6, 1, "a"), T(4));
    d.delegation_received(&"l".into(), delegation(5, 9, "a"), T(5));
    assert_eq!(d.fencing_token(), Some(FencingToken(6)), "held for long and late: changes nothing");
    assert_eq!(report(&mut d, 3, 6, "", 6, T(6)), Routing::Answer(FencingToken(6)));
}

/// What others might reach must not stay with a node that the leader doesn't hear.
#[test]
fn by_the_leader_key_alone_only_workers_of_the_same_zone_are_answered() {
    let mut d = Delegate::new("a".into());
    d.delegation_inferred(&"l".into(), FencingToken(5), &"z".into(), T(9_000));
    assert_eq!(report(&mut d, 1, 5, "", 5, T(9_100)), Routing::TryAnotherNode);
    assert_eq!(report(&mut d, 2, 5, "", 5, T(13_000)), Routing::Answer(FencingToken(5)));
    let mut d = Delegate::new("a".into());
    d.delegation_inferred(&"l".into(), FencingToken(5), &"y".into(), T(9_000));
    for serial in 1..5 {
        assert_eq!(report(&mut d, serial, 5, "", 5, T(9_000 + 4_000 * serial)), Routing::NoDelegation);
    }
    d.delegation_received(&"l".into(), delegation(5, 1, "a"), T(30_000));
    assert_eq!(report(&mut d, 6, 5, "", 5, T(30_100)), Routing::Answer(FencingToken(5)));
}

#[test]
fn without_the_leader_a_worker_is_sent_on_once_and_answered_when_it_comes_back() {
    let mut d = Delegate::new("a".into());
    d.delegation_received(&"l".into(), delegation(5, 1, "a"), T(0));
    assert_eq!(report(&mut d, 1, 5, "", 5, T(2_900)), Routing::Answer(FencingToken(5)));
    assert_eq!(report(&mut d, 2, 5, "", 5, T(7_000)), Routing::TryAnotherNode);
    for k in 0..20 {
        let now = T(17_000 + 5_000 * k);
        assert_eq!(
            report(&mut d, 3 + k, 5, "", 5, now),
            Routing::Answer(FencingToken(5)),
            "nobody else was there"
        );
    }
    d.delegation_received(&"l".into(), delegation(5, 2, "a"), T(120_000));
    assert_eq!(report(&mut d, 40, 5, "", 5, T(124_000)), Routing::TryAnotherNode, "a new episode");
}

#[test]
fn a_worker_is_sent_home_and_answered_here_when_its_home_does_not_answer() {
    let mut d = Delegate::new("a".into());
    d.delegation_received(&"l".into(), delegation(5, 1, "b"), T(0));
    assert_eq!(report(&mut d, 1, 5, "", 5, T(1)), Routing::Redirect("b".into()));
    assert_eq!(report(&mut d, 2, 5, "", 5, T(2_000)), Routing::Answer(FencingToken(5)));
    d.delegation_received(&"l".into(), delegation(5, 2, "b"), T(31_000));
    assert_eq!(report(&mut d, 3, 5, "", 5, T(31_500)), Routing::Redirect("b".into()), "b may be back");
}

/// It was sent home shortly before all nodes lost the leader, came from there, and was taken for one that
/// had found nobody.
#[test]
fn a_worker_that_comes_from_a_home_without_the_leader_is_sent_on() {
    let mut d = Delegate::new("a".into());
    d.delegation_received(&"l".into(), delegation(5, 1, "b"), T(0));
    assert_eq!(report(&mut d, 1, 5, "", 5, T(2_000)), Routing::Redirect("b".into()));
    assert_eq!(report(&mut d, 3, 5, "", 5, T(8_000)), Routing::TryAnotherNode);
    assert_eq!(report(&mut d, 4, 5, "", 5, T(20_000)), Routing::Answer(FencingToken(5)));
}

#[test]
fn digests_tell_changes_in_full_and_the_rest_by_hash() {
    let mut d = Delegate::new("a".into());
    d.delegation_received(&"l".into(), delegation(5, 1, "a"), T(0));
    report(&mut d, 1, 5, "x", 5, T(10));
    let (to, first) = d.digest(T(20)).expect("something is new");
    assert_eq!((to.as_str(), first.full.len(), first.same.len()), ("l", 1, 0));
    report(&mut d, 2, 5, "x", 5, T(600));
    let (_, second) = d.digest(T(700)).expect("due");
    assert_eq!((second.full.len(), second.same.len()), (0, 1));
    assert_eq!((second.same[0].at.serial, second.same[0].age), (2, Duration::from_millis(100)));
    assert_eq!(second.same[0].hash, content_hash(b"x"));
    // What the leader lacks, and what a new leader doesn't know, is told in full.
    d.resend_requested(vec!["m".into(), "unknown".into()]);
    assert_eq!(d.digest(T(900)).expect("due").1.full[0].content, b"x");
    d.delegation_received(&"k".into(), delegation(8, 1, "a"), T(1_000));
    let (to, all) = d.digest(T(1_001)).expect("at once");
    assert_eq!((to.as_str(), all.full.len(), all.fencing_token), ("k", 1, FencingToken(8)));
}

#[test]
fn moves_are_a_few_at_a_time() {
    let mut d = Delegate::new("a".into());
    d.delegation_received(&"l".into(), delegation(5, 1, "b"), T(0));
    let mut moved = 0;
    for i in 0..1000u64 {
        let (machine, zone) = (format!("m-{i}").as_str().into(), "z".into());
        let at =
            HeartbeatPosition { worker_epoch: WorkerEpoch(1), serial: 1, fencing_token: FencingToken(5) };
        let heartbeat = IncomingHeartbeat { machine: &machine, zone: &zone, at, content: Vec::new() };
        moved += u32::from(
            d.heartbeat_received(heartbeat, FencingToken(5), true, T(10)) == Routing::Redirect("b".into()),
        );
    }
    assert_eq!(moved, MOVES_A_SECOND);
    assert_eq!(d.len(), 940, "the others are answered meanwhile");
}
