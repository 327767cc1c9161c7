//! The node's runtime: all sockets, clocks and randomness for the [`Controller`], which is a state machine
//! without I/O. `main` calls [`run`] for `pearford serve`. The crates that the controller consists of are
//! synchronous.
//!
//! One thread runs every task:
//!
//! - the event loop ([`event_loop`]) feeds the controller one input at a time and carries out the effects it
//!   returns;
//! - a task accepts connections on each listener, and a further task serves each connection ([`http_server`],
//!   [`peer_links`]);
//! - a task for each peer keeps the outgoing connection to it ([`peer_links`]);
//! - a task for each call to the key-value store, the cloud or a worker delivers its reply as an input
//!   ([`outbound`]).
//!
//! There is no graceful shutdown: a node is stopped by killing its process, and all state that must survive
//! this is in the key-value store. No task is joined, and none is cancelled while the event loop runs.

mod clock;
mod cloud_client;
mod event_loop;
mod http_client;
mod http_server;
mod outbound;
mod peer_links;
mod requests;
mod store_client;
mod worker_client;

use clock::NodeClock;
use event_loop::EventLoop;
use outbound::OutboundCalls;
use pearford_scheduler::extension::Extension;
use pearford_scheduler::node::{Controller, Input};
use pearford_scheduler::settings::Settings;
use peer_links::PeerLinks;
use requests::{PendingAnswers, PendingRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};

/// Capacity of the queue of replies and peers' messages for the controller. If it is full, their senders
/// wait.
///
/// This queue is separate from the queue of requests and has priority over it: renewals of the leader's
/// lease, status broadcasts and the peers' messages of scheduling rounds must not wait behind requests of
/// users and workers.
const INPUT_QUEUE_LENGTH: usize = 4096;
/// Capacity of the queue of requests of users, workers and operators. If it is full, requests are refused.
const REQUEST_QUEUE_LENGTH: usize = 2048;
/// Timeout for opening a connection to a peer or to any other service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failure to accept a connection. The usual cause, a lack of file descriptors, is temporary.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Incoming connections allowed for each peer. A peer uses one; abandoned ones count until they time out.
const CONNECTIONS_PER_PEER: usize = 4;
/// Incoming peer connections allowed on top of [`CONNECTIONS_PER_PEER`].
const SPARE_PEER_CONNECTIONS: usize = 4;

/// An extension of the controller, with its own HTTP listener.
pub struct ExtensionListener {
    /// The extension that answers the requests.
    pub extension: Box<dyn Extension>,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of concurrent connections, a part of the node's limit.
    pub max_connections: usize,
    /// Timeout for an answer, including the time that a blocking query waits for a change.
    pub answer_timeout: Duration,
}

/// Runs a node until its process is killed.
///
/// # Errors
///
/// The node can't listen on an address of the settings or of an extension.
pub async fn run(settings: Settings, extension_listeners: Vec<ExtensionListener>) -> std::io::Result<()> {
    let settings = Arc::new(settings);
    let api_listener = TcpListener::bind(settings.api_addr).await?;
    let peer_listener = TcpListener::bind(settings.peer_addr).await?;
    let (input_sender, inputs) = mpsc::channel::<Input>(INPUT_QUEUE_LENGTH);
    let (request_sender, requests) = mpsc::channel::<PendingRequest>(REQUEST_QUEUE_LENGTH);

    let mut free_connections = settings.limits.max_connections - settings.limits.reserved_connections();
    let mut controller = Controller::new(settings.clone(), rand::random());
    for (slot, extension) in extension_listeners.into_iter().enumerate() {
        let listener = TcpListener::bind(extension.listen).await?;
        // An extension gets at most half of the free connections, so that enough remain for users and
        // workers.
        let connections = extension.max_connections.min(free_connections / 2).max(1);
        free_connections -= connections;
        let timeout = extension.answer_timeout;
        let sender = request_sender.clone();
        tokio::spawn(http_server::serve_extension(listener, connections, slot, timeout, sender));
        controller = controller.with_extension(extension.extension);
    }
    let api_connections = Arc::new(Semaphore::new(free_connections));
    tokio::spawn(http_server::serve_api(api_listener, api_connections, request_sender));
    let peer_connections = settings.peers.len() * CONNECTIONS_PER_PEER + SPARE_PEER_CONNECTIONS;
    tokio::spawn(peer_links::serve(peer_listener, peer_connections, input_sender.clone()));

    let event_loop = EventLoop {
        controller,
        clock: NodeClock::start(),
        inputs,
        requests,
        answers: PendingAnswers::default(),
        peers: PeerLinks::open(&settings.peers),
        outbound: OutboundCalls::new(&settings, input_sender),
    };
    event_loop.run().await
}
