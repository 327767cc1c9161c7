use super::*;

/// If the store no longer has the events that a watch asks for, a full read follows. It must remove the keys
/// deleted in the missed events, and an older page must not replace newer values.
#[test]
fn full_read_removes_keys_whose_deletion_event_was_missed() {
    let mut records = Records::default();
    records.learn("x/a", Revision(3), "1");
    records.learn("x/b", Revision(4), "1");
    records.reach(5);
    records.take_changed();
    records.forget_store_revision();
    records.learn("x/b", Revision(4), "1");
    records.learn("x/b", Revision(2), "old");
    records.reach(9);
    assert_eq!(records.take_changed(), ["x/a"]);
    assert!(records.get("x/a").is_none());
    let found = records.get("x/b").map(|(revision, value)| (revision, value.to_string()));
    assert_eq!(found, Some((Revision(4), "1".into())));
    records.learn_events(12, &[Event::Delete { key: "x/b".into(), revision: Revision(11) }]);
    assert!(records.get("x/b").is_none() && records.store_revision() == Some(12));
}
