use super::*;
use crate::types::{Duration, JobId, Resources, Revision, WallTime};
use crate::wire::cloud::MachineType;
use std::sync::Arc;

pub fn spec() -> JobSpec {
    JobSpec {
        kind: "k".into(),
        team: "red".into(),
        job_type: JobType::Array,
        priority: Priority::Normal,
        tasks: 3,
        resources: Resources { cpus: 1.0, gpus: 1.0, memory_gb: 1.0 },
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        together: false,
        spread: true,
        spot: false,
        estimate: Duration::from_secs_f64(1.0),
        checkpoint_interval: Duration::from_millis(0),
        checkpoint_duration: Duration::from_millis(0),
        deadline: None,
        needs: Vec::new(),
    }
}

#[test]
fn a_terminal_record_is_final_in_the_cache() {
    let mut cache = JobCache::default();
    let id = JobId::from("req-1");
    let open =
        Record::Open(Arc::new(OpenJob { spec: spec(), submitted: WallTime(1), assigned_node: "n0".into() }));
    cache.learn(id.clone(), Revision(5), open.clone());
    cache.learn(id.clone(), Revision(7), Record::Done);
    cache.learn(id.clone(), Revision(6), open.clone());
    cache.learn(id.clone(), Revision(9), open);
    assert_eq!(cache.get(&id).map(|known| known.record.terminal()), Some(Some(Phase::Done)));
}

#[test]
fn team_limit_counts_one_task_of_an_array_and_all_tasks_of_other_jobs() {
    let settings =
        crate::settings::parse(crate::settings::SourceFile::new("p", crate::settings::SAMPLE), None)
            .expect("valid");
    let types: Vec<MachineType> = serde_json::from_str(
        r#"[{"name":"t","vcpus":8,"accelerators":2,"memory_gb":8,"hourly":1,"regions":["z0"]}]"#,
    )
    .expect("valid");
    let mut job = spec();
    job.tasks = 13;
    assert_eq!(job.can_run(&settings, &types), Ok(()));
    job.job_type = JobType::Gang;
    assert_eq!(job.can_run(&settings, &types), Err(AdmissionError::OverLimit("red".into())));
    job.tasks = 12;
    assert_eq!(job.can_run(&settings, &types), Ok(()));
    job.zone = Some("z1".into());
    assert_eq!(job.can_run(&settings, &types), Err(AdmissionError::NoFittingMachineType));
    job.team = "none".into();
    assert_eq!(job.can_run(&settings, &types), Err(AdmissionError::UnknownTeam("none".into())));
}
