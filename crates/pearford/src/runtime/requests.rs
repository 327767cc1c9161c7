//! Requests on their way from the HTTP server to the controller, and replies on their way back.

use http::StatusCode;
use pearford_scheduler::extension::Call;
use pearford_scheduler::node::Method;
use pearford_scheduler::types::RequestId;
use pearford_scheduler::wire::users;
use std::collections::HashMap;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// Hands requests to the event loop.
pub(super) type RequestSender = mpsc::Sender<PendingRequest>;

/// What a client asks of the controller.
pub(super) enum RequestContent {
    /// A request to the node's own API, of a user, a worker or an operator.
    Api {
        /// The HTTP method.
        method: Method,
        /// The path, still escaped.
        path: String,
        /// The whole body.
        body: Vec<u8>,
    },
    /// A request to an extension's listener.
    Extension {
        /// The extension's number, in the order in which they were given to the controller.
        slot: usize,
        /// The request.
        call: Call,
    },
}

/// A request that waits for the controller.
pub(super) struct PendingRequest {
    /// When it had been read in full.
    pub(super) received_at: Instant,
    /// What is asked.
    pub(super) content: RequestContent,
    /// Where the answer goes.
    pub(super) reply: oneshot::Sender<Reply>,
}

/// An answer, before it becomes an HTTP response.
pub(super) struct Reply {
    /// The HTTP status.
    pub(super) status: StatusCode,
    /// When the client may try again, in seconds.
    pub(super) retry_after_s: Option<u32>,
    /// Headers besides the usual ones.
    pub(super) headers: Vec<(&'static str, String)>,
    /// The body, in JSON.
    pub(super) body: String,
}

impl Reply {
    /// The refusal of a request because too many wait.
    pub(super) fn too_many_requests(retry_after_s: u32) -> Self {
        Self::unavailable(retry_after_s, "too many requests wait here; come back")
    }

    /// The reply to a request that the controller did not answer in time.
    pub(super) fn timed_out(retry_after_s: u32) -> Self {
        Self::unavailable(retry_after_s, "no answer in time; come back")
    }

    /// An error for which trying again is of no use.
    pub(super) fn error(status: StatusCode, reason: &str) -> Self {
        Self { status, retry_after_s: None, headers: Vec::new(), body: users::error(reason) }
    }

    fn unavailable(retry_after_s: u32, reason: &str) -> Self {
        Self { retry_after_s: Some(retry_after_s), ..Self::error(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }
}

/// The requests that the controller has and has not answered yet.
#[derive(Default)]
pub(super) struct PendingAnswers {
    last_request: u64,
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
}

impl PendingAnswers {
    /// Numbers a request, from 1, and remembers where its answer goes.
    pub(super) fn expect(&mut self, reply: oneshot::Sender<Reply>) -> RequestId {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.replies.insert(request, reply);
        request
    }

    /// Sends the answer to a request's client. Nothing happens if it had one already, or if the client has gone.
    pub(super) fn deliver(&mut self, request: RequestId, answer: Reply) {
        if let Some(reply) = self.replies.remove(&request) {
            let _ = reply.send(answer);
        }
    }
}
