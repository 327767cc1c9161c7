//! Calls to the key-value store.

use super::http_client::HttpClient;
use pearford_scheduler::types::Duration;
use pearford_scheduler::wire::HttpRequest;
use pearford_scheduler::wire::state::{StoreReply, StoreRequest};
use std::net::SocketAddr;

/// Sends requests to the key-value store.
#[derive(Clone)]
pub(super) struct StoreClient {
    /// The HTTP client, whose connection pool is shared with the cloud's client.
    pub(super) http: HttpClient,
    /// The store's address.
    pub(super) addr: SocketAddr,
}

impl StoreClient {
    /// Sends one request. Without a response before the timeout the reply is [`StoreReply::Unknown`]: a write
    /// may have been executed.
    pub(super) async fn call(&self, request: &StoreRequest, timeout: Duration) -> StoreReply {
        let HttpRequest { method, path, body } = request.http();
        let reply = match self.http.send(self.addr, method, &path, body, timeout).await {
            Some(response) => request.reply(response.status, &response.body),
            None => StoreReply::Unknown,
        };
        tracing::debug!(?request, ?reply, "call to the key-value store ended");
        reply
    }
}
