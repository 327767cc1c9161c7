use super::*;

/// A watch that came too late is followed by a full read: what was removed meanwhile must go, and
/// what is read from an old page must not bring back older values.
#[test]
fn what_was_removed_unseen_is_gone_after_a_full_read() {
    let mut r = Records::default();
    r.learn("x/a", Revision(3), "1");
    r.learn("x/b", Revision(4), "1");
    r.reach(5);
    r.take_changed();
    r.forget_store_revision();
    r.learn("x/b", Revision(4), "1");
    r.learn("x/b", Revision(2), "old");
    r.reach(9);
    assert_eq!(r.take_changed(), ["x/a"]);
    assert!(r.get("x/a").is_none());
    assert_eq!(r.get("x/b").map(|(s, v)| (s, v.to_string())), Some((Revision(4), "1".into())));
    r.learn_events(12, &[Event::Delete { key: "x/b".into(), revision: Revision(11) }]);
    assert!(r.get("x/b").is_none() && r.store_revision() == Some(12));
}
