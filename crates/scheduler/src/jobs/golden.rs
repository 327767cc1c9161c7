//! Golden bytes of job records and of progress records, which say which tasks are done.

use super::*;
use crate::golden_group;
use crate::types::{Duration, Resources, Revision, WallTime};
use crate::wire::state::Pair;
use std::sync::Arc;

/// A spec with every optional field set.
fn full_spec(job_type: JobType, priority: Priority) -> JobSpec {
    JobSpec {
        kind: "train".into(),
        team: "red".into(),
        job_type,
        priority,
        tasks: 16,
        resources: Resources { cpus: 5.0, gpus: 1.0, memory_gb: 6.4 },
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into(), "g2".into()]),
        zone: Some("z0".into()),
        together: true,
        spread: false,
        spot: true,
        estimate: Duration::from_millis(240_000),
        checkpoint_interval: Duration::from_millis(30_000),
        checkpoint_duration: Duration::from_millis(4_000),
        deadline: Some(Duration::from_millis(900_000)),
        needs: Vec::new(),
    }
}

fn bare_spec() -> JobSpec {
    JobSpec {
        types: None,
        zone: None,
        deadline: None,
        together: false,
        spread: true,
        spot: false,
        ..full_spec(JobType::Service, Priority::Production)
    }
}

fn open(spec: JobSpec) -> Record {
    Record::Open(Arc::new(OpenJob {
        spec,
        submitted: WallTime(1_700_000_000_123),
        assigned_node: "n1".into(),
    }))
}

fn records() -> Vec<(&'static str, Record)> {
    let dependent = JobSpec {
        needs: vec!["req-000001".into(), "req-000002".into()],
        ..full_spec(JobType::Array, Priority::Low)
    };
    vec![
        ("open, array, low", open(full_spec(JobType::Array, Priority::Low))),
        ("open, gang, normal", open(full_spec(JobType::Gang, Priority::Normal))),
        ("open, service, high", open(full_spec(JobType::Service, Priority::High))),
        ("open, service, production, nothing optional", open(bare_spec())),
        ("open, dependent", open(dependent)),
        ("done", Record::Done),
        ("withdrawn", Record::Cancelled),
    ]
}

#[test]
fn golden_job_records() {
    let mut group = golden_group!("job_records.txt");
    let key = key(&"req-000412".into());
    for (name, record) in records() {
        group.both_ways(name, format!("{key} {}", record.to_value()), |line| {
            let (key, value) = line.split_once(' ')?;
            let mut job_cache = JobCache::default();
            job_cache.learn_pair(&Pair { key: key.into(), value: value.into(), revision: Revision(1) });
            let known = job_cache.get(&"req-000412".into())?;
            Some(format!("{key} {}", known.record.to_value()))
        });
    }
    group.finish();
}

#[test]
fn golden_progress_records() {
    let mut done = TaskSet::default();
    for task in [0, 3, 64, TASKS_PER_CHUNK - 1, TASKS_PER_CHUNK + 5] {
        done.insert(task);
    }
    let mut group = golden_group!("progress_records.txt");
    group.writes("prefix", PROGRESS_PREFIX);
    for chunk in 0..2 {
        group.both_ways(&format!("chunk {chunk}"), done.chunk_value(chunk), |value| {
            let mut read = TaskSet::default();
            read.add_chunk(chunk, value).ok()?;
            Some(read.chunk_value(chunk))
        });
    }
    group.finish();
}

/// The order of priorities decides which jobs are placed first and which tasks may be preempted.
#[test]
fn golden_order_of_priorities_and_job_types() {
    assert!(Priority::Low < Priority::Normal);
    assert!(Priority::Normal < Priority::High);
    assert!(Priority::High < Priority::Production);
    assert!(JobType::Array < JobType::Gang);
    assert!(JobType::Gang < JobType::Service);
}
