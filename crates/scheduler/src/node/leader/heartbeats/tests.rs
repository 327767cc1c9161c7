use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::assignments::AssignmentState;
use crate::jobs::{JobState, JobType, OpenJob};
use crate::types::{Attempt, WallTime};
use std::sync::Arc;

/// One slow fetch made the other tasks of a gang give up, again and again (andina apart).
#[test]
fn a_gangs_tasks_with_their_image_start_after_the_others_fetches() {
    let now = MonotonicTime::from_millis(1);
    let mut leader = leader();
    let mut spec = crate::jobs::tests::spec();
    spec.job_type = JobType::Gang;
    spec.tasks = 2;
    let job = Arc::new(OpenJob { spec, submitted: WallTime(1), assigned_node: "n0".into() });
    leader.job_states.insert("req-1".into(), JobState::new(job, now));
    for (index, after_fetches) in [(0, true), (1, false)] {
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
        assignment.after_fetches = after_fetches;
        leader.machines.get_mut(&id).expect("there").assignments.insert(task, assignment);
        leader.job_states.get_mut(&JobId::from("req-1")).expect("there").place(index, id);
    }
    let starts = |leader: &mut Leader, id: &str| {
        let machine = leader.machines.get_mut(&MachineId::from(id)).expect("there");
        machine.direct_commands(true, MonotonicTime::from_millis(1)).starts.len()
    };
    assert_eq!((starts(&mut leader, "m-0"), starts(&mut leader, "m-1")), (0, 1));
    let waiting = r#"{"host":"m-1","addr":"10.9.0.1:1","flavor":"t","region":"z0","preemptible":false,
            "tenure":1,"serial":2,"fence":9,"shards":[{"shard":"req-1/1","try":7,"phase":"waiting"}]}"#;
    leader.process_heartbeat(&serde_json::from_str(waiting).expect("valid"), now);
    assert!(leader.worker_calls.has_queued_commands(&MachineId::from("m-0")));
    assert_eq!(starts(&mut leader, "m-0"), 1);
    let fetched = leader.machines.get(&MachineId::from("m-1")).expect("there");
    assert!(fetched.has_image(&"i".into()));
}
