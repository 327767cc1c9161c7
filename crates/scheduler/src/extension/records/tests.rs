use super::*;

/// A watch that came too late is followed by a full read: what was deleted meanwhile must go, and
/// what is read from an old page must not bring back older values.
#[test]
fn keys_deleted_unseen_are_gone_after_a_full_read() {
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
