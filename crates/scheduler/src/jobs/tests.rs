use super::*;

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
        checkpoint: Duration::from_millis(0),
        save: Duration::from_millis(0),
        deadline: None,
        needs: Vec::new(),
    }
}

#[test]
fn a_verdict_is_final_in_the_mirror() {
    let mut m = JobCache::default();
    let id = JobId::from("req-1");
    let open = Record::Open(Arc::new(OpenJob { spec: spec(), submitted: WallTime(1), home: "n0".into() }));
    m.learn(id.clone(), Revision(5), open.clone());
    m.learn(id.clone(), Revision(7), Record::Done);
    m.learn(id.clone(), Revision(6), open.clone());
    m.learn(id.clone(), Revision(9), open);
    assert_eq!(m.get(&id).map(|k| k.record.terminal()), Some(Some(Phase::Done)));
}

#[test]
fn limits_count_one_task_of_an_array_and_all_of_the_rest() {
    let s = crate::settings::parse(("p", crate::settings::SAMPLE), None).expect("valid");
    let types: Vec<MachineType> = serde_json::from_str(
        r#"[{"name":"t","vcpus":8,"accelerators":2,"memory_gb":8,"hourly":1,"regions":["z0"]}]"#,
    )
    .expect("valid");
    let mut j = spec();
    j.tasks = 13;
    assert_eq!(j.can_run(&s, &types), Ok(()));
    j.job_type = JobType::Gang;
    assert_eq!(j.can_run(&s, &types), Err(AdmissionError::OverLimit("red".into())));
    j.tasks = 12;
    assert_eq!(j.can_run(&s, &types), Ok(()));
    j.zone = Some("z1".into());
    assert_eq!(j.can_run(&s, &types), Err(AdmissionError::FitsNowhere));
    j.team = "none".into();
    assert_eq!(j.can_run(&s, &types), Err(AdmissionError::UnknownTeam("none".into())));
}
