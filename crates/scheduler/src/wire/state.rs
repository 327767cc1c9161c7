//! Controller nodes -> state service.

use crate::types::{Permit, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A stored value, kept as the JSON text it is.
pub type Value = String;

#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Put { key: String, value: Value, permit: Option<Permit> },
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
pub enum StateRequest {
    Get { key: String },
    Range { prefix: &'static str, after: Option<String>, most: u32 },
    Commit { conditions: Vec<(String, Stamp)>, changes: Vec<Change> },
    Grant { life_ms: u64 },
    Renew { permit: Permit },
    Watch { prefix: &'static str, from: u64, block_ms: u64 },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    pub key: String,
    pub value: Value,
    pub stamp: Stamp,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Put(Pair),
    Delete { key: String, stamp: Stamp },
}

#[derive(Debug, Clone, PartialEq)]
pub enum StateReply {
    Found(Pair),
    Missing {
        epoch: u64,
    },
    Pairs {
        pairs: Vec<Pair>,
        more: bool,
        epoch: u64,
    },
    Committed {
        epoch: u64,
    },
    /// The conditions on these keys did not hold; nothing was changed.
    Conflict {
        failed: Vec<String>,
    },
    Granted(Permit),
    Renewed,
    /// The grant has ended.
    NoGrant,
    Events {
        epoch: u64,
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
    stamp: Stamp,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Apply<'a> {
    Set {
        set: &'a str,
        v: &'a RawValue,
        #[serde(skip_serializing_if = "Option::is_none")]
        permit: Option<Permit>,
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

impl StateRequest {
    /// Method, path and body.
    pub fn http(&self) -> (http::Method, String, Vec<u8>) {
        use http::Method;
        match self {
            StateRequest::Get { key } => (Method::GET, format!("/kv/{key}"), Vec::new()),
            StateRequest::Range { prefix, after, most } => {
                let after = after.as_ref().map(|a| format!("&from={a}")).unwrap_or_default();
                (Method::GET, format!("/kv?under={prefix}{after}&most={most}"), Vec::new())
            }
            StateRequest::Commit { conditions, changes } => {
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
                        (Change::Put { key, permit, .. }, Some(v)) => {
                            Apply::Set { set: key, v, permit: *permit }
                        }
                        _ => Apply::Drop { drop: change.key() },
                    })
                    .collect();
                let conditions = conditions.iter().map(|(k, s)| Condition { k, stamp: *s }).collect();
                let body = serde_json::to_vec(&Multi { conditions, apply }).unwrap_or_default();
                (Method::POST, "/multi".into(), body)
            }
            StateRequest::Grant { life_ms } => {
                (Method::POST, "/grants".into(), format!("{{\"life_ms\":{life_ms}}}").into_bytes())
            }
            StateRequest::Renew { permit } => {
                (Method::POST, format!("/grants/{permit}/renew"), b"{}".to_vec())
            }
            StateRequest::Watch { prefix, from, block_ms } => {
                (Method::GET, format!("/watch?under={prefix}&from={from}&block_ms={block_ms}"), Vec::new())
            }
        }
    }

    /// Reads the answer.
    pub fn reply(&self, status: u16, body: &[u8]) -> StateReply {
        #[derive(Deserialize)]
        struct WirePair<'a> {
            k: String,
            #[serde(borrow)]
            v: &'a RawValue,
            stamp: Stamp,
        }
        #[derive(Deserialize)]
        struct Pairs<'a> {
            #[serde(borrow)]
            pairs: Vec<WirePair<'a>>,
            #[serde(default)]
            more: bool,
            epoch: u64,
        }
        #[derive(Deserialize)]
        struct Epoch {
            epoch: u64,
        }
        #[derive(Deserialize)]
        struct Failed {
            #[serde(default)]
            failed: Vec<String>,
        }
        #[derive(Deserialize)]
        struct Granted {
            permit: Permit,
        }
        #[derive(Deserialize)]
        struct WireEvent<'a> {
            #[serde(default)]
            set: Option<String>,
            #[serde(default, borrow)]
            v: Option<&'a RawValue>,
            #[serde(default)]
            drop: Option<String>,
            stamp: Stamp,
        }
        #[derive(Deserialize)]
        struct Events<'a> {
            epoch: u64,
            #[serde(default, borrow)]
            news: Vec<WireEvent<'a>>,
        }
        fn pair(p: WirePair) -> Pair {
            Pair { key: p.k, value: p.v.get().to_string(), stamp: p.stamp }
        }
        // A body that can't be read leaves open what happened.
        let read = || -> Option<StateReply> {
            Some(match (self, status) {
                (StateRequest::Get { .. }, 200) => {
                    StateReply::Found(pair(serde_json::from_slice(body).ok()?))
                }
                (StateRequest::Get { .. }, 404) => {
                    StateReply::Missing { epoch: serde_json::from_slice::<Epoch>(body).ok()?.epoch }
                }
                (StateRequest::Range { .. }, 200) => {
                    let p: Pairs = serde_json::from_slice(body).ok()?;
                    let pairs = p.pairs.into_iter().map(pair).collect();
                    StateReply::Pairs { pairs, more: p.more, epoch: p.epoch }
                }
                (StateRequest::Commit { .. }, 200) => {
                    StateReply::Committed { epoch: serde_json::from_slice::<Epoch>(body).ok()?.epoch }
                }
                (StateRequest::Commit { .. }, 409) => {
                    StateReply::Conflict { failed: serde_json::from_slice::<Failed>(body).ok()?.failed }
                }
                (StateRequest::Commit { .. }, 400) if memmem(body, b"no such lease") => StateReply::NoGrant,
                (StateRequest::Grant { .. }, 200) => {
                    StateReply::Granted(serde_json::from_slice::<Granted>(body).ok()?.permit)
                }
                (StateRequest::Renew { .. }, 200) => StateReply::Renewed,
                (StateRequest::Renew { .. }, 404) => StateReply::NoGrant,
                (StateRequest::Watch { .. }, 200) => {
                    let e: Events = serde_json::from_slice(body).ok()?;
                    let events = e
                        .news
                        .into_iter()
                        .filter_map(|n| match (n.set, n.v, n.drop) {
                            (Some(key), Some(v), _) => {
                                Some(Event::Put(Pair { key, value: v.get().to_string(), stamp: n.stamp }))
                            }
                            (_, _, Some(key)) => Some(Event::Delete { key, stamp: n.stamp }),
                            _ => None,
                        })
                        .collect();
                    StateReply::Events { epoch: e.epoch, events }
                }
                (_, 410) => StateReply::TooOld,
                (_, 429 | 503) => StateReply::Refused,
                (_, 400) => StateReply::Malformed,
                _ => return None,
            })
        };
        read().unwrap_or(StateReply::Unknown)
    }
}

fn memmem(hay: &[u8], needle: &[u8]) -> bool {
    hay.windows(needle.len()).any(|w| w == needle)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
