//! The HTTP listeners: one for the node's own API, for users, workers and operators, and one for each
//! extension.
//!
//! The connection's task reads the complete body of a request, passes the request to the event loop, and
//! waits for the answer.

use super::ACCEPT_RETRY_DELAY;
use super::requests::{PendingRequest, Reply, RequestContent, RequestSender};
use bytes::{Buf, BytesMut};
use futures_util::{Stream, StreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use pearford_scheduler::extension::{Call, Verb};
use pearford_scheduler::node::Method;
use pearford_scheduler::wire::MAX_BODY;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, oneshot};
use warp::Filter;
use warp::path::FullPath;

/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for receiving a request's headers; also closes idle connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for an answer of the node's own API.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a connection's buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 128 * 1024;
/// `Retry-After`, in seconds, of an answer for a full queue or a timeout.
const RETRY_AFTER_S: u32 = 1;

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyError {
    /// It is longer than [`MAX_BODY`].
    TooLarge,
    /// The connection ended before the body did.
    Incomplete,
    /// It took longer than [`BODY_TIMEOUT`].
    TimedOut,
}

impl BodyError {
    fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the body may hold 64 KiB at most",
            Self::Incomplete => "the body broke off",
            Self::TimedOut => "the body came too slowly",
        })
    }
}

/// Whether the connection is kept after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    KeepAlive,
    /// The request's body has not been read completely, so no further request can follow.
    Close,
}

/// Serves the node's own API to users, workers and operators, one connection for each permit of
/// `connections`.
pub(super) async fn serve_api(listener: TcpListener, connections: Arc<Semaphore>, requests: RequestSender) {
    let filter = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::header::optional::<u64>("content-length"))
        .and(warp::body::stream())
        .and(warp::any().map(move || requests.clone()))
        .then(|method, path: FullPath, content_length, body, requests| async move {
            let path = path.as_str().to_string();
            let body = match read_body(content_length, body).await {
                Ok(body) => body,
                Err(error) => return refuse_body(error),
            };
            let content = RequestContent::Api { method: api_method(&method), path, body };
            answer(requests, content, ANSWER_TIMEOUT).await
        });
    accept(listener, connections, TowerToHyperService::new(warp::service(filter))).await;
}

/// Serves an extension's listener; `slot` is the extension's index in the controller.
pub(super) async fn serve_extension(
    listener: TcpListener,
    max_connections: usize,
    slot: usize,
    answer_timeout: Duration,
    requests: RequestSender,
) {
    let call_head = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::optional::<String>("x-nomad-token"))
        .and(warp::header::optional::<String>("authorization"))
        .map(call_without_body);
    let filter = warp::header::optional::<u64>("content-length")
        .and(call_head)
        .and(warp::body::stream())
        .and(warp::any().map(move || requests.clone()))
        .then(move |content_length, call: Call, body, requests| async move {
            let body = match read_body(content_length, body).await {
                Ok(body) => body,
                Err(error) => return refuse_body(error),
            };
            let content = RequestContent::Extension { slot, call: Call { body, ..call } };
            answer(requests, content, answer_timeout).await
        });
    let connections = Arc::new(Semaphore::new(max_connections));
    accept(listener, connections, TowerToHyperService::new(warp::service(filter))).await;
}

/// Accepts connections, at most one for each permit, and serves each in its own task.
///
/// Further connections wait in the listener's backlog. Closing them makes their clients reconnect
/// immediately: at four times the machines, after a restart, all nodes then did nothing but accept
/// connections, and the bench score fell from 0.28 to 0.15.
async fn accept<S, B>(listener: TcpListener, connections: Arc<Semaphore>, service: S)
where
    S: hyper::service::Service<http::Request<hyper::body::Incoming>, Response = Response<B>>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection; retrying. If this persists, raise the open-file limit");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // A failure only delays answers.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        tokio::spawn(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "client connection ended with an error");
            }
            drop(permit);
        });
    }
}

fn api_method(method: &http::Method) -> Method {
    match *method {
        http::Method::GET => Method::Get,
        http::Method::POST => Method::Post,
        _ => Method::Other,
    }
}

fn call_verb(method: &http::Method) -> Verb {
    match *method {
        http::Method::GET => Verb::Get,
        http::Method::POST => Verb::Post,
        http::Method::PUT => Verb::Put,
        http::Method::DELETE => Verb::Delete,
        _ => Verb::Other,
    }
}

/// A call built from a request's line and headers. `x-nomad-token` takes precedence over `authorization`.
fn call_without_body(
    method: http::Method,
    path: FullPath,
    query: String,
    token: Option<String>,
    authorization: Option<String>,
) -> Call {
    let bearer = authorization.and_then(|value| value.strip_prefix("Bearer ").map(str::to_string));
    Call {
        verb: call_verb(&method),
        path: path.as_str().to_string(),
        query,
        token: token.or(bearer),
        body: Vec::new(),
    }
}

/// Passes a request to the event loop and waits for the answer.
async fn answer(requests: RequestSender, content: RequestContent, timeout: Duration) -> Response<String> {
    let (reply, answered) = oneshot::channel();
    let pending = PendingRequest { received_at: Instant::now(), content, reply };
    if requests.try_send(pending).is_err() {
        return respond(Reply::too_many_requests(RETRY_AFTER_S), Connection::KeepAlive);
    }
    let reply = match tokio::time::timeout(timeout, answered).await {
        Ok(Ok(reply)) => reply,
        _ => Reply::timed_out(RETRY_AFTER_S),
    };
    respond(reply, Connection::KeepAlive)
}

/// Reads a body of at most [`MAX_BODY`] bytes. If its announced length exceeds that, it isn't read at all.
async fn read_body(
    content_length: Option<u64>,
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
) -> Result<Vec<u8>, BodyError> {
    if content_length.is_some_and(|length| length > MAX_BODY as u64) {
        return Err(BodyError::TooLarge);
    }
    tokio::time::timeout(BODY_TIMEOUT, collect_body(body)).await.unwrap_or(Err(BodyError::TimedOut))
}

async fn collect_body(body: impl Stream<Item = Result<impl Buf, warp::Error>>) -> Result<Vec<u8>, BodyError> {
    let mut collected = BytesMut::new();
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        while chunk.has_remaining() {
            let part = chunk.chunk();
            if collected.len() + part.len() > MAX_BODY {
                return Err(BodyError::TooLarge);
            }
            collected.extend_from_slice(part);
            let length = part.len();
            chunk.advance(length);
        }
    }
    Ok(collected.to_vec())
}

fn refuse_body(error: BodyError) -> Response<String> {
    respond(Reply::error(error.status(), &error.to_string()), Connection::Close)
}

fn respond(reply: Reply, connection: Connection) -> Response<String> {
    let mut response = Response::new(reply.body);
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for (name, value) in reply.headers {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
    if let Some(seconds) = reply.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if connection == Connection::Close {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
