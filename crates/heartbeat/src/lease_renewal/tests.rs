use super::*;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}
const TOKEN: FencingToken = FencingToken(7);

/// Lease renewal of a node whose last read of the job records was started at 1000 s.
fn with_read_at_1000_s() -> LeaseRenewal {
    let mut renewal = LeaseRenewal::new(RenewalBounds::with_answer_window(Duration::from_millis(26_000)));
    renewal.records_read(at_ms(1_000_000), at_ms(1_001_500));
    renewal
}

#[test]
fn counts_read_age_from_start_of_read_and_renews_nothing_without_read() {
    let mut renewal = LeaseRenewal::new(RenewalBounds::with_answer_window(Duration::from_millis(26_000)));
    assert!(
        !renewal.may_renew(at_ms(1_000)) && !renewal.leader_may_renew(false, at_ms(1_000)),
        "no read has succeeded yet"
    );
    renewal.records_read(at_ms(2_000), at_ms(9_000));
    renewal.records_read(at_ms(1_000), at_ms(9_500));
    assert!(renewal.may_renew(at_ms(27_999)) && !renewal.may_renew(at_ms(28_000)));
}

/// Guards against a task that starts after the cancellation deadline: a start that is delayed for longer than
/// `cancel_s` may arrive in a worker epoch whose lease other nodes kept renewing while the key-value store was
/// unreachable.
#[test]
fn does_not_renew_without_key_value_store_if_start_may_still_arrive() {
    let mut renewal = with_read_at_1000_s();
    let machine = MachineId::from("m-1");
    renewal.unacknowledged_starts_received(
        UnacknowledgedStarts::new(TOKEN, 3, vec![machine.clone()], Vec::new()),
        at_ms(1_000_500),
    );
    assert!(
        renewal.delegate_may_renew(&machine, TOKEN, true, at_ms(1_002_999))
            && renewal.leader_may_renew(true, at_ms(1_002_999))
    );
    assert!(
        !renewal.delegate_may_renew(&machine, TOKEN, true, at_ms(1_003_000))
            && !renewal.leader_may_renew(true, at_ms(1_003_000))
    );
    assert!(renewal.leader_may_renew(false, at_ms(1_025_999)), "leases of other machines are renewed");
    let other = MachineId::from("m-2");
    assert!(renewal.delegate_may_renew(&other, TOKEN, true, at_ms(1_021_000)));
    // After its last announcement the leader may have sent starts for jobs that were cancelled up to
    // `max_age_for_starts` before it.
    assert!(!renewal.delegate_may_renew(&other, TOKEN, true, at_ms(1_021_500)));
    // An older announcement is ignored. For a leader without an announcement, leases are renewed only if its
    // version may not support announcements.
    renewal.unacknowledged_starts_received(
        UnacknowledgedStarts::new(TOKEN, 2, Vec::new(), Vec::new()),
        at_ms(1_006_000),
    );
    assert!(!renewal.delegate_may_renew(&machine, TOKEN, true, at_ms(1_007_000)));
    assert!(!renewal.delegate_may_renew(&other, FencingToken(8), true, at_ms(1_007_000)));
    assert!(renewal.delegate_may_renew(&other, FencingToken(8), false, at_ms(1_007_000)));
}

#[test]
fn respects_never_renew_and_treats_overlong_list_as_all_machines() {
    let mut renewal = with_read_at_1000_s();
    let machine = MachineId::from("m-1");
    renewal.unacknowledged_starts_received(
        UnacknowledgedStarts::new(TOKEN, 1, vec![machine.clone()], vec![machine.clone()]),
        at_ms(1_000_500),
    );
    assert!(!renewal.delegate_may_renew(&machine, TOKEN, true, at_ms(1_001_000)));
    let many = (0..300).map(|i| format!("m-{i}").as_str().into()).collect();
    renewal.unacknowledged_starts_received(
        UnacknowledgedStarts::new(TOKEN, 2, many, Vec::new()),
        at_ms(1_001_000),
    );
    assert!(renewal.delegate_may_renew(&machine, TOKEN, true, at_ms(1_002_000)));
    assert!(!renewal.delegate_may_renew(&"m-900".into(), TOKEN, true, at_ms(1_006_000)));
}
