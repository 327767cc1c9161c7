//! A node: the core that joins the slices. The program has the shell that does what it says.

mod catalogue;
mod controller;
mod leader;
mod outbox;
mod peers;
mod prefix_watcher;

pub use self::controller::Controller;

use crate::extension::Call;
use crate::partitions::Envelope;
use crate::types::{Duration, MonotonicTime, NodeName, RequestId, WallTime};
use crate::wire::cloud::{CloudReply, CloudRequest};
use crate::wire::state::{StoreReply, StoreRequest};

/// The clocks at a step.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    pub steady: MonotonicTime,
    pub wall_time: WallTime,
    /// How long the step before this one took.
    pub took: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    Get,
    Post,
    Other,
}

/// What happens to a node.
#[derive(Debug)]
pub enum Input {
    Tick,
    Http {
        request: RequestId,
        method: Method,
        path: String,
        body: Vec<u8>,
    },
    Store {
        request_id: RequestId,
        reply: StoreReply,
    },
    Cloud {
        request_id: RequestId,
        reply: CloudReply,
    },
    /// A worker's answer to a direct command; status 0: none came.
    Worker {
        request_id: RequestId,
        status: u16,
        body: Vec<u8>,
    },
    Peer(Envelope),
    /// A request to the listener of the feature in `slot`.
    Call {
        slot: usize,
        request: RequestId,
        call: Call,
    },
}

/// What a node does.
#[derive(Debug)]
pub enum Effect {
    Answer {
        request: RequestId,
        status: u16,
        retry_after_s: Option<u32>,
        /// Besides the usual ones; only features have any.
        headers: Vec<(&'static str, String)>,
        body: String,
    },
    Store {
        request_id: RequestId,
        request: StoreRequest,
        timeout: Duration,
    },
    Cloud {
        request_id: RequestId,
        request: CloudRequest,
        timeout: Duration,
    },
    Worker {
        request_id: RequestId,
        addr: String,
        body: String,
        timeout: Duration,
    },
    Peer {
        to: NodeName,
        bytes: Vec<u8>,
    },
}
