use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::assignments::AssignmentState;
use crate::jobs::{JobState, JobType, OpenJob};
use crate::types::{Attempt, WallTime};
use std::sync::Arc;

/// Guards against a gang that never runs because one task's fetch is slow: if the tasks that have their image
/// start at once, they repeatedly time out before the gang is complete.
#[test]
fn starts_gang_tasks_with_image_after_other_tasks_fetched() {
    let now = MonotonicTime::from_millis(1);
    let mut leader = leader();
    let mut spec = crate::jobs::tests::spec();
    spec.job_type = JobType::Gang;
    spec.tasks = 2;
    let job = Arc::new(OpenJob { spec, submitted: WallTime(1), assigned_node: "n0".into() });
    leader.job_states.insert("req-1".into(), JobState::new(job, now));
    for (index, waits_for_gang_fetches) in [(0, true), (1, false)] {
        let id = format!("m-{index}");
        leader.process_heartbeat(&heartbeat(&id, "z0", 1), now);
        let id = MachineId::from(id.as_str());
        let task = TaskId { job: "req-1".into(), index };
        let mut assignment = Assignment::new(
            &task,
            Attempt(7),
            "red".into(),
            Resources::default(),
            AssignmentState::Ready,
            now,
        );
        assignment.waits_for_gang_fetches = waits_for_gang_fetches;
        leader.machines.get_mut(&id).expect("known machine").assignments.insert(task, assignment);
        leader.job_states.get_mut(&JobId::from("req-1")).expect("known job").place(index, id);
    }
    let starts = |leader: &mut Leader, id: &str| {
        let machine = leader.machines.get_mut(&MachineId::from(id)).expect("known machine");
        machine.direct_commands(true, MonotonicTime::from_millis(1)).starts.len()
    };
    assert_eq!((starts(&mut leader, "m-0"), starts(&mut leader, "m-1")), (0, 1));
    let waiting = r#"{"host":"m-1","addr":"10.9.0.1:1","flavor":"t","region":"z0","preemptible":false,
            "tenure":1,"serial":2,"fence":9,"shards":[{"shard":"req-1/1","try":7,"phase":"waiting"}]}"#;
    leader.process_heartbeat(&serde_json::from_str(waiting).expect("the heartbeat parses"), now);
    assert!(leader.worker_calls.has_queued_commands(&MachineId::from("m-0")));
    assert_eq!(starts(&mut leader, "m-0"), 1);
    let fetched = leader.machines.get(&MachineId::from("m-1")).expect("known machine");
    assert!(fetched.has_image(&"i".into()));
}
