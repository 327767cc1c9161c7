//! Golden bytes between users and this node: submissions, and every answer.

use super::*;
use crate::golden_group;

fn full(job_type: JobType, priority: Priority) -> JobSpec {
    JobSpec {
        kind: "train".into(),
        team: "vision".into(),
        job_type,
        priority,
        tasks: 16,
        resources: Resources { cpus: 8.5, gpus: 1.0, memory_gb: 64.5 },
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into(), "g2".into()]),
        zone: Some("z0".into()),
        together: true,
        spread: false,
        spot: true,
        estimate: Duration::from_millis(240_500),
        checkpoint_interval: Duration::from_millis(30_500),
        checkpoint_duration: Duration::from_millis(4_500),
        deadline: Some(Duration::from_millis(900_500)),
        needs: vec!["req-000001".into(), "req-000002".into()],
    }
}

fn minimal(job_type: JobType, priority: Priority) -> JobSpec {
    JobSpec {
        types: None,
        zone: None,
        together: false,
        spread: true,
        spot: false,
        deadline: None,
        needs: Vec::new(),
        ..full(job_type, priority)
    }
}

#[test]
fn golden_submissions() {
    let specs = [
        ("array, low", full(JobType::Array, Priority::Low)),
        ("gang, normal", full(JobType::Gang, Priority::Normal)),
        ("service, high", full(JobType::Service, Priority::High)),
        ("array, production, nothing optional", minimal(JobType::Array, Priority::Production)),
    ];
    let mut group = golden_group!("submissions.txt");
    for (name, spec) in specs {
        let id = JobId::from("req-000412");
        group.both_ways(name, write_submission(&id, &spec), |body| {
            assert_eq!(submission_id(body.as_bytes()), Some(id.clone()));
            let (read_id, read) = submission(body.as_bytes()).ok()?;
            assert_eq!(read, spec, "{name}: every field keeps its value");
            Some(write_submission(&read_id, &read))
        });
    }
    group.finish();
}

#[test]
fn golden_answers_to_users() {
    let mut group = golden_group!("answers_to_users.txt");
    for (name, phase) in [
        ("pending", Phase::Pending),
        ("running", Phase::Running),
        ("done", Phase::Done),
        ("withdrawn", Phase::Cancelled),
    ] {
        group.writes(name, status(&"req-000412".into(), phase, Some(TaskCounts { done: 3, running: 13 })));
    }
    group.writes("accepted", status(&"req-000412".into(), Phase::Pending, None));
    group.writes("error", error("owner: there is no team `blue`"));
    group.finish();
}
