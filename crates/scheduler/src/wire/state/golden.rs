//! Golden bytes between this node and the key-value store: every request, and the parsed form of every
//! answer.

use super::*;
use crate::golden::{recorded, request_line};
use crate::golden_group;

const REPLIES: &str = include_str!("../../../tests/golden/state_replies_read.txt");

fn get() -> StoreRequest {
    StoreRequest::Get { key: "leader".into() }
}
fn range(after: Option<String>) -> StoreRequest {
    StoreRequest::Range { prefix: "j/", after, limit: 500 }
}
fn commit() -> StoreRequest {
    let put = |key: &str, lease| Change::Put { key: key.into(), value: "{\"x\":[1, 2]}".into(), lease };
    StoreRequest::Commit {
        conditions: vec![("leader".into(), Revision(412)), ("j/req-1".into(), Revision(0))],
        changes: vec![
            put("j/req-1", None),
            put("leader", Some(LeaseId(77))),
            Change::Delete { key: "m/m-1".into() },
        ],
    }
}
fn grant() -> StoreRequest {
    StoreRequest::GrantLease { ttl_ms: 4000 }
}
fn renew() -> StoreRequest {
    StoreRequest::RenewLease { lease: LeaseId(77) }
}
fn watch() -> StoreRequest {
    StoreRequest::Watch { prefix: "j/", from: 900, block_ms: 1000 }
}

#[test]
fn golden_requests_to_the_store() {
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

fn pair(key: &str, value: &str, revision: u64) -> Pair {
    Pair { key: key.into(), value: value.into(), revision: Revision(revision) }
}

#[test]
fn golden_answers_of_the_store() {
    let pairs = vec![pair("j/req-1", "\"done\"", 5), pair("j/req-2", "{\"open\":{}}", 6)];
    let events = vec![
        Event::Put(pair("j/req-1", "\"done\"", 905)),
        Event::Delete { key: "j/req-2".into(), revision: Revision(906) },
    ];
    let cases = [
        ("found", get(), 200, StoreReply::Found(pair("leader", "{\"node\":\"n1\"}", 412))),
        ("missing", get(), 404, StoreReply::Missing { store_revision: 913 }),
        ("pairs", range(None), 200, StoreReply::Pairs { pairs, more: true, store_revision: 914 }),
        (
            "no pairs",
            range(None),
            200,
            StoreReply::Pairs { pairs: Vec::new(), more: false, store_revision: 915 },
        ),
        ("committed", commit(), 200, StoreReply::Committed { store_revision: 916 }),
        ("conflict", commit(), 409, StoreReply::Conflict { failed: vec!["leader".into(), "j/req-1".into()] }),
        ("commit under no grant", commit(), 400, StoreReply::LeaseExpired),
        ("malformed", commit(), 400, StoreReply::Malformed),
        ("granted", grant(), 200, StoreReply::LeaseGranted(LeaseId(77))),
        ("renewed", renew(), 200, StoreReply::LeaseRenewed),
        ("renewal under no grant", renew(), 404, StoreReply::LeaseExpired),
        ("events", watch(), 200, StoreReply::Events { store_revision: 917, events }),
        ("no events", watch(), 200, StoreReply::Events { store_revision: 918, events: Vec::new() }),
        ("too old", watch(), 410, StoreReply::TooOld),
        ("refused", commit(), 429, StoreReply::Refused),
        ("away", commit(), 503, StoreReply::Refused),
        ("not understood", get(), 200, StoreReply::Unknown),
    ];
    for (name, request, status, expected) in cases {
        assert_eq!(request.reply(status, recorded(REPLIES, name).as_bytes()), expected, "{name}");
    }
}
