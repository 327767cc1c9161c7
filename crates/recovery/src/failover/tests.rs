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
fn preemption_scaling_and_machine_returns_wait_for_heartbeats_of_most_machines() {
    let mut collection = collection();
    let before_records = collection.update(90, 100, at_ms(500));
    assert_eq!(before_records, None, "the phase doesn't change before the records are read");
    assert!(collection.allows(LeaderAction::Renew) && collection.allows(LeaderAction::Stop));
    assert!(!collection.allows(LeaderAction::Start));
    collection.records_read(at_ms(1_000));
    assert!(collection.allows(LeaderAction::Start), "starts are allowed while heartbeats are collected");
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
    assert_eq!(
        collection.update(50, 100, at_ms(6_000)),
        None,
        "more expected machines don't revert the phase"
    );
    assert_eq!(collection.update(100, 100, at_ms(7_000)), Some(FailoverPhase::Steady));
}

/// Guards against returning live machines as lost. At four times the machines, after all nodes had been down
/// for 50 s, a single node could not answer all heartbeats: half a minute after the failover it returned
/// 2,375 live machines.
#[test]
fn collection_lasts_until_lease_expiry_while_few_machines_have_sent_heartbeats() {
    let mut collection = collection_with_records_at_zero();
    for ms in (0..31_000).step_by(500) {
        assert_eq!(collection.update(600, 1_000, at_ms(ms)), None, "at {ms}");
    }
    assert_eq!(collection.update(600, 1_000, at_ms(31_000)), Some(FailoverPhase::Steady));
}

#[test]
fn required_share_of_machines_decreases_with_time() {
    let mut collection = collection_with_records_at_zero();
    assert_eq!(collection.update(800, 1_000, at_ms(7_400)), None);
    assert_eq!(collection.update(800, 1_000, at_ms(7_500)), Some(FailoverPhase::Reconciling));
    let mut collection = collection_with_records_at_zero();
    assert_eq!(collection.update(799, 1_000, at_ms(12_400)), None);
    assert_eq!(collection.update(700, 1_000, at_ms(12_500)), Some(FailoverPhase::Reconciling));
}

#[test]
fn later_phases_allow_all_actions_of_earlier_ones() {
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
