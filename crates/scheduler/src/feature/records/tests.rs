use super::*;

/// A watch that came too late is followed by a full read: what was removed meanwhile must go, and
/// what is read from an old page must not bring back older values.
#[test]
fn what_was_removed_unseen_is_gone_after_a_full_read() {
    let mut r = Records::default();
    r.learn("x/a", Stamp(3), "1");
    r.learn("x/b", Stamp(4), "1");
    r.reach(5);
    r.take_changed();
    r.forget_epoch();
    r.learn("x/b", Stamp(4), "1");
    r.learn("x/b", Stamp(2), "old");
    r.reach(9);
    assert_eq!(r.take_changed(), ["x/a"]);
    assert!(r.get("x/a").is_none());
    assert_eq!(r.get("x/b").map(|(s, v)| (s, v.to_string())), Some((Stamp(4), "1".into())));
    r.learn_events(12, &[Event::Delete { key: "x/b".into(), stamp: Stamp(11) }]);
    assert!(r.get("x/b").is_none() && r.epoch() == Some(12));
}
