//! Golden settings: every key of the platform's file and of the operators' file sets the right field.

use super::*;

const PLATFORM: &str = include_str!("../../tests/golden/platform.toml");
const OPERATOR: &str = include_str!("../../tests/golden/operator.yaml");

fn settings() -> Settings {
    parse(SourceFile::new("platform.toml", PLATFORM), Some(SourceFile::new("operator.yaml", OPERATOR)))
        .expect("both files are valid")
}

fn addr(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn golden_platform_node_and_peers() {
    let s = settings();
    assert_eq!((s.node, s.zone), ("n0".into(), "z0".into()));
    assert_eq!((s.api_addr, s.peer_addr), (addr("10.0.0.1:8080"), addr("10.0.0.1:8081")));
    assert_eq!((s.cloud_addr, s.state_addr), (addr("10.2.0.2:1"), addr("10.2.0.1:2")));
    let [peer] = &s.peers[..] else { panic!("one peer") };
    assert_eq!((&peer.name, &peer.zone, peer.addr), (&"n1".into(), &"z1".into(), addr("10.0.0.2:8082")));
}

#[test]
fn golden_platform_facts() {
    let s = settings();
    assert_eq!(s.zones, ["z0".into(), "z1".into()]);
    assert_eq!(s.max_clock_difference, Duration::from_millis(5));
    let team = &s.teams[&TeamName::from("red")];
    assert_eq!(team.name, "red".into());
    assert_eq!((team.guaranteed_cpus, team.max_cpus), (Some(1.5), Some(2.5)));
    assert_eq!((team.guaranteed_gpus, team.max_gpus), (Some(3.5), Some(4.5)));
    let w = &s.workers;
    assert_eq!((w.report_s, w.lease_s, w.cancel_s), (3.5, 18.5, 48.5));
    assert_eq!((w.gang_wait_s, w.gang_peer_s), (35.5, 4.5));
    assert_eq!((s.cloud.rps, s.cloud.list_lag_s), (5.5, 8.5));
    assert_eq!((s.limits.cpu_share, s.limits.ram_mb, s.limits.max_connections), (0.05, 72.5, 1500));
}

#[test]
fn golden_platform_objectives() {
    let s = settings();
    let [wait, guarantee] = &s.objectives[..] else { panic!("two objectives") };
    assert_eq!((wait.kind.as_str(), wait.class.as_deref()), ("wait", Some("train")));
    assert_eq!((wait.within_s, wait.share), (Some(60.5), Some(0.9)));
    assert_eq!((guarantee.kind.as_str(), guarantee.class.as_deref()), ("guarantee", None));
    assert_eq!((guarantee.within_s, guarantee.share), (Some(30.5), None));
    // `wait` and `guarantee` are the kinds of objectives that the platform's file defines.
    assert_eq!(s.wait_objective(&"train".into(), false), Some(60.5));
    assert_eq!(s.wait_objective(&"train".into(), true), Some(30.5));
    assert_eq!(s.wait_objective(&"serve".into(), false), None);
}

#[test]
fn golden_platform_store_limits() {
    let next = StoreLimits { rps: 125.5, write_rps: 50.5, value_bytes: 2000, txn_ops: 10 };
    assert_eq!(settings().state, next, "the next limits are stricter");
    let (before, rest) = PLATFORM.split_once("[facts.state.next]").expect("there are next limits");
    let (_, after) = rest.split_once("[facts.cloud]").expect("the cloud follows");
    let present = format!("{before}[facts.cloud]{after}");
    let present = parse(SourceFile::new("platform.toml", &present), None).expect("valid").state;
    assert_eq!(present, StoreLimits { rps: 250.5, write_rps: 100.5, value_bytes: 16_000, txn_ops: 12 });
}

#[test]
fn golden_operator_keys() {
    // All fields are listed, so that a new field does not compile until its key is checked here.
    let expected = Operator {
        leader_grant_ms: 4001,
        leader_renew_ms: 1001,
        block_lease_s: 30.5,
        round_timeout_ms: 401,
        counts_save_s: 10.5,
        degraded_factor: 0.51,
        unknown_factor: 0.81,
        empty_factor: 0.31,
        dear_factor: 0.32,
        fetch_half_s: 1.5,
        degraded_reports: 1.7,
        unreachable_reports: 2.6,
        lost_reports: 4.1,
        idle_return_s: 45.5,
        boot_patience: 4.5,
        refusal_pause_s: 8.5,
        rent_at_most: 49,
        round_tasks: 63,
        max_waiting_requests: 511,
        request_patience_ms: 1501,
        user_write_share: 0.55,
        list_every_s: 5.5,
        report_homes: false,
    };
    assert_eq!(settings().operator, expected);
}
