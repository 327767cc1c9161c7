use super::*;

#[test]
fn a_request_never_joins_a_read_begun_before_it() {
    let mut desk = Desk::default();
    let w = |n, t| Waiting {
        request: OpId(n),
        id: "req-1".into(),
        ask: Ask::Status,
        since: Time::from_ms(t),
        tries: 0,
    };
    desk.wait(w(1, 0));
    assert!(desk.wants_read());
    desk.read_begins();
    desk.wait(w(2, 5));
    assert!(!desk.wants_read());
    assert_eq!(desk.read_ends().iter().map(|w| w.request).collect::<Vec<_>>(), [OpId(1)]);
    assert!(desk.wants_read());
    assert_eq!(desk.overdue(Time::from_ms(1505), Span::ms(1500)).len(), 1);
    assert!(desk.is_empty());
}
