use super::*;

const T: fn(u64) -> MonotonicTime = MonotonicTime::from_millis;
const F: FencingToken = FencingToken(7);

fn held() -> LeaseRenewal {
    let mut r = LeaseRenewal::new(Bounds::of(Duration::from_millis(26_000)));
    r.records_read(T(1_000_000), T(1_001_500));
    r
}

#[test]
fn a_look_counts_from_its_beginning_and_none_counts_for_nothing() {
    let mut r = LeaseRenewal::new(Bounds::of(Duration::from_millis(26_000)));
    assert!(!r.allows(T(1_000)) && !r.leader_may_renew(false, T(1_000)), "just started");
    r.records_read(T(2_000), T(9_000));
    r.records_read(T(1_000), T(9_500));
    assert!(r.allows(T(27_999)) && !r.allows(T(28_000)));
}

/// A start was held up for longer than `cancel_s` and reached a session that other nodes had kept alive without the
/// state service: its job had been cancelled all that time (13 of 300 seeds).
#[test]
fn where_a_start_may_arrive_leases_end_with_the_state_service() {
    let (mut r, m) = (held(), MachineId::from("m-1"));
    r.unacknowledged_starts_received(
        UnacknowledgedStarts::new(F, 3, vec![m.clone()], Vec::new()),
        T(1_000_500),
    );
    assert!(r.delegate_may_renew(&m, F, true, T(1_002_999)) && r.leader_may_renew(true, T(1_002_999)));
    assert!(!r.delegate_may_renew(&m, F, true, T(1_003_000)) && !r.leader_may_renew(true, T(1_003_000)));
    assert!(r.leader_may_renew(false, T(1_025_999)), "others live on");
    let other = MachineId::from("m-2");
    assert!(r.delegate_may_renew(&other, F, true, T(1_021_000)));
    // Later starts may have left, up to the leader's last word and `fresh` before it.
    assert!(!r.delegate_may_renew(&other, F, true, T(1_021_500)));
    // A word from before changes nothing, a leader that has told nothing is not trusted, unless it can't tell.
    r.unacknowledged_starts_received(UnacknowledgedStarts::new(F, 2, Vec::new(), Vec::new()), T(1_006_000));
    assert!(!r.delegate_may_renew(&m, F, true, T(1_007_000)));
    assert!(!r.delegate_may_renew(&other, FencingToken(8), true, T(1_007_000)));
    assert!(r.delegate_may_renew(&other, FencingToken(8), false, T(1_007_000)));
}

#[test]
fn a_machine_that_is_returned_for_a_doubt_is_not_renewed_and_too_many_doubts_are_doubts_of_all() {
    let (mut r, m) = (held(), MachineId::from("m-1"));
    r.unacknowledged_starts_received(
        UnacknowledgedStarts::new(F, 1, vec![m.clone()], vec![m.clone()]),
        T(1_000_500),
    );
    assert!(!r.delegate_may_renew(&m, F, true, T(1_001_000)));
    let many = (0..300).map(|i| format!("m-{i}").as_str().into()).collect();
    r.unacknowledged_starts_received(UnacknowledgedStarts::new(F, 2, many, Vec::new()), T(1_001_000));
    assert!(r.delegate_may_renew(&m, F, true, T(1_002_000)));
    assert!(!r.delegate_may_renew(&"m-900".into(), F, true, T(1_006_000)));
}
