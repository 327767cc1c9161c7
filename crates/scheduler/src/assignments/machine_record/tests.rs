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
fn stores_cached_image_as_two_element_array() {
    let stored = r#"["img-07",6.2]"#;
    assert_eq!(serde_json::to_string(&cached("img-07", 6.2)).expect("writable"), stored);
    assert_eq!(serde_json::from_str::<CachedImage>(stored).expect("readable"), cached("img-07", 6.2));
}

#[test]
fn stores_assignment_as_four_element_array() {
    let assignment = recorded(3, 7, Resources { cpus: 1.0, gpus: 0.0, memory_gb: 6.4 });
    let stored = r#"[{"job":"req-000412","index":3},7,"duty-desk",{"cpus":1.0,"gpus":0.0,"memory_gb":6.4}]"#;
    assert_eq!(serde_json::to_string(&assignment).expect("writable"), stored);
    assert_eq!(serde_json::from_str::<RecordedAssignment>(stored).expect("readable"), assignment);
    let bytes =
        assignment_bytes(&assignment.task, assignment.attempt, &assignment.team, &assignment.resources);
    assert_eq!(bytes, stored.len() + 1);
}

/// The store's announced value limit is an eighth of the present one. Under it, the record of a machine full
/// of small tasks can't be written any more, and new assignments there never become durable.
#[test]
fn record_drops_images_to_fit_the_limit_and_never_drops_an_assignment() {
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
        let value = record.to_value(limit).expect("assignments that `can_hold` accepts can be stored");
        let stored: MachineRecord = serde_json::from_str(&value).expect("readable");
        assert!(value.len() <= limit && stored.assignments == record.assignments);
        assert!(stored.images.is_empty() || stored.images.last() == record.images.last());
    }
    assert!(record.assignments.len() > 12, "the record holds only {} tasks", record.assignments.len());
    record.assignments.extend((0..9).map(|i| recorded(100 + i, 1, resources)));
    assert_eq!(record.to_value(limit), None, "no value is written for assignments beyond the limit");
}
