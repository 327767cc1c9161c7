use super::*;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

fn collection() -> HeartbeatCollection {
    HeartbeatCollection::new(Duration::from_secs_f64(5.0), Duration::from_secs_f64(31.0))
}

fn collection_with_records_at_zero() -> HeartbeatCollection {
    let mut collection = collection();
    collection.records_read(at_ms(0));
    collection
}

#[test]
fn what_a_heartbeat_could_prove_needless_waits_until_most_machines_are_heard() {
    let mut collection = collection();
    let before_records = collection.update(90, 100, at_ms(500));
    assert_eq!(before_records, None, "nothing is decided before the records are read");
    assert!(collection.allows(LeaderAction::Renew) && collection.allows(LeaderAction::Stop));
    assert!(!collection.allows(LeaderAction::Start));
    collection.records_read(at_ms(1_000));
    assert!(collection.allows(LeaderAction::Start), "on machines that are heard");
    for action in [
        LeaderAction::Preempt,
        LeaderAction::ScaleOut,
        LeaderAction::ReturnUncontacted,
        LeaderAction::ScaleIn,
    ] {
        assert!(!collection.allows(action), "{action:?}");
    }
    assert_eq!(collection.update(89, 100, at_ms(5_000)), None);
    assert_eq!(collection.update(90, 100, at_ms(5_500)), Some(FailoverPhase::Reconciling));
    assert!(collection.allows(LeaderAction::Preempt));
    assert!(
        !collection.may_return_uncontacted(at_ms(5_500)) && collection.may_return_uncontacted(at_ms(10_500))
    );
    assert_eq!(collection.update(50, 100, at_ms(6_000)), None, "new machines don't take it back");
    assert_eq!(collection.update(100, 100, at_ms(7_000)), Some(FailoverPhase::Steady));
}

/// 2,375 living machines were returned as lost half a minute after a failover, since one node alone could not
/// answer them all (four times the simulated fleet "andina", all nodes crashed for 50 s).
#[test]
fn while_few_machines_are_heard_the_collection_lasts_for_the_lease() {
    let mut collection = collection_with_records_at_zero();
    for ms in (0..31_000).step_by(500) {
        assert_eq!(collection.update(600, 1_000, at_ms(ms)), None, "at {ms}");
    }
    assert_eq!(collection.update(600, 1_000, at_ms(31_000)), Some(FailoverPhase::Steady));
}

#[test]
fn the_longer_the_collection_lasts_the_fewer_machines_are_enough() {
    let mut collection = collection_with_records_at_zero();
    assert_eq!(collection.update(800, 1_000, at_ms(7_400)), None);
    assert_eq!(collection.update(800, 1_000, at_ms(7_500)), Some(FailoverPhase::Reconciling));
    let mut collection = collection_with_records_at_zero();
    assert_eq!(collection.update(799, 1_000, at_ms(12_400)), None);
    assert_eq!(collection.update(700, 1_000, at_ms(12_500)), Some(FailoverPhase::Reconciling));
}

#[test]
fn each_phase_allows_what_earlier_phases_allow_and_the_last_one_everything() {
    use LeaderAction::*;
    let phases = [
        FailoverPhase::ReadingRecords,
        FailoverPhase::CollectingHeartbeats,
        FailoverPhase::Reconciling,
        FailoverPhase::Steady,
    ];
    for action in [Renew, Stop, Start, Preempt, ScaleOut, ReturnUncontacted, ScaleIn] {
        for pair in phases.windows(2) {
            assert!(pair[1].allows(action) || !pair[0].allows(action), "{action:?} at {pair:?}");
        }
        assert!(FailoverPhase::Steady.allows(action));
    }
}
