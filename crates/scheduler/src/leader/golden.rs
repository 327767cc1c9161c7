//! Golden bytes of the leader's key.

use super::*;
use crate::golden_group;

#[test]
fn golden_leader_key() {
    let value = KeyValue { node: "n1".into(), permit: Permit(77) };
    let mut group = golden_group!("leader_record.txt");
    let value = serde_json::to_string(&value).expect("writable");
    group.both_ways("leader", format!("{KEY} {value}"), |line| {
        let (key, value) = line.split_once(' ')?;
        let read: KeyValue = serde_json::from_str(value).ok()?;
        Some(format!("{key} {}", serde_json::to_string(&read).ok()?))
    });
    group.finish();
}
