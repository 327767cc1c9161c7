use super::*;
use crate::wire::workers::Heartbeat;

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
        images: vec![assignments::CachedImage { image: "i".into(), size_gb: 5.0 }],
    }
}

pub fn heartbeat(machine: &str, zone: &str, serial: u64) -> Heartbeat {
    serde_json::from_str(&format!(
        r#"{{"host":"{machine}","addr":"10.9.0.1:1","flavor":"t","region":"{zone}","preemptible":false,
            "tenure":1,"serial":{serial},"fence":9,"shards":[]}}"#
    ))
    .expect("valid")
}

pub fn leader() -> Leader {
    let settings = crate::settings::parse(("p", crate::settings::SAMPLE), None).expect("valid");
    Leader::new(Arc::new(settings), FencingToken(9), MonotonicTime::from_millis(1), Vec::new(), Vec::new())
}

/// The removal of an old entry had not been written when the leader crashed, the task's new
/// entry elsewhere had: the old one's absence then freed a task that was running.
#[test]
fn an_entry_left_over_from_an_earlier_attempt_does_not_hide_the_live_one() {
    for (first, second, live) in [(5, 7, "m-2"), (7, 5, "m-1")] {
        let (mut m, now) = (leader(), MonotonicTime::from_millis(1));
        m.inherit("m-1".into(), record(first), now);
        m.inherit("m-2".into(), record(second), now);
        let mut job_cache = jobs::JobCache::default();
        let job = jobs::OpenJob {
            spec: jobs::tests::spec(),
            submitted: crate::types::WallTime(1),
            home: "n0".into(),
        };
        job_cache.learn("req-1".into(), Revision(1), Record::Open(Arc::new(job)));
        m.build_job_states(&job_cache, now);
        let dead = if live == "m-1" { "m-2" } else { "m-1" };
        m.process_heartbeat(&heartbeat(dead, "z0", 8), MonotonicTime::from_millis(2));
        let job_state = &m.job_states[&JobId::from("req-1")];
        assert_eq!(job_state.placed().get(&0), Some(&MachineId::from(live)), "it is still on {live}");
    }
}

/// One slow fetch made the other tasks of a gang give up, again and again (andina apart).
#[test]
fn a_gangs_tasks_with_their_image_start_after_the_others_fetches() {
    let (mut m, now) = (leader(), MonotonicTime::from_millis(1));
    let mut spec = jobs::tests::spec();
    (spec.job_type, spec.tasks) = (JobType::Gang, 2);
    let job = Arc::new(jobs::OpenJob { spec, submitted: crate::types::WallTime(1), home: "n0".into() });
    m.job_states.insert("req-1".into(), JobState::new(job, now));
    for (i, after_fetches) in [(0, true), (1, false)] {
        let id = format!("m-{i}");
        m.process_heartbeat(&heartbeat(&id, "z0", 1), now);
        let id = MachineId::from(id.as_str());
        let task = TaskId { job: "req-1".into(), index: i };
        let mut assignment = Assignment::new(
            &task,
            Attempt(7),
            "red".into(),
            Resources::default(),
            AssignmentState::Ready,
            now,
        );
        assignment.after_fetches = after_fetches;
        m.machines.get_mut(&id).expect("there").assignments.insert(task, assignment);
        m.job_states.get_mut(&JobId::from("req-1")).expect("there").place(i, id);
    }
    let starts = |m: &mut Leader, id: &str| {
        m.machines
            .get_mut(&MachineId::from(id))
            .expect("there")
            .direct_commands(true, MonotonicTime::from_millis(1))
            .1
            .len()
    };
    assert_eq!((starts(&mut m, "m-0"), starts(&mut m, "m-1")), (0, 1));
    let waiting = r#"{"host":"m-1","addr":"10.9.0.1:1","flavor":"t","region":"z0","preemptible":false,
            "tenure":1,"serial":2,"fence":9,"shards":[{"shard":"req-1/1","try":7,"phase":"waiting"}]}"#;
    m.process_heartbeat(&serde_json::from_str(waiting).expect("valid"), now);
    assert!(m.to_direct.contains(&MachineId::from("m-0")));
    assert_eq!(starts(&mut m, "m-0"), 1);
    assert!(m.machines[&MachineId::from("m-1")].has_image(&"i".into()));
}
