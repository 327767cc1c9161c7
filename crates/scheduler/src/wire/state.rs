//! Controller nodes -> key-value store: reads, transactions, leases and watches.

use super::{HttpRequest, read, write};
use crate::types::{LeaseId, Revision};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A stored value, as JSON text.
pub type Value = String;

/// Upper estimate of the bytes around the key and value of a put in a transaction.
const PUT_OVERHEAD: usize = 64;
/// Upper estimate of the bytes around the key of a delete in a transaction.
const DELETE_OVERHEAD: usize = 32;
/// Part of the error text for a transaction that names an expired lease.
const EXPIRED_LEASE: &[u8] = b"no such lease";

/// A change of one key in a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Sets the key.
    Put {
        /// The key.
        key: String,
        /// Its value, a JSON text.
        value: Value,
        /// The lease whose expiry deletes the key, if any.
        lease: Option<LeaseId>,
    },
    /// Deletes the key.
    Delete {
        /// The key.
        key: String,
    },
}

impl Change {
    /// The key that changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }

    /// Upper estimate of the bytes that it takes in a transaction's body.
    pub fn size(&self) -> usize {
        match self {
            Change::Put { key, value, .. } => key.len() + value.len() + PUT_OVERHEAD,
            Change::Delete { key } => key.len() + DELETE_OVERHEAD,
        }
    }
}

/// A request to the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read a key.
    Get {
        /// The key.
        key: String,
    },
    /// Read keys that have a prefix, in order.
    Range {
        /// The prefix.
        prefix: &'static str,
        /// Only keys after this one.
        after: Option<String>,
        /// Maximum number of keys in the answer.
        limit: u32,
    },
    /// Make all changes if all conditions hold, else none.
    Commit {
        /// Keys, and the revision that each must have; revision 0 means that the key must be absent.
        conditions: Vec<(String, Revision)>,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Grant a lease.
    GrantLease {
        /// Time, in ms, after which it expires unless it is renewed.
        ttl_ms: u64,
    },
    /// Renew a lease for its full duration.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Read the changes of keys that have a prefix, or wait for one.
    Watch {
        /// The prefix.
        prefix: &'static str,
        /// Only changes after this revision of the store.
        from: u64,
        /// Maximum time, in ms, to wait for a change.
        block_ms: u64,
    },
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// Its value, a JSON text.
    pub value: Value,
    /// The revision at which the value was stored.
    pub revision: Revision,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The key was set.
    Put(Pair),
    /// The key was deleted, or its lease expired.
    Delete {
        /// The key.
        key: String,
        /// The revision at which it was deleted.
        revision: Revision,
    },
}

/// The store's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The key's value.
    Found(Pair),
    /// The key is absent.
    Missing {
        /// Revision of the store at the read.
        store_revision: u64,
    },
    /// A page of keys.
    Pairs {
        /// The keys, in order.
        pairs: Vec<Pair>,
        /// Whether there are further keys after these.
        more: bool,
        /// Revision of the store at the read.
        store_revision: u64,
    },
    /// The transaction was committed.
    Committed {
        /// The revision that the changed keys have now.
        store_revision: u64,
    },
    /// The conditions on these keys did not hold; nothing was changed.
    Conflict {
        /// The keys.
        failed: Vec<String>,
    },
    /// The new lease.
    LeaseGranted(LeaseId),
    /// The lease was renewed.
    LeaseRenewed,
    /// The lease has expired.
    LeaseExpired,
    /// Changes, oldest first; none if the wait ended without one.
    Events {
        /// All changes up to this revision are reported.
        store_revision: u64,
        /// The changes.
        events: Vec<Event>,
    },
    /// The store no longer has all changes since the watch's start revision: the keys must be read again.
    TooOld,
    /// Not executed: a rate limit was exceeded, or the store is unavailable.
    Refused,
    /// Rejected as malformed: a retry would be rejected too.
    Malformed,
    /// No usable answer: the request may have been executed, or may still be.
    Unknown,
}

#[derive(Serialize)]
struct Condition<'a> {
    k: &'a str,
    #[serde(rename = "stamp")]
    revision: Revision,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Apply<'a> {
    Set {
        set: &'a str,
        v: &'a RawValue,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Drop {
        drop: &'a str,
    },
}

#[derive(Serialize)]
struct Multi<'a> {
    #[serde(rename = "if")]
    conditions: Vec<Condition<'a>>,
    apply: Vec<Apply<'a>>,
}

#[derive(Deserialize)]
struct PairBody<'a> {
    k: String,
    #[serde(borrow)]
    v: &'a RawValue,
    #[serde(rename = "stamp")]
    revision: Revision,
}

#[derive(Deserialize)]
struct PairsBody<'a> {
    #[serde(borrow)]
    pairs: Vec<PairBody<'a>>,
    #[serde(default)]
    more: bool,
    #[serde(rename = "epoch")]
    store_revision: u64,
}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(rename = "epoch")]
    store_revision: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(rename = "permit")]
    lease: LeaseId,
}

#[derive(Deserialize)]
struct EventBody<'a> {
    #[serde(default)]
    set: Option<String>,
    #[serde(default, borrow)]
    v: Option<&'a RawValue>,
    #[serde(default)]
    drop: Option<String>,
    #[serde(rename = "stamp")]
    revision: Revision,
}

#[derive(Deserialize)]
struct EventsBody<'a> {
    #[serde(rename = "epoch")]
    store_revision: u64,
    #[serde(default, borrow)]
    news: Vec<EventBody<'a>>,
}

impl StoreRequest {
    /// The HTTP request.
    pub fn http(&self) -> HttpRequest {
        match self {
            StoreRequest::Get { key } => HttpRequest::get(format!("/kv/{key}")),
            StoreRequest::Range { prefix, after, limit } => {
                let after = after.as_ref().map(|after| format!("&from={after}")).unwrap_or_default();
                HttpRequest::get(format!("/kv?under={prefix}{after}&most={limit}"))
            }
            StoreRequest::Commit { conditions, changes } => {
                HttpRequest::post("/multi", commit_body(conditions, changes))
            }
            StoreRequest::GrantLease { ttl_ms } => {
                HttpRequest::post("/grants", format!("{{\"life_ms\":{ttl_ms}}}").into_bytes())
            }
            StoreRequest::RenewLease { lease } => {
                HttpRequest::post(format!("/grants/{lease}/renew"), b"{}".to_vec())
            }
            StoreRequest::Watch { prefix, from, block_ms } => {
                HttpRequest::get(format!("/watch?under={prefix}&from={from}&block_ms={block_ms}"))
            }
        }
    }

    /// Parses the HTTP answer.
    pub fn reply(&self, status: u16, body: &[u8]) -> StoreReply {
        // The outcome is unknown if the body can't be parsed.
        self.read_reply(status, body).unwrap_or(StoreReply::Unknown)
    }

    fn read_reply(&self, status: u16, body: &[u8]) -> Option<StoreReply> {
        let Ok(status) = StatusCode::from_u16(status) else { return None };
        match (self, status) {
            (StoreRequest::Get { .. }, StatusCode::OK) => found(body),
            (StoreRequest::Get { .. }, StatusCode::NOT_FOUND) => missing(body),
            (StoreRequest::Range { .. }, StatusCode::OK) => pairs(body),
            (StoreRequest::Commit { .. }, StatusCode::OK) => committed(body),
            (StoreRequest::Commit { .. }, StatusCode::CONFLICT) => conflict(body),
            (StoreRequest::Commit { .. }, StatusCode::BAD_REQUEST) if contains(body, EXPIRED_LEASE) => {
                Some(StoreReply::LeaseExpired)
            }
            (StoreRequest::GrantLease { .. }, StatusCode::OK) => lease_granted(body),
            (StoreRequest::RenewLease { .. }, StatusCode::OK) => Some(StoreReply::LeaseRenewed),
            (StoreRequest::RenewLease { .. }, StatusCode::NOT_FOUND) => Some(StoreReply::LeaseExpired),
            (StoreRequest::Watch { .. }, StatusCode::OK) => events(body),
            (_, StatusCode::GONE) => Some(StoreReply::TooOld),
            (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Some(StoreReply::Refused),
            (_, StatusCode::BAD_REQUEST) => Some(StoreReply::Malformed),
            _ => None,
        }
    }
}

fn commit_body(conditions: &[(String, Revision)], changes: &[Change]) -> Vec<u8> {
    let conditions = conditions.iter().map(|(key, revision)| Condition { k: key, revision: *revision });
    let multi = Multi { conditions: conditions.collect(), apply: changes.iter().map(apply).collect() };
    write(&multi)
}

/// A value that isn't JSON is written as a delete.
fn apply(change: &Change) -> Apply<'_> {
    if let Change::Put { key, value, lease } = change
        && let Ok(value) = serde_json::from_str(value)
    {
        return Apply::Set { set: key, v: value, lease: *lease };
    }
    Apply::Drop { drop: change.key() }
}

fn found(body: &[u8]) -> Option<StoreReply> {
    let pair: PairBody = serde_json::from_slice(body).ok()?;
    Some(StoreReply::Found(pair.into()))
}

fn missing(body: &[u8]) -> Option<StoreReply> {
    let RevisionBody { store_revision } = read(body)?;
    Some(StoreReply::Missing { store_revision })
}

fn pairs(body: &[u8]) -> Option<StoreReply> {
    let PairsBody { pairs, more, store_revision } = serde_json::from_slice(body).ok()?;
    Some(StoreReply::Pairs { pairs: pairs.into_iter().map(Pair::from).collect(), more, store_revision })
}

fn committed(body: &[u8]) -> Option<StoreReply> {
    let RevisionBody { store_revision } = read(body)?;
    Some(StoreReply::Committed { store_revision })
}

fn conflict(body: &[u8]) -> Option<StoreReply> {
    let ConflictBody { failed } = read(body)?;
    Some(StoreReply::Conflict { failed })
}

fn lease_granted(body: &[u8]) -> Option<StoreReply> {
    let LeaseBody { lease } = read(body)?;
    Some(StoreReply::LeaseGranted(lease))
}

fn events(body: &[u8]) -> Option<StoreReply> {
    let EventsBody { store_revision, news } = serde_json::from_slice(body).ok()?;
    Some(StoreReply::Events { store_revision, events: news.into_iter().filter_map(event).collect() })
}

/// `None` for a kind of event that this version doesn't know.
fn event(body: EventBody) -> Option<Event> {
    match (body.set, body.v, body.drop) {
        (Some(key), Some(value), _) => {
            Some(Event::Put(Pair { key, value: value.get().to_string(), revision: body.revision }))
        }
        (_, _, Some(key)) => Some(Event::Delete { key, revision: body.revision }),
        _ => None,
    }
}

impl From<PairBody<'_>> for Pair {
    fn from(body: PairBody<'_>) -> Self {
        Self { key: body.k, value: body.v.get().to_string(), revision: body.revision }
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
