//! Commands to workers.

use super::http_client::{HttpClient, HttpResponse};
use http::Method;
use pearford_scheduler::types::Duration;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// The path at which a worker accepts commands, as defined by the workers' protocol.
const COMMANDS_PATH: &str = "/do";
/// Unused connections kept to each worker. None: with thousands of workers they would take up half of all
/// sockets.
const IDLE_CONNECTIONS_PER_WORKER: usize = 0;

/// Sends commands to workers, over a bounded number of sockets.
#[derive(Clone)]
pub(super) struct WorkerClient {
    http: HttpClient,
    /// One permit for each socket. Further commands wait for a permit, and the wait counts towards their
    /// timeout.
    sockets: Arc<Semaphore>,
}

impl WorkerClient {
    /// A client that sends up to `max_sockets` commands concurrently.
    pub(super) fn new(max_sockets: usize) -> Self {
        Self {
            http: HttpClient::new(IDLE_CONNECTIONS_PER_WORKER),
            sockets: Arc::new(Semaphore::new(max_sockets)),
        }
    }

    /// Sends commands to the worker at `addr`. Returns `None` without a response before the timeout, in which
    /// case the worker may still have executed them, or if `addr` is malformed.
    pub(super) async fn call(&self, addr: &str, body: String, timeout: Duration) -> Option<HttpResponse> {
        let exchange = async {
            let _socket = self.sockets.acquire().await.ok()?;
            let addr = addr.parse().ok()?;
            self.http.send(addr, Method::POST, COMMANDS_PATH, body.into_bytes(), timeout).await
        };
        tokio::time::timeout(timeout.into(), exchange).await.ok().flatten()
    }
}
