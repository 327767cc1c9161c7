//! Answers to clients, and their conversion to actions of the node.

use pearford_scheduler::extension::Action;
use pearford_scheduler::types::RequestId;
use serde_json::Value;

/// HTTP status codes that the API answers with.
pub mod status {
    /// The answer holds what was requested.
    pub const OK: u16 = 200;
    /// The request is malformed, or its job is invalid.
    pub const BAD_REQUEST: u16 = 400;
    /// The token is unknown or has no access to the namespace.
    pub const FORBIDDEN: u16 = 403;
    /// The path or the object does not exist.
    pub const NOT_FOUND: u16 = 404;
    /// The path does not allow this method.
    pub const METHOD_NOT_ALLOWED: u16 = 405;
    /// The job has changed since the client read it.
    pub const CONFLICT: u16 = 409;
    /// The job fails admission, or its records exceed the store's limits.
    pub const UNPROCESSABLE: u16 = 422;
    /// A limit on requests or writes is reached; the client should retry.
    pub const TOO_MANY_REQUESTS: u16 = 429;
    /// A record can't be decoded.
    pub const INTERNAL_ERROR: u16 = 500;
    /// A part of Nomad's API that pearford does not support.
    pub const NOT_IMPLEMENTED: u16 = 501;
    /// Records can't be read or written at present; the client should retry.
    pub const UNAVAILABLE: u16 = 503;
}

/// Seconds after which a client should retry.
const RETRY_AFTER_S: u32 = 1;

/// An answer before it is sent.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The answer's index, which blocking queries compare; none for answers without an index.
    pub index: Option<u64>,
    /// Token of the next page, if there is one.
    pub next_token: Option<String>,
    /// Whether the client should retry.
    pub retry: bool,
    /// JSON, or an error's text.
    pub body: String,
}

impl Reply {
    /// An answer in JSON.
    pub fn json(status: u16, index: Option<u64>, value: &Value) -> Self {
        Self { status, index, next_token: None, retry: false, body: value.to_string() }
    }

    /// An error. Clients display its text unchanged.
    pub fn error(status: u16, reason: impl Into<String>) -> Self {
        let retry = matches!(status, status::TOO_MANY_REQUESTS | status::UNAVAILABLE);
        Self { status, index: None, next_token: None, retry, body: reason.into() }
    }
}

/// The refusal of a request before any write.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// The fault and its remedy; clients display this text.
    pub reason: String,
}

impl Refusal {
    /// A refusal with a status and its reason.
    pub fn new(status: u16, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into() }
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        Self::error(refusal.status, refusal.reason)
    }
}

/// The action that answers a request.
pub fn send(request: RequestId, reply: Reply) -> Action {
    let mut headers = Vec::new();
    if let Some(index) = reply.index {
        headers.push(("x-nomad-index", index.to_string()));
        headers.push(("x-nomad-knownleader", "true".into()));
        headers.push(("x-nomad-lastcontact", "0".into()));
    }
    if let Some(next) = reply.next_token {
        headers.push(("x-nomad-nexttoken", next));
    }
    let retry_after_s = reply.retry.then_some(RETRY_AFTER_S);
    Action::Answer { request, status: reply.status, retry_after_s, headers, body: reply.body }
}

/// The actions of a step that only answers a request.
pub fn respond(request: RequestId, reply: impl Into<Reply>) -> Vec<Action> {
    vec![send(request, reply.into())]
}
