use super::*;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}
const LEASE: Duration = Duration::from_millis(12_500);

#[test]
fn counts_workers_until_lease_expiry_and_reports_once_per_interval() {
    let mut reporter = IsolationReporter::default();
    for i in 0..5 {
        reporter.heartbeat_answered(&format!("m-{i}").as_str().into(), &"x".into(), LEASE, at_ms(i * 1_000));
    }
    reporter.heartbeat_answered(&"m-9".into(), &"y".into(), LEASE, at_ms(4_000));
    let report = reporter
        .isolation_report(FencingToken(7), at_ms(0), &"x".into(), LEASE, at_ms(5_000))
        .expect("a report is due");
    assert_eq!(report.workers_by_zone, BTreeMap::from([("x".into(), 5), ("y".into(), 1)]));
    assert_eq!(
        reporter.isolation_report(FencingToken(7), at_ms(0), &"x".into(), LEASE, at_ms(9_900)),
        None,
        "a report costs a write to the key-value store"
    );
    let report = reporter
        .isolation_report(FencingToken(7), at_ms(0), &"x".into(), LEASE, at_ms(14_800))
        .expect("a report is due");
    assert_eq!(report.workers_by_zone, BTreeMap::from([("x".into(), 2), ("y".into(), 1)]));
    let report = reporter
        .isolation_report(FencingToken(8), at_ms(4_500), &"x".into(), LEASE, at_ms(14_900))
        .expect("a report for a new leader is due at once");
    assert_eq!(
        report.workers_by_zone,
        BTreeMap::from([("x".into(), 2)]),
        "workers of other zones count only if answered since the node is isolated"
    );
}

/// Guards against a leader that can't be replaced: one that loses its connections to the workers and the other
/// nodes, but not to the key-value store, keeps its leadership lease unless it resigns.
#[test]
fn is_outnumbered_only_by_valid_reports_with_own_fencing_token() {
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
    assert!(
        !reports.is_outnumbered(|| 72, FencingToken(7), at_ms(2_000)),
        "exactly 1.25 times is not enough"
    );
    assert!(!reports.is_outnumbered(|| 10, FencingToken(8), at_ms(2_000)), "report is on another leader");
    // Reading the same revision again does not extend its validity.
    reports.update("b".into(), Revision(20), report(7, 90), at_ms(12_000));
    assert!(
        !reports.is_outnumbered(|| 10, FencingToken(7), at_ms(13_000))
            && reports.live_zones(at_ms(13_000)).is_empty()
    );
    reports.update("b".into(), Revision(31), report(7, 90), at_ms(13_500));
    assert!(reports.is_outnumbered(|| 10, FencingToken(7), at_ms(14_000)));
    // An older revision that is read later is ignored.
    reports.update("b".into(), Revision(25), report(7, 1), at_ms(14_000));
    assert!(reports.is_outnumbered(|| 10, FencingToken(7), at_ms(14_500)));
}
