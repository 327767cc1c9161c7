//! Golden bytes between this node and the state service: every request, and how every answer is read.

use super::*;
use crate::golden::{recorded, request_line};
use crate::golden_group;

const REPLIES: &str = include_str!("../../../tests/golden/state_replies_read.txt");

fn get() -> StateRequest {
    StateRequest::Get { key: "leader".into() }
}
fn range(after: Option<String>) -> StateRequest {
    StateRequest::Range { prefix: "j/", after, most: 500 }
}
fn commit() -> StateRequest {
    let put = |key: &str, permit| Change::Put { key: key.into(), value: "{\"x\":[1, 2]}".into(), permit };
    StateRequest::Commit {
        conditions: vec![("leader".into(), Stamp(412)), ("j/req-1".into(), Stamp(0))],
        changes: vec![
            put("j/req-1", None),
            put("leader", Some(Permit(77))),
            Change::Delete { key: "m/m-1".into() },
        ],
    }
}
fn grant() -> StateRequest {
    StateRequest::Grant { life_ms: 4000 }
}
fn renew() -> StateRequest {
    StateRequest::Renew { permit: Permit(77) }
}
fn watch() -> StateRequest {
    StateRequest::Watch { prefix: "j/", from: 900, block_ms: 1000 }
}

#[test]
fn golden_requests_to_the_state_service() {
    let requests = [
        ("get", get()),
        ("range", range(None)),
        ("range, further page", range(Some("j/req-000412".into()))),
        ("commit", commit()),
        ("grant", grant()),
        ("renew", renew()),
        ("watch", watch()),
    ];
    let mut group = golden_group!("state_requests.txt");
    for (name, request) in requests {
        group.writes(name, request_line(request.http()));
    }
    group.finish();
}

fn pair(key: &str, value: &str, stamp: u64) -> Pair {
    Pair { key: key.into(), value: value.into(), stamp: Stamp(stamp) }
}

#[test]
fn golden_answers_of_the_state_service() {
    let pairs = vec![pair("j/req-1", "\"done\"", 5), pair("j/req-2", "{\"open\":{}}", 6)];
    let events = vec![
        Event::Put(pair("j/req-1", "\"done\"", 905)),
        Event::Delete { key: "j/req-2".into(), stamp: Stamp(906) },
    ];
    let cases = [
        ("found", get(), 200, StateReply::Found(pair("leader", "{\"node\":\"n1\"}", 412))),
        ("missing", get(), 404, StateReply::Missing { epoch: 913 }),
        ("pairs", range(None), 200, StateReply::Pairs { pairs, more: true, epoch: 914 }),
        ("no pairs", range(None), 200, StateReply::Pairs { pairs: Vec::new(), more: false, epoch: 915 }),
        ("committed", commit(), 200, StateReply::Committed { epoch: 916 }),
        ("conflict", commit(), 409, StateReply::Conflict { failed: vec!["leader".into(), "j/req-1".into()] }),
        ("commit under no grant", commit(), 400, StateReply::NoGrant),
        ("malformed", commit(), 400, StateReply::Malformed),
        ("granted", grant(), 200, StateReply::Granted(Permit(77))),
        ("renewed", renew(), 200, StateReply::Renewed),
        ("renewal under no grant", renew(), 404, StateReply::NoGrant),
        ("events", watch(), 200, StateReply::Events { epoch: 917, events }),
        ("no events", watch(), 200, StateReply::Events { epoch: 918, events: Vec::new() }),
        ("too old", watch(), 410, StateReply::TooOld),
        ("refused", commit(), 429, StateReply::Refused),
        ("away", commit(), 503, StateReply::Refused),
        ("not understood", get(), 200, StateReply::Unknown),
    ];
    for (name, request, status, expected) in cases {
        assert_eq!(request.reply(status, recorded(REPLIES, name).as_bytes()), expected, "{name}");
    }
}
