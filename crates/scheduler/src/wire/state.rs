//! Controller nodes -> state service.

use crate::types::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A stored value, kept as the JSON text it is.
pub type Value = String;

#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Put { key: String, value: Value, lease: Option<LeaseId> },
    Delete { key: String },
}

impl Change {
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
    pub fn size(&self) -> usize {
        match self {
            Change::Put { key, value, .. } => key.len() + value.len() + 64,
            Change::Delete { key } => key.len() + 32,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    Get { key: String },
    Range { prefix: &'static str, after: Option<String>, most: u32 },
    Commit { conditions: Vec<(String, Revision)>, changes: Vec<Change> },
    GrantLease { life_ms: u64 },
    RenewLease { lease: LeaseId },
    Watch { prefix: &'static str, from: u64, block_ms: u64 },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    pub key: String,
    pub value: Value,
    pub revision: Revision,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Put(Pair),
    Delete { key: String, revision: Revision },
}

#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    Found(Pair),
    Missing {
        store_revision: u64,
    },
    Pairs {
        pairs: Vec<Pair>,
        more: bool,
        store_revision: u64,
    },
    Committed {
        store_revision: u64,
    },
    /// The conditions on these keys did not hold; nothing was changed.
    Conflict {
        failed: Vec<String>,
    },
    LeaseGranted(LeaseId),
    LeaseRenewed,
    /// The grant has ended.
    LeaseExpired,
    Events {
        store_revision: u64,
        events: Vec<Event>,
    },
    /// The watch's start is too old: read the keys again.
    TooOld,
    /// Not executed: over a rate limit, or the service is away.
    Refused,
    /// Refused for good: malformed.
    Malformed,
    /// No answer: may have been executed or be executed later.
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

impl StoreRequest {
    /// Method, path and body.
    pub fn http(&self) -> (http::Method, String, Vec<u8>) {
        use http::Method;
        match self {
            StoreRequest::Get { key } => (Method::GET, format!("/kv/{key}"), Vec::new()),
            StoreRequest::Range { prefix, after, most } => {
                let after = after.as_ref().map(|a| format!("&from={a}")).unwrap_or_default();
                (Method::GET, format!("/kv?under={prefix}{after}&most={most}"), Vec::new())
            }
            StoreRequest::Commit { conditions, changes } => {
                let mut raw = Vec::with_capacity(changes.len());
                for change in changes {
                    raw.push(match change {
                        Change::Put { value, .. } => serde_json::from_str::<&RawValue>(value).ok(),
                        Change::Delete { .. } => None,
                    });
                }
                let apply = changes
                    .iter()
                    .zip(&raw)
                    .map(|(change, raw)| match (change, raw) {
                        (Change::Put { key, lease, .. }, Some(v)) => {
                            Apply::Set { set: key, v, lease: *lease }
                        }
                        _ => Apply::Drop { drop: change.key() },
                    })
                    .collect();
                let conditions = conditions.iter().map(|(k, s)| Condition { k, revision: *s }).collect();
                let body = serde_json::to_vec(&Multi { conditions, apply }).unwrap_or_default();
                (Method::POST, "/multi".into(), body)
            }
            StoreRequest::GrantLease { life_ms } => {
                (Method::POST, "/grants".into(), format!("{{\"life_ms\":{life_ms}}}").into_bytes())
            }
            StoreRequest::RenewLease { lease } => {
                (Method::POST, format!("/grants/{lease}/renew"), b"{}".to_vec())
            }
            StoreRequest::Watch { prefix, from, block_ms } => {
                (Method::GET, format!("/watch?under={prefix}&from={from}&block_ms={block_ms}"), Vec::new())
            }
        }
    }

    /// Reads the answer.
    pub fn reply(&self, status: u16, body: &[u8]) -> StoreReply {
        #[derive(Deserialize)]
        struct WirePair<'a> {
            k: String,
            #[serde(borrow)]
            v: &'a RawValue,
            #[serde(rename = "stamp")]
            revision: Revision,
        }
        #[derive(Deserialize)]
        struct Pairs<'a> {
            #[serde(borrow)]
            pairs: Vec<WirePair<'a>>,
            #[serde(default)]
            more: bool,
            #[serde(rename = "epoch")]
            store_revision: u64,
        }
        #[derive(Deserialize)]
        struct StoreRevision {
            #[serde(rename = "epoch")]
            store_revision: u64,
        }
        #[derive(Deserialize)]
        struct Failed {
            #[serde(default)]
            failed: Vec<String>,
        }
        #[derive(Deserialize)]
        struct LeaseGranted {
            #[serde(rename = "permit")]
            lease: LeaseId,
        }
        #[derive(Deserialize)]
        struct WireEvent<'a> {
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
        struct Events<'a> {
            #[serde(rename = "epoch")]
            store_revision: u64,
            #[serde(default, borrow)]
            news: Vec<WireEvent<'a>>,
        }
        fn pair(p: WirePair) -> Pair {
            Pair { key: p.k, value: p.v.get().to_string(), revision: p.revision }
        }
        // A body that can't be read leaves open what happened.
        let read = || -> Option<StoreReply> {
            Some(match (self, status) {
                (StoreRequest::Get { .. }, 200) => {
                    StoreReply::Found(pair(serde_json::from_slice(body).ok()?))
                }
                (StoreRequest::Get { .. }, 404) => StoreReply::Missing {
                    store_revision: serde_json::from_slice::<StoreRevision>(body).ok()?.store_revision,
                },
                (StoreRequest::Range { .. }, 200) => {
                    let p: Pairs = serde_json::from_slice(body).ok()?;
                    let pairs = p.pairs.into_iter().map(pair).collect();
                    StoreReply::Pairs { pairs, more: p.more, store_revision: p.store_revision }
                }
                (StoreRequest::Commit { .. }, 200) => StoreReply::Committed {
                    store_revision: serde_json::from_slice::<StoreRevision>(body).ok()?.store_revision,
                },
                (StoreRequest::Commit { .. }, 409) => {
                    StoreReply::Conflict { failed: serde_json::from_slice::<Failed>(body).ok()?.failed }
                }
                (StoreRequest::Commit { .. }, 400) if memmem(body, b"no such lease") => {
                    StoreReply::LeaseExpired
                }
                (StoreRequest::GrantLease { .. }, 200) => {
                    StoreReply::LeaseGranted(serde_json::from_slice::<LeaseGranted>(body).ok()?.lease)
                }
                (StoreRequest::RenewLease { .. }, 200) => StoreReply::LeaseRenewed,
                (StoreRequest::RenewLease { .. }, 404) => StoreReply::LeaseExpired,
                (StoreRequest::Watch { .. }, 200) => {
                    let e: Events = serde_json::from_slice(body).ok()?;
                    let events = e
                        .news
                        .into_iter()
                        .filter_map(|n| match (n.set, n.v, n.drop) {
                            (Some(key), Some(v), _) => Some(Event::Put(Pair {
                                key,
                                value: v.get().to_string(),
                                revision: n.revision,
                            })),
                            (_, _, Some(key)) => Some(Event::Delete { key, revision: n.revision }),
                            _ => None,
                        })
                        .collect();
                    StoreReply::Events { store_revision: e.store_revision, events }
                }
                (_, 410) => StoreReply::TooOld,
                (_, 429 | 503) => StoreReply::Refused,
                (_, 400) => StoreReply::Malformed,
                _ => return None,
            })
        };
        read().unwrap_or(StoreReply::Unknown)
    }
}

fn memmem(hay: &[u8], needle: &[u8]) -> bool {
    hay.windows(needle.len()).any(|w| w == needle)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
