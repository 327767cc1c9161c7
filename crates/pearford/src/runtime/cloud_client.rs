//! Calls to the cloud that rents out machines.

use super::http_client::HttpClient;
use pearford_scheduler::types::Duration;
use pearford_scheduler::wire::HttpRequest;
use pearford_scheduler::wire::cloud::{CloudReply, CloudRequest};
use std::net::SocketAddr;

/// Sends requests to the cloud.
#[derive(Clone)]
pub(super) struct CloudClient {
    /// The HTTP client, whose connection pool is shared with the key-value store's client.
    pub(super) http: HttpClient,
    /// The cloud's address.
    pub(super) addr: SocketAddr,
}

impl CloudClient {
    /// Sends one request. Without a response before the timeout the reply is [`CloudReply::Unknown`]:
    /// machines may have been rented or returned.
    pub(super) async fn call(&self, request: &CloudRequest, timeout: Duration) -> CloudReply {
        let HttpRequest { method, path, body } = request.http();
        match self.http.send(self.addr, method, &path, body, timeout).await {
            Some(response) => request.reply(response.status, &response.body),
            None => CloudReply::Unknown,
        }
    }
}
