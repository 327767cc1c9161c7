use super::*;

fn recorded(index: u32, attempt: u64, resources: Resources) -> RecordedAssignment {
    RecordedAssignment {
        task: TaskId { job: "req-000412".into(), index },
        attempt: Attempt(attempt),
        team: "duty-desk".into(),
        resources,
    }
}

fn cached(image: &str, size_gb: f64) -> CachedImage {
    CachedImage { image: image.into(), size_gb }
}

#[test]
fn an_image_is_stored_as_an_array_of_two() {
    let stored = r#"["img-07",6.2]"#;
    assert_eq!(serde_json::to_string(&cached("img-07", 6.2)).expect("writable"), stored);
    assert_eq!(serde_json::from_str::<CachedImage>(stored).expect("readable"), cached("img-07", 6.2));
}

#[test]
fn an_assignment_is_stored_as_an_array_of_four() {
    let assignment = recorded(3, 7, Resources { cpus: 1.0, gpus: 0.0, memory_gb: 6.4 });
    let stored = r#"[{"job":"req-000412","index":3},7,"duty-desk",{"cpus":1.0,"gpus":0.0,"memory_gb":6.4}]"#;
    assert_eq!(serde_json::to_string(&assignment).expect("writable"), stored);
    assert_eq!(serde_json::from_str::<RecordedAssignment>(stored).expect("readable"), assignment);
    let bytes =
        assignment_bytes(&assignment.task, assignment.attempt, &assignment.team, &assignment.resources);
    assert_eq!(bytes, stored.len() + 1);
}

/// The store's next value limit is an eighth of the present one; the record of a machine full of small tasks
/// would no longer be written, and starts there would never become durable.
#[test]
fn a_record_gives_up_images_first_and_never_an_assignment() {
    let resources = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 6.4 };
    let mut record = MachineRecord {
        type_name: "andesite".into(),
        zone: "columbia".into(),
        spot: false,
        addr: Some("255.255.255.255:65535".into()),
        worker_epoch: WorkerEpoch(u64::from(u32::MAX)),
        assignments: Vec::new(),
        images: (0..64).map(|i| cached(&format!("img-{i:02}"), 6.25)).collect(),
    };
    let limit = 2000;
    let mut bytes = 0;
    for index in 0.. {
        let assignment = recorded(index, u64::MAX, resources);
        bytes += assignment_bytes(&assignment.task, assignment.attempt, &assignment.team, &resources);
        if !MachineRecord::can_hold(bytes, &record.type_name, &record.zone, limit) {
            break;
        }
        record.assignments.push(assignment);
        let value = record.to_value(limit).expect("what is placed can be stored");
        let stored: MachineRecord = serde_json::from_str(&value).expect("readable");
        assert!(value.len() <= limit && stored.assignments == record.assignments);
        assert!(stored.images.is_empty() || stored.images.last() == record.images.last());
    }
    assert!(record.assignments.len() > 12, "{} tasks", record.assignments.len());
    record.assignments.extend((0..9).map(|i| recorded(100 + i, 1, resources)));
    assert_eq!(record.to_value(limit), None, "more than fits is left as it is stored");
}
