//! Requests that the HTTP server passes to the controller, and the replies to them.

use http::StatusCode;
use pearford_scheduler::extension::Call;
use pearford_scheduler::node::Method;
use pearford_scheduler::types::RequestId;
use pearford_scheduler::wire::users;
use std::collections::HashMap;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// Sends requests to the event loop.
pub(super) type RequestSender = mpsc::Sender<PendingRequest>;

/// The content of a client's request to the controller.
pub(super) enum RequestContent {
    /// A request to the node's own API, from a user, a worker or an operator.
    Api {
        /// The HTTP method.
        method: Method,
        /// The path, still percent-encoded.
        path: String,
        /// The complete body.
        body: Vec<u8>,
    },
    /// A request to an extension's listener.
    Extension {
        /// The extension's index, in the order in which the extensions were registered with the controller.
        slot: usize,
        /// The request.
        call: Call,
    },
}

/// A request that waits for the controller.
pub(super) struct PendingRequest {
    /// When the request had been read completely.
    pub(super) received_at: Instant,
    /// The content.
    pub(super) content: RequestContent,
    /// The channel for the answer.
    pub(super) reply: oneshot::Sender<Reply>,
}

/// An answer, before it becomes an HTTP response.
pub(super) struct Reply {
    /// The HTTP status.
    pub(super) status: StatusCode,
    /// Time, in seconds, after which the client may retry.
    pub(super) retry_after_s: Option<u32>,
    /// Additional headers.
    pub(super) headers: Vec<(&'static str, String)>,
    /// The body, in JSON.
    pub(super) body: String,
}

impl Reply {
    /// The refusal of a request because too many requests are pending.
    pub(super) fn too_many_requests(retry_after_s: u32) -> Self {
        Self::unavailable(retry_after_s, "too many requests wait here; come back")
    }

    /// The reply to a request that the controller did not answer in time.
    pub(super) fn timed_out(retry_after_s: u32) -> Self {
        Self::unavailable(retry_after_s, "no answer in time; come back")
    }

    /// An error after which a retry is pointless.
    pub(super) fn error(status: StatusCode, reason: &str) -> Self {
        Self { status, retry_after_s: None, headers: Vec::new(), body: users::error(reason) }
    }

    fn unavailable(retry_after_s: u32, reason: &str) -> Self {
        Self { retry_after_s: Some(retry_after_s), ..Self::error(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }
}

/// The requests that were passed to the controller and not answered yet.
#[derive(Default)]
pub(super) struct PendingAnswers {
    last_request: u64,
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
}

impl PendingAnswers {
    /// Assigns a request its id, counting from 1, and stores the channel for its answer.
    pub(super) fn register(&mut self, reply: oneshot::Sender<Reply>) -> RequestId {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.replies.insert(request, reply);
        request
    }

    /// Sends the answer to a request's client. Has no effect if the request was answered already or the
    /// client has disconnected.
    pub(super) fn deliver(&mut self, request: RequestId, answer: Reply) {
        if let Some(reply) = self.replies.remove(&request) {
            let _ = reply.send(answer);
        }
    }
}
