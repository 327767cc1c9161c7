//! The only async code: sockets, clocks and randomness around the core.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{SinkExt, Stream, StreamExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use pearford_scheduler::extension::{Call, Extension, Verb};
use pearford_scheduler::node::{Controller, Effect, Input, Method, Now};
use pearford_scheduler::settings::{Peer, Settings};
use pearford_scheduler::types::{self, MonotonicTime, NodeName, RequestId, WallTime};
use pearford_scheduler::wire::state::StoreReply;
use pearford_scheduler::wire::{HttpRequest, MAX_BODY};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

use tokio_util::codec::{Framed, LengthDelimitedCodec};
use warp::Filter;

const TICK: Duration = Duration::from_millis(50);
/// What may wait for the core: answers and peers' messages, for which senders wait beyond that, and requests, which are
/// turned away. The first go before the second: the grant, the beat and the peers' part in rounds must not wait behind
/// users and workers, however many come.
const QUEUE: usize = 4096;
const REQUESTS: usize = 2048;
/// A request that has waited this long for the core is turned away: whoever asked has nearly given up, and the time
/// goes to those that haven't. (Four times the andina fleet after all nodes crashed: the state service's answers
/// waited behind thousands of requests, the leader lost its grant every ten seconds, and the next began again.)
const REQUEST_STALE: Duration = Duration::from_millis(3500);
/// Messages that may wait for one peer; later ones are dropped, all are repeated or void soon.
const PEER_QUEUE: usize = 64;
const MAX_FRAME: usize = 1024 * 1024;
const MAX_RESPONSE: usize = 8 * 1024 * 1024;
const BODY_PATIENCE: Duration = Duration::from_secs(5);
const HEADER_PATIENCE: Duration = Duration::from_secs(60);
const CONNECT_PATIENCE: Duration = Duration::from_millis(1000);
const ANSWER_PATIENCE: Duration = Duration::from_secs(10);
const PEER_RETRY: Duration = Duration::from_millis(300);
/// How long a connection to the cloud or the state service is kept without use.
const POOL_IDLE: Duration = Duration::from_secs(4);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Reply {
    status: u16,
    retry_after_s: Option<u32>,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Reply {
    fn too_many(retry_after_s: u32) -> Self {
        Self::error(503, Some(retry_after_s), "too many requests wait here; come back")
    }

    fn error(status: u16, retry_after_s: Option<u32>, why: &str) -> Self {
        Self { status, retry_after_s, headers: Vec::new(), body: pearford_scheduler::wire::users::error(why) }
    }
}

/// A feature with a listener of its own.
pub struct NomadApi {
    pub feature: Box<dyn Extension>,
    pub listen: SocketAddr,
    /// Connections at a time; they come out of the node's.
    pub connections: usize,
    /// How long an answer may take: queries may wait for a change.
    pub timeout: Duration,
}

/// What is asked of the core over HTTP.
enum Question {
    Http { method: Method, path: String, body: Vec<u8> },
    Call { slot: usize, call: Call },
}

/// A request on its way to the core, since when, and where its answer goes.
struct Asked {
    at: Instant,
    question: Question,
    reply: oneshot::Sender<Reply>,
}

type Requests = mpsc::Sender<Asked>;

/// Runs the node until its process is killed.
pub async fn run(settings: Settings, nomad_apis: Vec<NomadApi>) -> std::io::Result<()> {
    let settings = Arc::new(settings);
    let api = TcpListener::bind(settings.api_addr).await?;
    let back = TcpListener::bind(settings.peer_addr).await?;
    let (tx, mut inputs) = mpsc::channel::<Input>(QUEUE);
    let (requests, mut asked) = mpsc::channel::<Asked>(REQUESTS);

    let mut left = settings.limits.max_connections - settings.limits.reserved_connections();
    let mut controller = Controller::new(settings.clone(), rand::random());
    for (slot, api) in nomad_apis.into_iter().enumerate() {
        let listener = TcpListener::bind(api.listen).await?;
        // Users and workers keep half, however many a door asks for.
        let connections = api.connections.min(left / 2).max(1);
        left -= connections;
        tokio::spawn(serve_nomad_api(listener, connections, slot, api.timeout, requests.clone()));
        controller = controller.with_extension(api.feature);
    }
    tokio::spawn(serve_api(api, Arc::new(Semaphore::new(left)), requests));
    tokio::spawn(serve_peers(back, settings.peers.len() * 4 + 4, tx.clone()));
    let peers: HashMap<NodeName, mpsc::Sender<Vec<u8>>> =
        settings.peers.iter().map(|p| (p.name.clone(), dial_peer(p.clone()))).collect();

    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_PATIENCE));
    let client = |idle_per_host| -> HttpClient {
        Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_max_idle_per_host(idle_per_host)
            .build(connector.clone())
    };
    let calls = Calls {
        services: client(8),
        // Kept without use, thousands of them held half of all sockets.
        workers: client(0),
        orders: Arc::new(Semaphore::new(settings.limits.max_concurrent_commands())),
        settings: settings.clone(),
        tx,
    };

    let start = Instant::now();
    let clock = |took: Duration| Now {
        // Starts above 0, so that "never" lies in the past.
        steady: MonotonicTime::from_millis(start.elapsed().as_millis() as u64 + 1_000_000),
        wall_time: WallTime(
            SystemTime::now().duration_since(UNIX_EPOCH).map(|d| d.as_millis() as u64).unwrap_or(0),
        ),
        took: types::Duration::from_millis(took.as_millis() as u64),
    };
    let mut took = Duration::ZERO;
    let mut answers: HashMap<RequestId, oneshot::Sender<Reply>> = HashMap::new();
    let mut next_request = 0;
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            biased;
            _ = ticks.tick() => Input::Tick,
            Some(input) = inputs.recv() => input,
            Some(Asked { at, question, reply }) = asked.recv() => {
                if at.elapsed() >= REQUEST_STALE {
                    // The asker may have gone meanwhile; nothing is left to do then.
                    let _ = reply.send(Reply::too_many(2));
                    continue;
                }
                next_request += 1;
                let request = RequestId(next_request);
                answers.insert(request, reply);
                match question {
                    Question::Http { method, path, body } => Input::Http { request, method, path, body },
                    Question::Call { slot, call } => Input::Call { slot, request, call },
                }
            }
        };
        let began = Instant::now();
        let effects = controller.step(clock(took), input);
        took = began.elapsed();
        for effect in effects {
            match effect {
                Effect::Answer { request, status, retry_after_s, headers, body } => {
                    if let Some(reply) = answers.remove(&request) {
                        // The asker may have gone meanwhile; nothing is left to do then.
                        let _ = reply.send(Reply { status, retry_after_s, headers, body });
                    }
                }
                Effect::Peer { to, bytes } => {
                    if let Some(peer) = peers.get(&to)
                        && peer.try_send(bytes).is_err()
                    {
                        tracing::debug!(peer = %to, "message dropped: too many wait");
                    }
                }
                other => calls.begin(other),
            }
        }
    }
}

/// What HTTP calls of the core's are made with.
#[derive(Clone)]
struct Calls {
    services: HttpClient,
    workers: HttpClient,
    /// Bounds the sockets of orders: those beyond wait, within their own patience.
    orders: Arc<Semaphore>,
    settings: Arc<Settings>,
    tx: mpsc::Sender<Input>,
}

impl Calls {
    /// Makes a call beside the loop; its answer comes back as an input.
    fn begin(&self, effect: Effect) {
        let calls = self.clone();
        tokio::spawn(async move {
            if let Some(input) = calls.make(effect).await {
                // The loop has ended, and with it all that waits for answers.
                let _ = calls.tx.send(input).await;
            }
        });
    }

    async fn make(&self, effect: Effect) -> Option<Input> {
        let (client, settings) = (&self.services, &self.settings);
        Some(match effect {
            Effect::Store { request_id, request, timeout } => {
                let HttpRequest { method, path, body } = request.http();
                let got = fetch(client, settings.state_addr, method, &path, body, timeout).await;
                let reply = match got {
                    Some((status, body)) => request.reply(status, &body),
                    None => StoreReply::Unknown,
                };
                tracing::debug!(?request, ?reply, "state");
                Input::Store { request_id, reply }
            }
            Effect::Cloud { request_id, request, timeout } => {
                let HttpRequest { method, path, body } = request.http();
                let got = fetch(client, settings.cloud_addr, method, &path, body, timeout).await;
                let reply = match got {
                    Some((status, body)) => request.reply(status, &body),
                    None => pearford_scheduler::wire::cloud::CloudReply::Unknown,
                };
                Input::Cloud { request_id, reply }
            }
            Effect::Worker { request_id, addr, body, timeout } => {
                let exchange = async {
                    let _socket = self.orders.acquire().await.ok()?;
                    let (addr, post) = (addr.parse().ok()?, http::Method::POST);
                    fetch(&self.workers, addr, post, "/do", body.into_bytes(), timeout).await
                };
                let got =
                    tokio::time::timeout(Duration::from_millis(timeout.0), exchange).await.ok().flatten();
                let (status, body) = got.map(|(s, b)| (s, b.to_vec())).unwrap_or_default();
                Input::Worker { request_id, status, body }
            }
            Effect::Answer { .. } | Effect::Peer { .. } => return None,
        })
    }
}

async fn fetch(
    client: &HttpClient,
    addr: SocketAddr,
    method: http::Method,
    path: &str,
    body: Vec<u8>,
    timeout: types::Duration,
) -> Option<(u16, Bytes)> {
    let mut request = http::Request::builder().method(method).uri(format!("http://{addr}{path}"));
    if !body.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, "application/json");
    }
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE).collect().await.ok()?.to_bytes();
        Some((status, body))
    };
    tokio::time::timeout(Duration::from_millis(timeout.0), exchange).await.ok().flatten()
}

// ---- users and workers ----

async fn serve_api(listener: TcpListener, connections: Arc<Semaphore>, tx: Requests) {
    let filter = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::header::optional::<u64>("content-length"))
        .and(warp::body::stream())
        .and(warp::any().map(move || tx.clone()))
        .then(|method, path: warp::path::FullPath, length, body, tx| async move {
            handle(method, path.as_str().to_string(), length, body, tx).await
        });
    accept(listener, connections, TowerToHyperService::new(warp::service(filter))).await;
}

/// Serves a feature's listener.
async fn serve_nomad_api(
    listener: TcpListener,
    connections: usize,
    slot: usize,
    timeout: Duration,
    tx: Requests,
) {
    let filter = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::optional::<u64>("content-length"))
        .and(warp::header::optional::<String>("x-nomad-token"))
        .and(warp::header::optional::<String>("authorization"))
        .and(warp::body::stream())
        .and(warp::any().map(move || tx.clone()))
        .then(
            move |method,
                  path: warp::path::FullPath,
                  query,
                  length,
                  token: Option<String>,
                  bearer: Option<String>,
                  body,
                  tx| async move {
                let bearer = bearer.and_then(|b| b.strip_prefix("Bearer ").map(str::to_string));
                let head = (method, path.as_str().to_string(), query, token.or(bearer));
                handle_call(slot, timeout, head, length, body, tx).await
            },
        );
    let connections = Arc::new(Semaphore::new(connections));
    accept(listener, connections, TowerToHyperService::new(warp::service(filter))).await;
}

/// Serves what connects, as many at a time as there are permits. What is over that waits: closed at once it came
/// back at once, and under overload all nodes did nothing but open connections (andina fleet at 4 times, restart:
/// 0.28 -> 0.15).
async fn accept<S, B>(listener: TcpListener, connections: Arc<Semaphore>, service: S)
where
    S: hyper::service::Service<http::Request<hyper::body::Incoming>, Response = http::Response<B>>,
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
                tracing::warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        tokio::spawn(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_PATIENCE)
                .max_buf_size(128 * 1024)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection ended");
            }
            drop(permit);
        });
    }
}

async fn handle_call(
    slot: usize,
    timeout: Duration,
    (method, path, query, token): (http::Method, String, String, Option<String>),
    length: Option<u64>,
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
    tx: Requests,
) -> http::Response<String> {
    let body = match read_body(length, body).await {
        Ok(body) => body,
        Err((status, why)) => return respond(Reply::error(status, None, why), true),
    };
    let verb = match method {
        http::Method::GET => Verb::Get,
        http::Method::POST => Verb::Post,
        http::Method::PUT => Verb::Put,
        http::Method::DELETE => Verb::Delete,
        _ => Verb::Other,
    };
    let call = Call { verb, path, query, token, body };
    ask(tx, Question::Call { slot, call }, timeout).await
}

/// Puts a request to the core and waits for its answer.
async fn ask(tx: Requests, question: Question, timeout: Duration) -> http::Response<String> {
    let (reply, answer) = oneshot::channel();
    if tx.try_send(Asked { at: Instant::now(), question, reply }).is_err() {
        return respond(Reply::too_many(1), false);
    }
    match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(reply)) => respond(reply, false),
        _ => respond(Reply::error(503, Some(1), "no answer in time; come back"), false),
    }
}

async fn handle(
    method: http::Method,
    path: String,
    length: Option<u64>,
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
    tx: Requests,
) -> http::Response<String> {
    let body = match read_body(length, body).await {
        Ok(body) => body,
        Err((status, why)) => return respond(Reply::error(status, None, why), true),
    };
    let method = match method {
        http::Method::GET => Method::Get,
        http::Method::POST => Method::Post,
        _ => Method::Other,
    };
    ask(tx, Question::Http { method, path, body }, ANSWER_PATIENCE).await
}

async fn read_body(
    length: Option<u64>,
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
) -> Result<Vec<u8>, (u16, &'static str)> {
    const TOO_LARGE: (u16, &str) = (413, "the body may hold 64 KiB at most");
    if length.is_some_and(|l| l > MAX_BODY as u64) {
        return Err(TOO_LARGE);
    }
    let read = async {
        let mut all = BytesMut::new();
        let mut body = std::pin::pin!(body);
        while let Some(chunk) = body.next().await {
            let mut chunk = chunk.map_err(|_| (400, "the body broke off"))?;
            while chunk.has_remaining() {
                let part = chunk.chunk();
                if all.len() + part.len() > MAX_BODY {
                    return Err(TOO_LARGE);
                }
                all.extend_from_slice(part);
                let n = part.len();
                chunk.advance(n);
            }
        }
        Ok(all.to_vec())
    };
    tokio::time::timeout(BODY_PATIENCE, read).await.unwrap_or(Err((408, "the body came too slowly")))
}

fn respond(reply: Reply, close: bool) -> http::Response<String> {
    let mut response = http::Response::new(reply.body);
    *response.status_mut() =
        http::StatusCode::from_u16(reply.status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    for (name, value) in reply.headers {
        if let Ok(value) = http::HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
    if let Some(s) = reply.retry_after_s {
        headers.insert(http::header::RETRY_AFTER, http::HeaderValue::from(s));
    }
    if close {
        headers.insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}

// ---- peers ----

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}

async fn serve_peers(listener: TcpListener, most: usize, tx: mpsc::Sender<Input>) {
    let connections = Arc::new(Semaphore::new(most));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let tx = tx.clone();
        tokio::spawn(async move {
            let mut frames = Framed::new(stream, codec());
            // Peers speak every second: a connection silent for long is dead.
            while let Ok(Some(Ok(frame))) = tokio::time::timeout(Duration::from_secs(15), frames.next()).await
            {
                match pearford_scheduler::peer_messages::decode(&frame) {
                    Some(envelope) => {
                        if tx.send(Input::Peer(envelope)).await.is_err() {
                            break;
                        }
                    }
                    None => tracing::debug!("a peer's message was not understood"),
                }
            }
            drop(permit);
        });
    }
}

/// Keeps one connection to a peer; what can't be sent is dropped.
fn dial_peer(peer: Peer) -> mpsc::Sender<Vec<u8>> {
    let (tx, mut rx) = mpsc::channel::<Vec<u8>>(PEER_QUEUE);
    tokio::spawn(async move {
        loop {
            let connected = tokio::time::timeout(CONNECT_PATIENCE, TcpStream::connect(peer.addr)).await;
            if let Ok(Ok(stream)) = connected {
                let _ = stream.set_nodelay(true);
                let mut frames = Framed::new(stream, codec());
                while let Some(bytes) = rx.recv().await {
                    let sent =
                        tokio::time::timeout(Duration::from_secs(2), frames.send(Bytes::from(bytes))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        break;
                    }
                }
            }
            // What waited meanwhile is out of date.
            while rx.try_recv().is_ok() {}
            if rx.is_closed() {
                return;
            }
            tokio::time::sleep(PEER_RETRY).await;
        }
    });
    tx
}
