//! Connections between nodes: length-delimited frames over TCP, one connection for each direction.
//!
//! Delivery isn't guaranteed: a message that can't be sent is dropped. Every message is either repeated by
//! its sender or soon obsolete.

use super::{ACCEPT_RETRY_DELAY, CONNECT_TIMEOUT};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pearford_scheduler::node::Input;
use pearford_scheduler::peer_messages;
use pearford_scheduler::settings::Peer;
use pearford_scheduler::types::NodeName;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Capacity of a peer's send queue. If it is full, further messages are dropped.
const QUEUE_LENGTH: usize = 64;
/// Maximum size of a message, in bytes.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Peers send at least every second: a connection without a message for this long is considered dead.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for sending one message, after which the connection is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts to connect to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

type PeerConnection = Framed<TcpStream, LengthDelimitedCodec>;

/// The outgoing connections to all peers.
pub(super) struct PeerLinks {
    queues: HashMap<NodeName, mpsc::Sender<Vec<u8>>>,
}

impl PeerLinks {
    /// Starts a task for each peer, which keeps a connection to it open.
    pub(super) fn open(peers: &[Peer]) -> Self {
        let queues = peers.iter().map(|peer| (peer.name.clone(), open_link(peer.clone()))).collect();
        Self { queues }
    }

    /// Queues a message for a peer; drops it if the queue is full or the node is unknown.
    pub(super) fn send(&self, to: &NodeName, message: Vec<u8>) {
        if let Some(queue) = self.queues.get(to)
            && queue.try_send(message).is_err()
        {
            tracing::debug!(peer = %to, "message to a peer dropped: its send queue is full");
        }
    }
}

fn open_link(peer: Peer) -> mpsc::Sender<Vec<u8>> {
    let (sender, queue) = mpsc::channel(QUEUE_LENGTH);
    tokio::spawn(keep_connected(peer, queue));
    sender
}

/// Keeps one connection to a peer open until the sender of its queue is dropped.
async fn keep_connected(peer: Peer, mut queue: mpsc::Receiver<Vec<u8>>) {
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.addr)).await;
        if let Ok(Ok(stream)) = connected {
            // A failure only delays messages.
            let _ = stream.set_nodelay(true);
            send_queued(framed(stream), &mut queue).await;
        }
        // Messages queued while there was no connection are obsolete.
        while queue.try_recv().is_ok() {}
        if queue.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Sends messages until one can't be sent in time, or the queue is closed.
async fn send_queued(mut connection: PeerConnection, queue: &mut mpsc::Receiver<Vec<u8>>) {
    while let Some(message) = queue.recv().await {
        let sent = tokio::time::timeout(SEND_TIMEOUT, connection.send(Bytes::from(message))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Accepts peers' connections, at most `max_connections` at a time, and sends their messages to `inputs`.
pub(super) async fn serve(listener: TcpListener, max_connections: usize, inputs: mpsc::Sender<Input>) {
    let connections = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let inputs = inputs.clone();
        tokio::spawn(async move {
            receive(framed(stream), inputs).await;
            drop(permit);
        });
    }
}

/// Receives messages until the connection ends, fails or is idle for too long.
async fn receive(mut connection: PeerConnection, inputs: mpsc::Sender<Input>) {
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_TIMEOUT, connection.next()).await {
        let Some(envelope) = peer_messages::decode(&frame) else {
            tracing::debug!("ignoring a malformed message from a peer");
            continue;
        };
        if inputs.send(Input::Peer(envelope)).await.is_err() {
            return;
        }
    }
}

fn framed(stream: TcpStream) -> PeerConnection {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}
