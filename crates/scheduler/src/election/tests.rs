use super::*;

const NO_JITTER: Duration = Duration::from_millis(0);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn idle() -> Election {
    Election::new("n0".into(), Duration::from_millis(4000), Duration::from_millis(1000))
}

fn won() -> Election {
    let mut election = idle();
    assert!(election.tick(at(10), true, NO_JITTER).is_none(), "another node leads");
    election.tick(at(10), false, NO_JITTER).expect("reads the key");
    let next = election.reply(at(20), StoreReply::Missing { store_revision: 1 }).next_request;
    assert!(matches!(next, Some(StoreRequest::GrantLease { .. })));
    election.reply(at(900), StoreReply::LeaseGranted(LeaseId(7)));
    let change = election.reply(at(1800), StoreReply::Committed { store_revision: 41 }).change;
    assert_eq!(change, ElectionChange::Won(FencingToken(41)));
    election
}

#[test]
fn the_lease_counts_from_when_the_request_was_sent() {
    let mut election = won();
    assert!(election.valid(at(3900)));
    assert!(!election.valid(at(3999)), "requested at 20, for 4 s");
    election.tick(at(2000), false, NO_JITTER).expect("renews");
    election.reply(at(5000), StoreReply::LeaseRenewed);
    assert!(election.valid(at(5900)) && !election.valid(at(6000)));
    assert!(election.leads(), "leads without a valid lease until the store says it has expired");
    election.tick(at(6100), false, NO_JITTER).expect("goes on trying");
    assert_eq!(election.reply(at(6200), StoreReply::LeaseExpired).change, ElectionChange::Lost);
    assert!(!election.leads());
}

/// With all nodes crashing every few seconds nobody led for 20 s: each new run waited for the
/// lease of its own previous run.
#[test]
fn a_new_run_replaces_the_key_of_its_previous_run_and_of_no_other_node() {
    let key = |node: &str| Pair {
        key: LEADER_KEY.into(),
        value: format!(r#"{{"node":"{node}","permit":3}}"#),
        revision: Revision(12),
    };
    let mut election = idle();
    election.tick(at(10), false, NO_JITTER).expect("reads the key");
    assert_eq!(election.reply(at(20), StoreReply::Found(key("n1"))).next_request, None);
    election.tick(at(900), false, NO_JITTER).expect("reads the key again");
    assert!(matches!(
        election.reply(at(910), StoreReply::Found(key("n0"))).next_request,
        Some(StoreRequest::GrantLease { .. })
    ));
    let next = election.reply(at(920), StoreReply::LeaseGranted(LeaseId(7))).next_request;
    let Some(StoreRequest::Commit { conditions, .. }) = next else { panic!("it takes the key") };
    assert_eq!(conditions, [(LEADER_KEY.to_string(), Revision(12))], "if it is still that one");
    assert_eq!(
        election.reply(at(930), StoreReply::Committed { store_revision: 41 }).change,
        ElectionChange::Won(FencingToken(41))
    );
    // Once it has led, its name in the key proves nothing: it may have given up leadership itself.
    election.step_down(at(2000));
    election.tick(at(3000), false, NO_JITTER).expect("reads the key");
    assert_eq!(election.reply(at(3010), StoreReply::Found(key("n0"))).next_request, None);
}

/// A leader that had resigned didn't read the key for 20 s, and answered no worker in the next leader's name
/// meanwhile: on its side of a network partition workers stopped when their leases expired (seed 922).
#[test]
fn a_leader_that_resigned_reads_who_leads_and_does_not_campaign() {
    let mut election = won();
    election.back_off(at(3_000), Duration::from_millis(20_000));
    election.tick(at(3_600), false, NO_JITTER).expect("reads the key");
    assert_eq!(
        election.reply(at(3_610), StoreReply::Missing { store_revision: 50 }).next_request,
        None,
        "does not campaign"
    );
    election.tick(at(4_600), false, NO_JITTER).expect("reads the key again");
    let key =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n1","permit":9}"#.into(), revision: Revision(52) };
    election.reply(at(4_610), StoreReply::Found(key));
    let leader = election.other_leader(Duration::from_millis(3_000), at(5_000)).expect("it was read lately");
    assert_eq!(leader.node, "n1".into());
    assert_eq!(leader.fencing_token, FencingToken(52));
    election.tick(at(23_100), false, NO_JITTER).expect("reads the key");
    assert!(
        election.reply(at(23_110), StoreReply::Missing { store_revision: 60 }).next_request.is_some(),
        "campaigns again"
    );
}

#[test]
fn a_write_of_the_key_without_an_answer_is_verified() {
    let mut election = idle();
    election.tick(at(1), false, NO_JITTER);
    election.reply(at(2), StoreReply::Missing { store_revision: 1 });
    election.reply(at(3), StoreReply::LeaseGranted(LeaseId(7)));
    election.reply(at(4), StoreReply::Unknown);
    assert!(!election.leads());
    election.tick(at(900), false, NO_JITTER).expect("reads the key to verify");
    let theirs =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n0","permit":6}"#.into(), revision: Revision(3) };
    let mut other = Election { state: election.state, ..idle() };
    assert_eq!(other.reply(at(901), StoreReply::Found(theirs)).change, ElectionChange::Unchanged);
    let mine =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n0","permit":7}"#.into(), revision: Revision(5) };
    assert_eq!(election.reply(at(901), StoreReply::Found(mine)).change, ElectionChange::Won(FencingToken(5)));
}
