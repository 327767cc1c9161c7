use super::*;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}
const LEASE: Duration = Duration::from_millis(12_500);

#[test]
fn a_report_counts_answered_workers_until_their_leases_expire_and_comes_at_most_every_interval() {
    let mut reporter = IsolationReporter::default();
    for i in 0..5 {
        reporter.heartbeat_answered(&format!("m-{i}").as_str().into(), &"x".into(), LEASE, at_ms(i * 1_000));
    }
    reporter.heartbeat_answered(&"m-9".into(), &"y".into(), LEASE, at_ms(4_000));
    let report =
        reporter.isolation_report(FencingToken(7), at_ms(0), &"x".into(), LEASE, at_ms(5_000)).expect("due");
    assert_eq!(report.workers_by_zone, BTreeMap::from([("x".into(), 5), ("y".into(), 1)]));
    assert_eq!(
        reporter.isolation_report(FencingToken(7), at_ms(0), &"x".into(), LEASE, at_ms(9_900)),
        None,
        "each report is a write: not more often"
    );
    let report =
        reporter.isolation_report(FencingToken(7), at_ms(0), &"x".into(), LEASE, at_ms(14_800)).expect("due");
    assert_eq!(report.workers_by_zone, BTreeMap::from([("x".into(), 2), ("y".into(), 1)]));
    let report = reporter
        .isolation_report(FencingToken(8), at_ms(4_500), &"x".into(), LEASE, at_ms(14_900))
        .expect("another leader must learn it at once");
    assert_eq!(
        report.workers_by_zone,
        BTreeMap::from([("x".into(), 2)]),
        "of other zones only since it is isolated"
    );
}

/// A leader that had lost the workers and its peers, but not the key-value store, stayed for 40 s (incident
/// inc-41d7).
#[test]
fn a_leader_is_outnumbered_by_recent_reports_that_name_it_only() {
    let mut reports = IsolationReports::default();
    let report = |fencing_token, workers| IsolationReport {
        fencing_token: FencingToken(fencing_token),
        workers_by_zone: BTreeMap::from([("x".into(), workers)]),
    };
    reports.update("b".into(), Revision(20), report(7, 90), at_ms(1_000));
    assert!(
        reports.is_outnumbered(|| 10, FencingToken(7), at_ms(2_000))
            && reports.live_zones(at_ms(2_000)).contains(&"x".into())
    );
    assert!(!reports.is_outnumbered(|| 72, FencingToken(7), at_ms(2_000)), "hardly more");
    assert!(!reports.is_outnumbered(|| 10, FencingToken(8), at_ms(2_000)), "names another leader");
    // Reading the same revision again does not make it younger.
    reports.update("b".into(), Revision(20), report(7, 90), at_ms(12_000));
    assert!(
        !reports.is_outnumbered(|| 10, FencingToken(7), at_ms(13_000))
            && reports.live_zones(at_ms(13_000)).is_empty()
    );
    reports.update("b".into(), Revision(31), report(7, 90), at_ms(13_500));
    assert!(reports.is_outnumbered(|| 10, FencingToken(7), at_ms(14_000)));
    // An older revision that is read late changes nothing.
    reports.update("b".into(), Revision(25), report(7, 1), at_ms(14_000));
    assert!(reports.is_outnumbered(|| 10, FencingToken(7), at_ms(14_500)));
}
