use super::*;

#[test]
fn read_does_not_cover_requests_queued_after_it_began() {
    let mut pending_requests = PendingRequests::default();
    let request = |number, since_ms| PendingRequest {
        request: RequestId(number),
        id: "req-1".into(),
        operation: UserRequest::Status,
        since: MonotonicTime::from_millis(since_ms),
        retries: 0,
    };
    pending_requests.push(request(1, 0));
    assert!(pending_requests.needs_read());
    pending_requests.begin_read();
    pending_requests.push(request(2, 5));
    assert!(!pending_requests.needs_read());
    assert_eq!(
        pending_requests.finish_read().iter().map(|pending| pending.request).collect::<Vec<_>>(),
        [RequestId(1)]
    );
    assert!(pending_requests.needs_read());
    assert_eq!(
        pending_requests.take_timed_out(MonotonicTime::from_millis(1505), Duration::from_millis(1500)).len(),
        1
    );
    assert!(pending_requests.is_empty());
}
