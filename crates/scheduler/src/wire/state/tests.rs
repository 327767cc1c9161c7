use super::*;

#[test]
fn commits_are_serialized_as_the_store_protocol_requires() {
    let request = StoreRequest::Commit {
        conditions: vec![("a/b".into(), Revision(0))],
        changes: vec![
            Change::Put { key: "a/b".into(), value: "{\"x\":1}".into(), lease: Some(LeaseId(7)) },
            Change::Delete { key: "c/d".into() },
        ],
    };
    let HttpRequest { path, body, .. } = request.http();
    assert_eq!(path, "/multi");
    assert_eq!(
        String::from_utf8_lossy(&body),
        r#"{"if":[{"k":"a/b","stamp":0}],"apply":[{"set":"a/b","v":{"x":1},"permit":7},{"drop":"c/d"}]}"#
    );
    assert_eq!(
        request.reply(409, br#"{"failed":["a/b"],"epoch":431}"#),
        StoreReply::Conflict { failed: vec!["a/b".into()] }
    );
    assert_eq!(request.reply(400, br#"{"error":"no such lease"}"#), StoreReply::LeaseExpired);
    assert_eq!(request.reply(200, b"garbage"), StoreReply::Unknown);
    assert_eq!(request.reply(503, b""), StoreReply::Refused);
}

#[test]
fn watch_replies_are_parsed_with_puts_and_deletes() {
    let request = StoreRequest::Watch { prefix: "c/", from: 431, block_ms: 10 };
    let reply = request.reply(
        200,
        br#"{"epoch":433,"news":[{"set":"c/9","v":{"y":2},"stamp":433},{"drop":"c/d","stamp":432}]}"#,
    );
    let StoreReply::Events { store_revision, events } = reply else { panic!("must be events") };
    assert_eq!((store_revision, events.len()), (433, 2));
    assert_eq!(events[1], Event::Delete { key: "c/d".into(), revision: Revision(432) });
    assert_eq!(request.reply(410, b""), StoreReply::TooOld);
}
