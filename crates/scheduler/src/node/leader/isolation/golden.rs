//! Golden bytes of the report that an isolated node writes to the key-value store.

use super::*;
use crate::golden_group;
use crate::types::FencingToken;

#[test]
fn isolation_report_matches_golden_record() {
    let report = IsolationReport {
        fencing_token: FencingToken(412),
        workers_by_zone: [("z0".into(), 3), ("z1".into(), 0)].into(),
    };
    let value = serde_json::to_string(&report).expect("the report serializes");
    let mut group = golden_group!("apart_record.txt");
    group.both_ways("word", format!("{PREFIX}n1 {value}"), |line| {
        let (key, value) = line.split_once(' ')?;
        let read: IsolationReport = serde_json::from_str(value).ok()?;
        Some(format!("{key} {}", serde_json::to_string(&read).ok()?))
    });
    group.finish();
}
