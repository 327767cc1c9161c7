use super::*;

#[test]
fn a_late_transaction_and_its_successor_exclude_each_other() {
    let mut j = CommitPipeline::new("leader", FencingToken(9), 4);
    j.loaded("m/a", Revision(3));
    let v1 = j.put("m/a", Some("1".into()), CommitPriority::Normal);
    let first = j.next_batch(true).expect("work");
    assert_eq!(first.conditions, [("leader".to_string(), Revision(9)), ("m/a".to_string(), Revision(3))]);
    assert!(j.next_batch(true).is_none(), "one in flight at a time");
    let v2 = j.put("m/a", Some("2".into()), CommitPriority::Normal);
    j.failed();
    let second = j.next_batch(true).expect("work");
    assert_eq!(second.conditions, first.conditions, "so that only one of them can be applied");
    assert_eq!(j.committed(12).keys, [("m/a".to_string(), v2)]);
    assert!(v1 < v2 && j.next_batch(true).is_none());
    j.put("m/a", None, CommitPriority::Normal);
    assert_eq!(j.next_batch(true).expect("work").conditions[1].1, Revision(12));
}

#[test]
fn a_change_made_while_its_key_is_in_flight_is_written_too() {
    let mut j = CommitPipeline::new("leader", FencingToken(9), 4);
    j.put("m/a", Some("1".into()), CommitPriority::Normal);
    j.next_batch(true).expect("work");
    let v2 = j.put("m/a", Some("2".into()), CommitPriority::Normal);
    j.committed(10);
    let batch = j.next_batch(true).expect("the second change");
    assert_eq!(batch.conditions[1].1, Revision(10));
    assert_eq!(j.committed(11).keys, [("m/a".to_string(), v2)]);
}

/// A refused value ended the tenure, and the next leader met the same one.
#[test]
fn a_change_refused_for_good_is_given_up_and_those_beside_it_are_written() {
    let mut j = CommitPipeline::new("leader", FencingToken(9), 4);
    j.loaded("m/b", Revision(3));
    for key in ["m/a", "m/b", "m/c"] {
        j.put(key, Some("12345".into()), CommitPriority::Urgent);
    }
    let mut written = Vec::new();
    let mut given_up = Vec::new();
    for _ in 0..10 {
        let Some(batch) = j.next_batch(true) else { break };
        let keys: Vec<&str> = batch.changes.iter().map(Change::key).collect();
        if keys.contains(&"m/b") {
            given_up.extend(j.refused());
        } else {
            written.extend(keys.iter().map(|k| k.to_string()));
            j.committed(10);
        }
    }
    assert_eq!((written, given_up), (vec!["m/a".into(), "m/c".into()], vec![("m/b".into(), 5)]));
    assert_eq!(j.revision("m/b"), Revision(3), "its stored value is still known");
    j.put("m/b", Some("1".into()), CommitPriority::Urgent);
    assert!(j.next_batch(true).is_some_and(|b| b.changes.len() == 1), "and it may be written later");
}

/// However much is urgent, removals and progress get their part; what only tidies up waits.
#[test]
fn a_flood_of_urgent_changes_leaves_the_others_their_part() {
    let mut j = CommitPipeline::new("leader", FencingToken(9), 4);
    j.put("m/idle", Some("1".into()), CommitPriority::Background);
    (0..8).for_each(|i| {
        j.put(&format!("m/soon{i}"), None, CommitPriority::Normal);
    });
    let mut soon = 0;
    for round in 0..16 {
        (0..4).for_each(|i| {
            j.put(&format!("m/u{round}-{i}"), Some("1".into()), CommitPriority::Urgent);
        });
        let batch = j.next_batch(false).expect("work");
        assert_eq!(batch.changes.len(), 4);
        soon += batch.changes.iter().filter(|c| c.key().starts_with("m/soon")).count();
        assert!(batch.changes.iter().all(|c| c.key() != "m/idle"));
        j.committed(10 + round);
    }
    assert_eq!(soon, 8);
    j.put("m/idle", Some("2".into()), CommitPriority::Urgent);
    let keys = |b: CommitBatch| b.changes.iter().map(|c| c.key().to_string()).collect::<Vec<_>>();
    let mut written = Vec::new();
    while let Some(batch) = j.next_batch(true) {
        written.extend(keys(batch));
        j.committed(90);
    }
    assert_eq!(written.iter().filter(|k| *k == "m/idle").count(), 1, "once, though queued twice");
}
