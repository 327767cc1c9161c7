use super::*;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}
const TOKEN: FencingToken = FencingToken(7);

fn with_read_at_1000_s() -> LeaseRenewal {
    let mut renewal = LeaseRenewal::new(RenewalBounds::with_answer_window(Duration::from_millis(26_000)));
    renewal.records_read(at_ms(1_000_000), at_ms(1_001_500));
    renewal
}

#[test]
fn a_read_counts_from_when_it_was_begun_and_without_one_nothing_is_renewed() {
    let mut renewal = LeaseRenewal::new(RenewalBounds::with_answer_window(Duration::from_millis(26_000)));
    assert!(
        !renewal.may_renew(at_ms(1_000)) && !renewal.leader_may_renew(false, at_ms(1_000)),
        "just started"
    );
    renewal.records_read(at_ms(2_000), at_ms(9_000));
    renewal.records_read(at_ms(1_000), at_ms(9_500));
    assert!(renewal.may_renew(at_ms(27_999)) && !renewal.may_renew(at_ms(28_000)));
}

/// A start was held up for longer than `cancel_s` and reached a worker epoch that other nodes had kept alive
/// without the key-value store: its job had been cancelled all that time (13 of 300 seeds).
#[test]
fn where_a_start_may_arrive_leases_are_not_renewed_without_the_key_value_store() {
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
    assert!(renewal.leader_may_renew(false, at_ms(1_025_999)), "other machines are renewed");
    let other = MachineId::from("m-2");
    assert!(renewal.delegate_may_renew(&other, TOKEN, true, at_ms(1_021_000)));
    // Since the leader's last announcement starts may have left, for jobs cancelled up to `fresh` before it.
    assert!(!renewal.delegate_may_renew(&other, TOKEN, true, at_ms(1_021_500)));
    // An older announcement changes nothing. A leader that has announced nothing is trusted only if its
    // version can't.
    renewal.unacknowledged_starts_received(
        UnacknowledgedStarts::new(TOKEN, 2, Vec::new(), Vec::new()),
        at_ms(1_006_000),
    );
    assert!(!renewal.delegate_may_renew(&machine, TOKEN, true, at_ms(1_007_000)));
    assert!(!renewal.delegate_may_renew(&other, FencingToken(8), true, at_ms(1_007_000)));
    assert!(renewal.delegate_may_renew(&other, FencingToken(8), false, at_ms(1_007_000)));
}

#[test]
fn machines_never_to_be_renewed_are_not_and_too_many_to_name_means_all_machines() {
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
