//! Golden tests of the stored bytes of names' and versions' records.

use super::*;
use pearford_scheduler::golden_group;
use pearford_scheduler::types::Duration;

fn part(id: &str, tasks: u32) -> Part {
    Part { id: id.into(), tasks }
}

fn groups() -> Vec<GroupRecord> {
    let update = Update {
        max_parallel: 2,
        min_healthy: Duration::from_millis(10_500),
        healthy_deadline: Duration::from_millis(300_500),
        progress_deadline: Duration::from_millis(600_500),
        auto_revert: true,
    };
    let rolled = GroupRecord {
        name: "web".into(),
        task: "server".into(),
        parts: vec![part("req-000011", 3), part("req-000012", 2)],
        update: Some(update),
    };
    let batch = GroupRecord {
        name: "sums".into(),
        task: "adder".into(),
        parts: vec![part("req-000013", 1)],
        update: None,
    };
    vec![rolled, batch]
}

fn roll(kept: bool, gone: Vec<(String, u32)>) -> Rollout {
    let olds = vec![Old { group: "web".into(), part: part("req-000001", 4) }];
    Rollout { from: 6, olds, gone, progressed_ms: 1_700_000_000_456, kept }
}

/// A record with all fields set.
fn full(ended: Ended) -> Head {
    Head {
        namespace: "red".into(),
        name: "shop".into(),
        version: 7,
        digest: "0123456789abcdef".into(),
        service: true,
        priority: 60,
        submitted_ms: 1_700_000_000_123,
        created: 31,
        groups: groups(),
        stopped: true,
        purged: true,
        roll: Some(roll(true, vec![("web".into(), 2)])),
        ended: Some(ended),
        ending: vec!["req-000008".into(), "req-000009".into()],
    }
}

fn bare() -> Head {
    Head {
        service: false,
        created: 0,
        stopped: false,
        purged: false,
        roll: None,
        ended: None,
        ending: Vec::new(),
        ..full(Ended::Failed)
    }
}

fn heads() -> Vec<(&'static str, Head)> {
    vec![
        ("every field, successful", full(Ended::Successful)),
        ("every field, failed", full(Ended::Failed)),
        ("every field, reverted", full(Ended::Reverted)),
        ("every field, cancelled", full(Ended::Cancelled)),
        ("nothing optional", bare()),
        ("a roll that goes on", Head { roll: Some(roll(false, Vec::new())), ..bare() }),
    ]
}

#[test]
fn golden_records_of_names() {
    let mut group = golden_group!("name_records.txt");
    for (name, head) in heads() {
        let bytes = format!("{} {}", head.hash().key(), head.to_value());
        group.both_ways(name, bytes, |line| {
            let (key, value) = line.split_once(' ')?;
            let read: Head = serde_json::from_str(value).ok()?;
            assert_eq!(read, head, "{name}: the record must decode to the same value");
            Some(format!("{key} {}", read.to_value()))
        });
    }
    group.finish();
}

#[test]
fn golden_records_of_versions() {
    let small = serde_json::json!({"ID": "shop", "TaskGroups": [{"Name": "web"}]});
    let large = serde_json::json!({"ID": "shop", "Meta": {"note": "x".repeat(2 * MAX_PLAIN_BYTES)}});
    let key = NameHash::of("red", "shop").version_key(7);
    let mut group = golden_group!("version_records.txt");
    for (name, job) in [("plain", small), ("packed", large)] {
        let record = VersionRecord::new("0123456789abcdef", 1_700_000_000_123, &job);
        group.both_ways(name, format!("{key} {}", record.to_value()), |line| {
            let (key, value) = line.split_once(' ')?;
            let read: VersionRecord = serde_json::from_str(value).ok()?;
            assert_eq!(read.job().as_ref(), Some(&job), "{name}: the record must return the job");
            Some(format!("{key} {}", read.to_value()))
        });
    }
    group.finish();
}

/// Other nodes and later versions of pearford must derive the same keys and ids.
#[test]
fn golden_keys_and_ids() {
    let hash = NameHash::of("red", "shop");
    let mut group = golden_group!("name_keys.txt");
    group.writes("prefix", PREFIX);
    group.writes("name", hash.key());
    group.writes("version", hash.version_key(7));
    group.writes("versions", hash.versions_prefix());
    group.writes("native job of a part", part_id(&hash, 7, "web", 1, 2).as_str());
    group.writes("evaluation and deployment", crate::api::ids::of_version(&hash, 7));
    group.writes("allocation", crate::api::ids::of_task(&hash, 7, 1, 300));
    group.finish();
}
