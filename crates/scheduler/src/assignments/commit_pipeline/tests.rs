use super::*;

fn pipeline() -> CommitPipeline {
    CommitPipeline::new("leader", FencingToken(9), 4)
}

fn written(key: &str, version: WriteVersion) -> CommittedWrite {
    CommittedWrite { key: key.into(), version }
}

#[test]
fn transaction_and_its_retry_have_equal_conditions() {
    let mut pipeline = pipeline();
    pipeline.record_revision("m/a", Revision(3));
    let first_version = pipeline.put("m/a", Some("1".into()), CommitPriority::Normal);
    let first = pipeline.next_batch(true).expect("a change is queued");
    assert_eq!(first.conditions, [("leader".to_string(), Revision(9)), ("m/a".to_string(), Revision(3))]);
    assert!(pipeline.next_batch(true).is_none(), "only one transaction is in flight at a time");
    let second_version = pipeline.put("m/a", Some("2".into()), CommitPriority::Normal);
    pipeline.failed();
    let second = pipeline.next_batch(true).expect("a change is queued");
    assert_eq!(second.conditions, first.conditions, "at most one of the two transactions can be applied");
    assert_eq!(pipeline.committed(12), [written("m/a", second_version)]);
    assert!(first_version < second_version && pipeline.next_batch(true).is_none());
    pipeline.put("m/a", None, CommitPriority::Normal);
    assert_eq!(pipeline.next_batch(true).expect("a change is queued").conditions[1].1, Revision(12));
}

#[test]
fn change_queued_while_its_key_is_in_flight_is_written_next() {
    let mut pipeline = pipeline();
    pipeline.put("m/a", Some("1".into()), CommitPriority::Normal);
    pipeline.next_batch(true).expect("a change is queued");
    let second_version = pipeline.put("m/a", Some("2".into()), CommitPriority::Normal);
    pipeline.committed(10);
    let batch = pipeline.next_batch(true).expect("the second change is queued");
    assert_eq!(batch.conditions[1].1, Revision(10));
    assert_eq!(pipeline.committed(11), [written("m/a", second_version)]);
}

/// Guards against a leader that steps down because of a value that the store refuses permanently: the next
/// leader has to write the same value and steps down too.
#[test]
fn permanently_refused_change_is_discarded_and_other_changes_are_written() {
    let mut pipeline = pipeline();
    pipeline.record_revision("m/b", Revision(3));
    for key in ["m/a", "m/b", "m/c"] {
        pipeline.put(key, Some("12345".into()), CommitPriority::Urgent);
    }
    let mut written_keys = Vec::new();
    let mut discarded = Vec::new();
    for _ in 0..10 {
        let Some(batch) = pipeline.next_batch(true) else { break };
        let keys: Vec<&str> = batch.changes.iter().map(Change::key).collect();
        if keys.contains(&"m/b") {
            discarded.extend(pipeline.refused());
        } else {
            written_keys.extend(keys.iter().map(std::string::ToString::to_string));
            pipeline.committed(10);
        }
    }
    assert_eq!(written_keys, ["m/a", "m/c"]);
    assert_eq!(discarded, [RefusedWrite { key: "m/b".into(), bytes: 5 }]);
    assert_eq!(pipeline.revision("m/b"), Revision(3), "the revision of the stored value is kept");
    pipeline.put("m/b", Some("1".into()), CommitPriority::Urgent);
    assert!(
        pipeline.next_batch(true).is_some_and(|batch| batch.changes.len() == 1),
        "a later value of the key is written"
    );
}

/// Removals and progress are normal changes: they get a share of the batches regardless of the urgent
/// backlog. Background changes wait.
#[test]
fn normal_changes_get_their_share_under_a_backlog_of_urgent_changes() {
    let mut pipeline = pipeline();
    pipeline.put("m/idle", Some("1".into()), CommitPriority::Background);
    (0..8).for_each(|i| {
        pipeline.put(&format!("m/normal{i}"), None, CommitPriority::Normal);
    });
    let mut normal = 0;
    for round in 0..16 {
        (0..4).for_each(|i| {
            pipeline.put(&format!("m/u{round}-{i}"), Some("1".into()), CommitPriority::Urgent);
        });
        let batch = pipeline.next_batch(false).expect("a change is queued");
        assert_eq!(batch.changes.len(), 4);
        normal += batch.changes.iter().filter(|change| change.key().starts_with("m/normal")).count();
        assert!(batch.changes.iter().all(|change| change.key() != "m/idle"));
        pipeline.committed(10 + round);
    }
    assert_eq!(normal, 8);
    pipeline.put("m/idle", Some("2".into()), CommitPriority::Urgent);
    let keys =
        |batch: CommitBatch| batch.changes.iter().map(|change| change.key().to_string()).collect::<Vec<_>>();
    let mut written_keys = Vec::new();
    while let Some(batch) = pipeline.next_batch(true) {
        written_keys.extend(keys(batch));
        pipeline.committed(90);
    }
    assert_eq!(
        written_keys.iter().filter(|key| *key == "m/idle").count(),
        1,
        "a key in two queues is written once"
    );
}
