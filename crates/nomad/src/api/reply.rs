//! Answers to clients, and how they become actions of the node.

use pearford_scheduler::extension::Action;
use pearford_scheduler::types::RequestId;
use serde_json::Value;

/// HTTP status codes that the API answers with.
pub mod status {
    /// The answer holds what was requested.
    pub const OK: u16 = 200;
    /// The request is malformed, or the job in it is at fault.
    pub const BAD_REQUEST: u16 = 400;
    /// The token is unknown, or does not reach the namespace.
    pub const FORBIDDEN: u16 = 403;
    /// There is no such path, or no such object.
    pub const NOT_FOUND: u16 = 404;
    /// The path does not take this method.
    pub const METHOD_NOT_ALLOWED: u16 = 405;
    /// The job has changed since the client read it.
    pub const CONFLICT: u16 = 409;
    /// The store refuses the records as they are.
    pub const UNPROCESSABLE: u16 = 422;
    /// A bound on requests or writes is reached; the client is to retry.
    pub const TOO_MANY_REQUESTS: u16 = 429;
    /// A record can't be decoded.
    pub const INTERNAL_ERROR: u16 = 500;
    /// Nomad has it, pearford does not.
    pub const NOT_IMPLEMENTED: u16 = 501;
    /// Records can't be read or written now; the client is to retry.
    pub const UNAVAILABLE: u16 = 503;
}

/// Seconds after which a client is to retry.
const RETRY_AFTER_S: u32 = 1;

/// An answer before it is sent.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Revision that the answer is as of, for blocking queries; none for what has no index.
    pub index: Option<u64>,
    /// Where the next page begins, if there is one.
    pub next_token: Option<String>,
    /// Whether the client is to retry.
    pub retry: bool,
    /// JSON, or the text of an error.
    pub body: String,
}

impl Reply {
    /// An answer in JSON.
    pub fn json(status: u16, index: Option<u64>, value: &Value) -> Self {
        Self { status, index, next_token: None, retry: false, body: value.to_string() }
    }

    /// An error. Clients show its text as it is.
    pub fn error(status: u16, reason: impl Into<String>) -> Self {
        let retry = matches!(status, status::TOO_MANY_REQUESTS | status::UNAVAILABLE);
        Self { status, index: None, next_token: None, retry, body: reason.into() }
    }
}

/// Why a request is refused, before anything is done for it.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// What is wrong and what to do instead, as the client shows it.
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

/// The actions of a step that does nothing but answer a request.
pub fn respond(request: RequestId, reply: impl Into<Reply>) -> Vec<Action> {
    vec![send(request, reply.into())]
}
