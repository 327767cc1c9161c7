use super::*;

const T: fn(u64) -> MonotonicTime = MonotonicTime::from_millis;
const LEASE: Duration = Duration::from_millis(12_500);

#[test]
fn whom_a_node_answers_is_said_now_and_then_and_forgotten_with_the_lease() {
    let mut t = IsolationReporter::default();
    (0..5u64).for_each(|i| t.answered(&format!("m-{i}").as_str().into(), &"x".into(), LEASE, T(i * 1_000)));
    t.answered(&"m-9".into(), &"y".into(), LEASE, T(4_000));
    let isolation_report =
        t.isolation_report(FencingToken(7), T(0), &"x".into(), LEASE, T(5_000)).expect("due");
    assert_eq!(isolation_report.heard, BTreeMap::from([("x".into(), 5), ("y".into(), 1)]));
    assert_eq!(
        t.isolation_report(FencingToken(7), T(0), &"x".into(), LEASE, T(9_900)),
        None,
        "a change each: not more often"
    );
    let isolation_report =
        t.isolation_report(FencingToken(7), T(0), &"x".into(), LEASE, T(14_800)).expect("due");
    assert_eq!(isolation_report.heard, BTreeMap::from([("x".into(), 2), ("y".into(), 1)]));
    let isolation_report = t
        .isolation_report(FencingToken(8), T(4_500), &"x".into(), LEASE, T(14_900))
        .expect("another leader must hear it at once");
    assert_eq!(isolation_report.heard, BTreeMap::from([("x".into(), 2)]), "of others since it is apart");
}

/// A leader that had lost the workers and its peers, but not the state service, stayed for 40 s (inc-41d7).
#[test]
fn a_leader_is_outweighed_by_fresh_words_of_its_own_time_only() {
    let mut told = IsolationReports::default();
    let isolation_report = |fencing_token, n| IsolationReport {
        fencing_token: FencingToken(fencing_token),
        heard: BTreeMap::from([("x".into(), n)]),
    };
    told.learn("b".into(), Revision(20), isolation_report(7, 90), T(1_000));
    assert!(
        told.is_outnumbered(|| 10, FencingToken(7), T(2_000)) && told.alive(T(2_000)).contains(&"x".into())
    );
    assert!(!told.is_outnumbered(|| 72, FencingToken(7), T(2_000)), "hardly more");
    assert!(!told.is_outnumbered(|| 10, FencingToken(8), T(2_000)), "of another leader");
    // Read again and again, it grows old all the same.
    told.learn("b".into(), Revision(20), isolation_report(7, 90), T(12_000));
    assert!(!told.is_outnumbered(|| 10, FencingToken(7), T(13_000)) && told.alive(T(13_000)).is_empty());
    told.learn("b".into(), Revision(31), isolation_report(7, 90), T(13_500));
    assert!(told.is_outnumbered(|| 10, FencingToken(7), T(14_000)));
    // One that comes late says less than what was read before.
    told.learn("b".into(), Revision(25), isolation_report(7, 1), T(14_000));
    assert!(told.is_outnumbered(|| 10, FencingToken(7), T(14_500)));
}
