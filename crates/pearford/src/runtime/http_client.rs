//! The HTTP client that the clients of the key-value store, the cloud and workers use.

use super::CONNECT_TIMEOUT;
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use pearford_scheduler::types;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of a response, in bytes. A longer response is treated as missing.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A client with a pool of connections. Clones share the pool.
#[derive(Clone)]
pub(super) struct HttpClient(Client<HttpConnector, Full<Bytes>>);

/// A complete response.
pub(super) struct HttpResponse {
    /// The HTTP status code.
    pub(super) status: u16,
    /// The body.
    pub(super) body: Bytes,
}

impl HttpClient {
    /// A client that keeps up to `idle_per_host` unused connections to each host.
    pub(super) fn new(idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self(
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .pool_max_idle_per_host(idle_per_host)
                .build(connector),
        )
    }

    /// Sends a request and reads the response. Returns `None` if that fails or takes longer than `timeout`;
    /// the request may still have been executed.
    pub(super) async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: types::Duration,
    ) -> Option<HttpResponse> {
        let mut request = Request::builder().method(method).uri(format!("http://{addr}{path}"));
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let exchange = async {
            let response = self.0.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body =
                Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
            Some(HttpResponse { status, body })
        };
        tokio::time::timeout(timeout.into(), exchange).await.ok().flatten()
    }
}
