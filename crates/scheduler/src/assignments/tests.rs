use super::*;

/// The state service's next limit is an eighth of the present one; a machine full of small tasks
/// would no longer be written, and starts there never become durable.
#[test]
fn a_record_gives_up_images_first_and_never_an_entry() {
    let task = |index| TaskId { job: "req-000412".into(), index };
    let resources = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 6.4 };
    let mut record = MachineRecord {
        type_name: "andesite".into(),
        zone: "columbia".into(),
        spot: false,
        addr: Some("255.255.255.255:65535".into()),
        worker_epoch: WorkerEpoch(u64::from(u32::MAX)),
        assignments: Vec::new(),
        images: (0..64).map(|i| (Image::from(format!("img-{i:02}").as_str()), 6.25)).collect(),
    };
    let (limit, mut bytes) = (2000, 0);
    for index in 0.. {
        let (attempt, team) = (Attempt(u64::MAX), TeamName::from("duty-desk"));
        bytes += assignment_bytes(&task(index), attempt, &team, &resources);
        if !MachineRecord::holds(bytes, &record.type_name, &record.zone, limit) {
            break;
        }
        record.assignments.push((task(index), attempt, team, resources));
        let value = record.to_value(limit).expect("what is placed can be stored");
        let recorded_state: MachineRecord = serde_json::from_str(&value).expect("readable");
        assert!(value.len() <= limit && recorded_state.assignments == record.assignments);
        assert!(recorded_state.images.is_empty() || recorded_state.images.last() == record.images.last());
    }
    assert!(record.assignments.len() > 12, "{} tasks", record.assignments.len());
    (0..9).for_each(|i| record.assignments.push((task(100 + i), Attempt(1), "duty-desk".into(), resources)));
    assert_eq!(record.to_value(limit), None, "more than fits is left as it is stored");
}
