//! The HTTP server of the simulated services.

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde_json::Value;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::reply::Response;

/// Serves a filter on a free port of loopback, in a task that runs until the process ends.
///
/// # Errors
///
/// The service can't listen on a port.
pub(crate) fn serve<F>(filter: F) -> std::io::Result<SocketAddr>
where
    F: warp::Filter + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
    F::Error: Into<warp::Rejection>,
{
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let service = TowerToHyperService::new(warp::service(filter));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service.clone();
            tokio::spawn(async move {
                // Fails if the client disconnects.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(addr)
}

/// An answer of a simulated service: a status and a JSON body.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
}

impl Answer {
    /// An answer with the given status.
    pub(crate) fn new(status: StatusCode, body: Value) -> Self {
        Self { status, body }
    }

    /// A success.
    pub(crate) fn ok(body: Value) -> Self {
        Self::new(StatusCode::OK, body)
    }

    /// The answer to an unknown request.
    pub(crate) fn malformed() -> Self {
        Self::new(StatusCode::BAD_REQUEST, serde_json::json!({"error": "malformed"}))
    }

    /// The answer as an HTTP response.
    pub(crate) fn into_response(self) -> Response {
        let reply = warp::reply::with_status(warp::reply::json(&self.body), self.status);
        warp::Reply::into_response(reply)
    }
}
