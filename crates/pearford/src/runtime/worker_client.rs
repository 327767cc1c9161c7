//! Commands to workers.

use super::http_client::{HttpClient, HttpResponse};
use http::Method;
use pearford_scheduler::types::Duration;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// The path at which a worker takes commands, by the workers' protocol.
const COMMANDS_PATH: &str = "/do";
/// Unused connections kept to each worker: none, as thousands of them once held half of all sockets.
const IDLE_CONNECTIONS_PER_WORKER: usize = 0;

/// Sends commands to workers, over a bounded number of sockets.
#[derive(Clone)]
pub(super) struct WorkerClient {
    http: HttpClient,
    /// One permit for each socket. Commands beyond that wait, and the wait counts towards their timeout.
    sockets: Arc<Semaphore>,
}

impl WorkerClient {
    /// A client that has up to `max_sockets` commands under way.
    pub(super) fn new(max_sockets: usize) -> Self {
        Self {
            http: HttpClient::new(IDLE_CONNECTIONS_PER_WORKER),
            sockets: Arc::new(Semaphore::new(max_sockets)),
        }
    }

    /// Sends commands to the worker at `addr`; `None` without a response in time, or if `addr` is no address. The
    /// worker may have carried them out all the same.
    pub(super) async fn call(&self, addr: &str, body: String, timeout: Duration) -> Option<HttpResponse> {
        let exchange = async {
            let _socket = self.sockets.acquire().await.ok()?;
            let addr = addr.parse().ok()?;
            self.http.send(addr, Method::POST, COMMANDS_PATH, body.into_bytes(), timeout).await
        };
        tokio::time::timeout(timeout.into(), exchange).await.ok().flatten()
    }
}
