//! A node of the service: the [`Controller`], a state machine without I/O.
//!
//! The program (`pearford`) performs all I/O: it passes each [`Input`] to [`Controller::step`] and executes
//! the [`Effect`]s that it returns. The simulation does the same with simulated services.
//!
//! - `controller`: what every node does;
//! - `leader`: what the leader does in addition;
//! - `outbox`, `peers`, `prefix_watcher`, `catalogue`: parts of the controller that the leader uses too.

mod catalogue;
mod controller;
mod leader;
mod outbox;
mod peers;
mod prefix_watcher;

pub use self::controller::Controller;
#[cfg(any(test, feature = "simulation"))]
pub use self::controller::DisabledCheck;

use crate::extension::Call;
use crate::peer_messages::Envelope;
use crate::types::{Duration, MonotonicTime, NodeName, RequestId, WallTime};
use crate::wire::cloud::{CloudReply, CloudRequest};
use crate::wire::state::{StoreReply, StoreRequest};

/// The clocks at a step.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic clock, for timeouts and leases.
    pub monotonic: MonotonicTime,
    /// Wall clock, for the timestamps of jobs and Nomad records.
    pub wall_time: WallTime,
    /// Duration of the previous step.
    pub last_step_duration: Duration,
}

/// HTTP method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// Any other method.
    Other,
}

/// An event that a node processes.
#[derive(Debug)]
pub enum Input {
    /// Time has passed. Sent at short, regular intervals.
    Tick,
    /// A request of a user, an operator or a worker; an [`Effect::Answer`] with the same id answers it.
    Http {
        /// Id for the answer, below the ids of the node's own requests.
        request: RequestId,
        /// The method.
        method: Method,
        /// The path, without the query.
        path: String,
        /// The body, empty if there is none.
        body: Vec<u8>,
    },
    /// The key-value store's reply to an [`Effect::Store`].
    Store {
        /// Id of the request.
        request_id: RequestId,
        /// The reply; its variants include that none arrived.
        reply: StoreReply,
    },
    /// The cloud's reply to an [`Effect::Cloud`].
    Cloud {
        /// Id of the request.
        request_id: RequestId,
        /// The reply; its variants include that none arrived.
        reply: CloudReply,
    },
    /// A worker's reply to an [`Effect::Worker`].
    Worker {
        /// Id of the command.
        request_id: RequestId,
        /// The HTTP status; 0 if there was no reply.
        status: u16,
        /// The body, empty if there was no reply.
        body: Vec<u8>,
    },
    /// A message of another controller.
    Peer(Envelope),
    /// A request to the listener of the extension in `slot`; an [`Effect::Answer`] with the same id answers
    /// it.
    Call {
        /// The extension's slot.
        slot: usize,
        /// Id for the answer.
        request: RequestId,
        /// What the client sent.
        call: Call,
    },
}

/// An action that a node requests and the program executes.
#[derive(Debug)]
pub enum Effect {
    /// Answer an HTTP request.
    Answer {
        /// Id of the request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// Value of the `Retry-After` header in seconds, if the header is to be sent.
        retry_after_s: Option<u32>,
        /// Additional headers; only extensions set any.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: String,
    },
    /// Send a request to the key-value store.
    Store {
        /// Id for the reply.
        request_id: RequestId,
        /// The request.
        request: StoreRequest,
        /// How long to wait for the reply.
        timeout: Duration,
    },
    /// Send a request to the cloud.
    Cloud {
        /// Id for the reply.
        request_id: RequestId,
        /// The request.
        request: CloudRequest,
        /// How long to wait for the reply.
        timeout: Duration,
    },
    /// Send a command to a worker.
    Worker {
        /// Id for the reply.
        request_id: RequestId,
        /// The worker's address, `host:port`.
        addr: String,
        /// The command as JSON.
        body: String,
        /// How long to wait for the reply.
        timeout: Duration,
    },
    /// Send a message to another controller. It may be lost.
    Peer {
        /// The controller's node.
        to: NodeName,
        /// The encoded message.
        bytes: Vec<u8>,
    },
}
