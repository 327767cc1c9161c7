//! Golden test of the leader key and its record.

use super::*;
use crate::golden_group;

#[test]
fn golden_leader_key() {
    let value = LeaderRecord { node: "n1".into(), lease: LeaseId(77) };
    let mut group = golden_group!("leader_record.txt");
    let value = serde_json::to_string(&value).expect("the record serializes");
    group.both_ways("leader", format!("{LEADER_KEY} {value}"), |line| {
        let (key, value) = line.split_once(' ')?;
        let read: LeaderRecord = serde_json::from_str(value).ok()?;
        Some(format!("{key} {}", serde_json::to_string(&read).ok()?))
    });
    group.finish();
}
