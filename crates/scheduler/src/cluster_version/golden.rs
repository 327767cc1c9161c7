//! Golden tests of the bytes of feature level records: nodes' announcements and the cluster's level.

use super::*;
use crate::golden::request_line;
use crate::golden_group;

fn cluster_version() -> ClusterVersion {
    ClusterVersion::new("n0".into(), std::iter::once("n1".into()))
}

/// The request to the state service at `now`, as one line. The program's version is replaced, since it
/// changes with each release.
fn next_request(
    cluster_version: &mut ClusterVersion,
    now: MonotonicTime,
    fencing_token: Option<FencingToken>,
) -> String {
    let request = cluster_version.tick(now, fencing_token).expect("a request is due");
    request_line(request.http()).replace(PROGRAM_VERSION, "VERSION")
}

#[test]
fn golden_records_of_levels() {
    let mut group = golden_group!("level_records.txt");
    let mut cluster_version = cluster_version();
    let mut now = MonotonicTime::from_millis(1);
    group.writes("look", next_request(&mut cluster_version, now, None));
    cluster_version.reply(now, StoreReply::Pairs { pairs: Vec::new(), more: false, store_revision: 1 });
    group.writes("announcement", next_request(&mut cluster_version, now, None));
    cluster_version.reply(now, StoreReply::Committed { store_revision: 2 });
    cluster_version.tick(now, None).expect("a read is due");
    let announced = |node: &str| Pair {
        key: format!("level/node/{node}"),
        value: "{\"level\":3,\"version\":\"x\"}".into(),
        revision: Revision(2),
    };
    let pairs = vec![announced("n0"), announced("n1")];
    cluster_version.reply(now, StoreReply::Pairs { pairs, more: false, store_revision: 3 });
    let nodes: Vec<_> =
        cluster_version.nodes().map(|node| (node.node.as_str(), node.level.0, node.version)).collect();
    assert_eq!(nodes, [("n0", 3, "x"), ("n1", 3, "x")]);
    now = now + STEP_INTERVAL;
    group.writes("mark", next_request(&mut cluster_version, now, Some(FencingToken(9))));
    group.finish();
}

#[test]
fn golden_value_of_a_node() {
    let value = NodeRecord { level: FeatureLevel(3), version: "0.3.0".into() };
    let mut group = golden_group!("level_values.txt");
    group.both_ways("node", serde_json::to_string(&value).expect("writable"), |value| {
        let read: NodeRecord = serde_json::from_str(value).ok()?;
        serde_json::to_string(&read).ok()
    });
    let levels =
        [DEPENDENCIES, HEARTBEAT_DELEGATION, UNACKNOWLEDGED_STARTS, CURRENT].map(|level| level.to_string());
    group.writes("levels", levels.join(" "));
    group.finish();
}

#[test]
fn golden_cluster_level_is_read() {
    let mut cluster_version = cluster_version();
    cluster_version.learn(&Pair { key: "level/reached".into(), value: "3".into(), revision: Revision(5) });
    assert_eq!(cluster_version.reached(), FeatureLevel(3));
}
