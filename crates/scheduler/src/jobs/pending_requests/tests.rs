use super::*;

#[test]
fn a_request_never_joins_a_read_begun_before_it() {
    let mut pending_requests = PendingRequests::default();
    let w = |n, t| PendingRequest {
        request: RequestId(n),
        id: "req-1".into(),
        ask: UserRequest::Status,
        since: MonotonicTime::from_millis(t),
        tries: 0,
    };
    pending_requests.wait(w(1, 0));
    assert!(pending_requests.wants_read());
    pending_requests.read_begins();
    pending_requests.wait(w(2, 5));
    assert!(!pending_requests.wants_read());
    assert_eq!(pending_requests.read_ends().iter().map(|w| w.request).collect::<Vec<_>>(), [RequestId(1)]);
    assert!(pending_requests.wants_read());
    assert_eq!(
        pending_requests.overdue(MonotonicTime::from_millis(1505), Duration::from_millis(1500)).len(),
        1
    );
    assert!(pending_requests.is_empty());
}
