use super::*;

const NO_JITTER: Duration = Duration::from_millis(0);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn idle_election() -> Election {
    Election::new("n0".into(), Duration::from_millis(4000), Duration::from_millis(1000))
}

fn won_election() -> Election {
    let mut election = idle_election();
    assert!(election.tick(at(10), true, NO_JITTER).is_none(), "no campaign while another node is leader");
    election.tick(at(10), false, NO_JITTER).expect("reads the key");
    let next = election.reply(at(20), StoreReply::Missing { store_revision: 1 }).next_request;
    assert!(matches!(next, Some(StoreRequest::GrantLease { .. })));
    election.reply(at(900), StoreReply::LeaseGranted(LeaseId(7)));
    let change = election.reply(at(1800), StoreReply::Committed { store_revision: 41 }).change;
    assert_eq!(change, ElectionChange::Won(FencingToken(41)));
    election
}

#[test]
fn lease_starts_when_its_request_was_sent() {
    let mut election = won_election();
    assert!(election.has_valid_lease(at(3900)));
    assert!(!election.has_valid_lease(at(3999)), "requested at 20, for 4 s");
    election.tick(at(2000), false, NO_JITTER).expect("renews");
    election.reply(at(5000), StoreReply::LeaseRenewed);
    assert!(election.has_valid_lease(at(5900)) && !election.has_valid_lease(at(6000)));
    assert!(
        election.is_leader(),
        "is leader without a valid lease until the store reports that it has expired"
    );
    election.tick(at(6100), false, NO_JITTER).expect("continues to renew");
    assert_eq!(election.reply(at(6200), StoreReply::LeaseExpired).change, ElectionChange::Lost);
    assert!(!election.is_leader());
}

/// If a restarted node waits until the lease of its own previous run expires, the service has no leader for
/// 20 s while all nodes crash every few seconds.
#[test]
fn restarted_node_replaces_only_the_leader_key_of_its_previous_run() {
    let key = |node: &str| Pair {
        key: LEADER_KEY.into(),
        value: format!(r#"{{"node":"{node}","permit":3}}"#),
        revision: Revision(12),
    };
    let mut election = idle_election();
    election.tick(at(10), false, NO_JITTER).expect("reads the key");
    assert_eq!(election.reply(at(20), StoreReply::Found(key("n1"))).next_request, None);
    election.tick(at(900), false, NO_JITTER).expect("reads the key again");
    assert!(matches!(
        election.reply(at(910), StoreReply::Found(key("n0"))).next_request,
        Some(StoreRequest::GrantLease { .. })
    ));
    let next = election.reply(at(920), StoreReply::LeaseGranted(LeaseId(7))).next_request;
    let Some(StoreRequest::Commit { conditions, .. }) = next else {
        panic!("expected a commit of the leader key")
    };
    assert_eq!(
        conditions,
        [(LEADER_KEY.to_string(), Revision(12))],
        "conditional on the revision that was read"
    );
    assert_eq!(
        election.reply(at(930), StoreReply::Committed { store_revision: 41 }).change,
        ElectionChange::Won(FencingToken(41))
    );
    // After it has been leader, its name in the key doesn't prove that a previous run wrote it: the node may
    // have stepped down.
    election.step_down(at(2000));
    election.tick(at(3000), false, NO_JITTER).expect("reads the key");
    assert_eq!(election.reply(at(3010), StoreReply::Found(key("n0"))).next_request, None);
}

/// If a leader that resigned doesn't read the leader key during its pause of 20 s, it answers no worker on
/// the next leader's behalf. On its side of a network partition, workers then stop when their leases expire.
#[test]
fn resigned_leader_reads_the_leader_key_and_does_not_campaign() {
    let mut election = won_election();
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
    let leader =
        election.other_leader(Duration::from_millis(3_000), at(5_000)).expect("the key was read recently");
    assert_eq!(leader.node, "n1".into());
    assert_eq!(leader.fencing_token, FencingToken(52));
    election.tick(at(23_100), false, NO_JITTER).expect("reads the key");
    assert!(
        election.reply(at(23_110), StoreReply::Missing { store_revision: 60 }).next_request.is_some(),
        "campaigns again"
    );
}

#[test]
fn leader_key_write_without_reply_is_verified() {
    let mut election = idle_election();
    election.tick(at(1), false, NO_JITTER);
    election.reply(at(2), StoreReply::Missing { store_revision: 1 });
    election.reply(at(3), StoreReply::LeaseGranted(LeaseId(7)));
    election.reply(at(4), StoreReply::Unknown);
    assert!(!election.is_leader());
    election.tick(at(900), false, NO_JITTER).expect("reads the key to verify");
    let theirs =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n0","permit":6}"#.into(), revision: Revision(3) };
    let mut other = Election { state: election.state, ..idle_election() };
    assert_eq!(other.reply(at(901), StoreReply::Found(theirs)).change, ElectionChange::Unchanged);
    let mine =
        Pair { key: LEADER_KEY.into(), value: r#"{"node":"n0","permit":7}"#.into(), revision: Revision(5) };
    assert_eq!(election.reply(at(901), StoreReply::Found(mine)).change, ElectionChange::Won(FencingToken(5)));
}
