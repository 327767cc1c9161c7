//! Golden tests of the bytes of machine records.

use super::*;
use crate::golden_group;
use crate::types::{Attempt, Resources, TaskId, WorkerEpoch};

/// Value limit of the key-value store, in bytes.
const LIMIT: usize = 16_000;

fn record() -> MachineRecord {
    let task = TaskId { job: "req-000412".into(), index: 3 };
    let resources = Resources { cpus: 5.0, gpus: 1.0, memory_gb: 6.4 };
    MachineRecord {
        type_name: "g8".into(),
        zone: "z0".into(),
        spot: true,
        addr: Some("10.1.0.232:9000".into()),
        worker_epoch: WorkerEpoch(2),
        assignments: vec![RecordedAssignment {
            task,
            attempt: Attempt(432_013_319),
            team: "red".into(),
            resources,
        }],
        images: vec![CachedImage { image: "img-07".into(), size_gb: 6.2 }],
    }
}

#[test]
fn golden_machine_records() {
    let without_heartbeat = MachineRecord {
        spot: false,
        addr: None,
        worker_epoch: WorkerEpoch(0),
        assignments: Vec::new(),
        images: Vec::new(),
        ..record()
    };
    let key = key(&"m-000231".into());
    let mut group = golden_group!("machine_records.txt");
    for (name, record) in [("full", record()), ("not heard of yet", without_heartbeat)] {
        let value = record.to_value(LIMIT).expect("the record fits into the limit");
        group.both_ways(name, format!("{key} {value}"), |line| {
            let (key, value) = line.split_once(' ')?;
            let read: MachineRecord = serde_json::from_str(value).ok()?;
            Some(format!("{key} {}", read.to_value(LIMIT)?))
        });
    }
    group.finish();
}

/// The batches take changes by this order: changes of a lower priority may be deferred.
#[test]
fn golden_order_of_commit_priorities() {
    assert!(CommitPriority::Background < CommitPriority::Normal);
    assert!(CommitPriority::Normal < CommitPriority::Urgent);
    assert!(CommitPriority::Urgent < CommitPriority::Critical);
}
