use super::*;

#[test]
fn a_request_never_joins_a_read_begun_before_it() {
    let mut desk = Desk::default();
    let w = |n, t| Waiting {
        request: RequestId(n),
        id: "req-1".into(),
        ask: Ask::Status,
        since: MonotonicTime::from_millis(t),
        tries: 0,
    };
    desk.wait(w(1, 0));
    assert!(desk.wants_read());
    desk.read_begins();
    desk.wait(w(2, 5));
    assert!(!desk.wants_read());
    assert_eq!(desk.read_ends().iter().map(|w| w.request).collect::<Vec<_>>(), [RequestId(1)]);
    assert!(desk.wants_read());
    assert_eq!(desk.overdue(MonotonicTime::from_millis(1505), Duration::from_millis(1500)).len(), 1);
    assert!(desk.is_empty());
}
