use super::*;

fn won() -> Election {
    let mut s = Election::new("n0".into(), Duration::from_millis(4000), Duration::from_millis(1000));
    let t = MonotonicTime::from_millis;
    assert!(s.tick(t(10), true, Duration::from_millis(0)).is_none(), "somebody leads");
    s.tick(t(10), false, Duration::from_millis(0)).expect("looks");
    let (_, next) = s.reply(t(20), StoreReply::Missing { store_revision: 1 });
    assert!(matches!(next, Some(StoreRequest::GrantLease { .. })));
    s.reply(t(900), StoreReply::LeaseGranted(LeaseId(7)));
    let (change, _) = s.reply(t(1800), StoreReply::Committed { store_revision: 41 });
    assert_eq!(change, ElectionChange::Won(FencingToken(41)));
    s
}

#[test]
fn the_lease_counts_from_when_the_request_was_sent() {
    let mut s = won();
    assert!(s.valid(MonotonicTime::from_millis(3900)));
    assert!(!s.valid(MonotonicTime::from_millis(3999)), "granted at 20 at the earliest, for 4 s");
    s.tick(MonotonicTime::from_millis(2000), false, Duration::from_millis(0)).expect("renews");
    s.reply(MonotonicTime::from_millis(5000), StoreReply::LeaseRenewed);
    assert!(s.valid(MonotonicTime::from_millis(5900)) && !s.valid(MonotonicTime::from_millis(6000)));
    assert!(s.leads(), "holding");
    s.tick(MonotonicTime::from_millis(6100), false, Duration::from_millis(0)).expect("goes on trying");
    assert_eq!(s.reply(MonotonicTime::from_millis(6200), StoreReply::LeaseExpired).0, ElectionChange::Lost);
    assert!(!s.leads());
}

/// With all nodes crashing every few seconds nobody led for 20 s: each new run waited for its own old grant.
#[test]
fn a_new_run_takes_the_key_of_the_run_before_and_nobody_elses() {
    let key = |node: &str| Pair {
        key: LEADER_KEY.into(),
        value: format!(r#"{{"node":"{node}","permit":3}}"#),
        revision: Revision(12),
    };
    let t = MonotonicTime::from_millis;
    let mut s = Election::new("n0".into(), Duration::from_millis(4000), Duration::from_millis(1000));
    s.tick(t(10), false, Duration::from_millis(0)).expect("looks");
    assert_eq!(s.reply(t(20), StoreReply::Found(key("n1"))).1, None);
    s.tick(t(900), false, Duration::from_millis(0)).expect("looks again");
    assert!(matches!(s.reply(t(910), StoreReply::Found(key("n0"))).1, Some(StoreRequest::GrantLease { .. })));
    let (_, next) = s.reply(t(920), StoreReply::LeaseGranted(LeaseId(7)));
    let Some(StoreRequest::Commit { conditions, .. }) = next else { panic!("it takes the key") };
    assert_eq!(conditions, [(LEADER_KEY.to_string(), Revision(12))], "if it is still that one");
    assert_eq!(
        s.reply(t(930), StoreReply::Committed { store_revision: 41 }).0,
        ElectionChange::Won(FencingToken(41))
    );
    // Once it has led, its name in the key says nothing: it may have given the lead up itself.
    s.step_down(t(2000));
    s.tick(t(3000), false, Duration::from_millis(0)).expect("looks");
    assert_eq!(s.reply(t(3010), StoreReply::Found(key("n0"))).1, None);
}

/// One that had resigned didn't look for 20 s, and answered no worker in the next leader's name meanwhile: on its
/// side of a cut they died with their leases (seed 922).
#[test]
fn a_leader_that_resigned_reads_who_leads_and_does_not_campaign() {
    let (mut s, t) = (won(), MonotonicTime::from_millis);
    s.back_off(t(3_000), Duration::from_millis(20_000));
    s.tick(t(3_600), false, Duration::from_millis(0)).expect("looks");
    assert_eq!(s.reply(t(3_610), StoreReply::Missing { store_revision: 50 }).1, None, "stands aside");
    s.tick(t(4_600), false, Duration::from_millis(0)).expect("looks again");
    let key =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n1","permit":9}"#.into(), revision: Revision(52) };
    s.reply(t(4_610), StoreReply::Found(key));
    assert_eq!(
        s.other_leader(Duration::from_millis(3_000), t(5_000)),
        Some((&"n1".into(), FencingToken(52)))
    );
    s.tick(t(23_100), false, Duration::from_millis(0)).expect("looks");
    assert!(s.reply(t(23_110), StoreReply::Missing { store_revision: 60 }).1.is_some(), "stands again");
}

#[test]
fn a_lost_answer_to_the_claim_is_looked_up() {
    let mut s = Election::new("n0".into(), Duration::from_millis(4000), Duration::from_millis(1000));
    s.tick(MonotonicTime::from_millis(1), false, Duration::from_millis(0));
    s.reply(MonotonicTime::from_millis(2), StoreReply::Missing { store_revision: 1 });
    s.reply(MonotonicTime::from_millis(3), StoreReply::LeaseGranted(LeaseId(7)));
    s.reply(MonotonicTime::from_millis(4), StoreReply::Unknown);
    assert!(!s.leads());
    s.tick(MonotonicTime::from_millis(900), false, Duration::from_millis(0)).expect("checks");
    let theirs =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n0","permit":6}"#.into(), revision: Revision(3) };
    let mut other = Election {
        state: s.state,
        ..Election::new("n0".into(), Duration::from_millis(4000), Duration::from_millis(1000))
    };
    assert_eq!(
        other.reply(MonotonicTime::from_millis(901), StoreReply::Found(theirs)).0,
        ElectionChange::Unchanged
    );
    let mine =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n0","permit":7}"#.into(), revision: Revision(5) };
    assert_eq!(
        s.reply(MonotonicTime::from_millis(901), StoreReply::Found(mine)).0,
        ElectionChange::Won(FencingToken(5))
    );
}
