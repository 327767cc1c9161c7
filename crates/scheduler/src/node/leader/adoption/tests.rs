use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::assignments::CachedImage;
use crate::jobs::{OpenJob, Record};
use crate::types::{Resources, Revision, WallTime, WorkerEpoch};
use std::sync::Arc;

fn record(attempt: u64) -> MachineRecord {
    MachineRecord {
        type_name: "t".into(),
        zone: "z0".into(),
        spot: false,
        addr: Some("10.9.0.1:1".into()),
        worker_epoch: WorkerEpoch(1),
        assignments: vec![RecordedAssignment {
            task: TaskId { job: "req-1".into(), index: 0 },
            attempt: Attempt(attempt),
            team: "red".into(),
            resources: Resources { cpus: 1.0, gpus: 1.0, memory_gb: 1.0 },
        }],
        images: vec![CachedImage { image: "i".into(), size_gb: 5.0 }],
    }
}

/// Guards against a second start of a running task: if the leader crashes after the task's new assignment was
/// written and before the removal of the old one was, both are stored. If the old one counted as live, the
/// proof that its task is gone would let the task start again.
#[test]
fn newer_attempt_stays_placed_when_outdated_assignment_is_adopted() {
    for (first, second, live) in [(5, 7, "m-2"), (7, 5, "m-1")] {
        let now = MonotonicTime::from_millis(1);
        let mut leader = leader();
        leader.add_recorded_machine("m-1".into(), record(first), now);
        leader.add_recorded_machine("m-2".into(), record(second), now);
        let mut job_cache = JobCache::default();
        let job =
            OpenJob { spec: crate::jobs::tests::spec(), submitted: WallTime(1), assigned_node: "n0".into() };
        job_cache.learn("req-1".into(), Revision(1), Record::Open(Arc::new(job)));
        leader.build_job_states(&job_cache, now);
        let outdated = if live == "m-1" { "m-2" } else { "m-1" };
        leader.process_heartbeat(&heartbeat(outdated, "z0", 8), MonotonicTime::from_millis(2));
        let job_state = &leader.job_states[&JobId::from("req-1")];
        assert_eq!(
            job_state.placed().get(&0),
            Some(&MachineId::from(live)),
            "the task must stay placed on {live}"
        );
    }
}
