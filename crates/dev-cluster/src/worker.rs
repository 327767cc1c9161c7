//! A stand-in of a worker: it takes commands and sends heartbeats, and lets time pass in place of work.

use crate::http_server::{self, Answer};
use crate::store::StoreHandle;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use warp::Filter;
use warp::http::StatusCode;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// How long a heartbeat's answer may take.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a task fetches its image before it runs.
const IMAGE_FETCH: Duration = Duration::from_millis(200);
/// The epoch of every worker: none is ever restarted.
const WORKER_EPOCH: u64 = 1;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// What a machine was rented as.
pub(crate) struct MachineSpec {
    pub(crate) id: String,
    pub(crate) type_name: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
}

/// A worker that has just been started.
pub(crate) struct StartedWorker {
    pub(crate) worker: Worker,
    /// Where it takes commands.
    pub(crate) addr: SocketAddr,
    /// Sends its heartbeats; to be aborted when the machine is returned.
    pub(crate) heartbeats: JoinHandle<()>,
}

struct Task {
    attempt: u64,
    started_at: Instant,
    /// How long it runs once its image is there; `None` for a service, which runs until it is stopped.
    run_time: Option<Duration>,
    stopped: bool,
}

struct State {
    machine: MachineSpec,
    addr: SocketAddr,
    /// The number of the latest heartbeat.
    serial: u64,
    /// The highest that a leader has shown.
    fencing_token: u64,
    tasks: BTreeMap<String, Task>,
    store: StoreHandle,
    /// The machine hangs, or is dead: it is never heard of again, and what runs there counts until it is returned.
    silent: bool,
}

/// A worker. Clones are the same worker.
#[derive(Clone)]
pub(crate) struct Worker(Arc<Mutex<State>>);

/// Starts a worker that takes commands on a free port and sends heartbeats to `nodes`.
///
/// # Errors
///
/// No port can be listened on.
pub(crate) fn start(
    machine: MachineSpec,
    nodes: Vec<SocketAddr>,
    store: StoreHandle,
) -> std::io::Result<StartedWorker> {
    let state = State {
        machine,
        // Known only once the port is open.
        addr: SocketAddr::from(([127, 0, 0, 1], 0)),
        serial: 0,
        fencing_token: 0,
        tasks: BTreeMap::new(),
        store,
        silent: false,
    };
    let worker = Worker(Arc::new(Mutex::new(state)));
    let commanded = worker.clone();
    let addr = http_server::serve(warp::body::bytes().then(move |body: Bytes| {
        let worker = commanded.clone();
        async move {
            if worker.is_silent() {
                std::future::pending::<()>().await;
            }
            worker.take_commands(&body).into_response()
        }
    }))?;
    worker.lock().addr = addr;
    let heartbeats = tokio::spawn(worker.clone().send_heartbeats(nodes));
    Ok(StartedWorker { worker, addr, heartbeats })
}

impl Worker {
    /// From now on it neither sends heartbeats nor answers.
    pub(crate) fn fall_silent(&self) {
        self.lock().silent = true;
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.lock().silent
    }

    /// The names of the tasks that are on the machine and have not ended.
    pub(crate) fn present_tasks(&self) -> Vec<String> {
        let state = self.lock();
        let present = state.tasks.iter().filter(|(_, task)| task.is_present());
        present.map(|(name, _)| name.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes commands that a controller sends, and answers with a heartbeat.
    fn take_commands(&self, body: &[u8]) -> Answer {
        let commands: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let mut state = self.lock();
        let accepted = commands.is_null() || (commands["tenure"] == WORKER_EPOCH && state.obey(&commands));
        let status = if accepted { StatusCode::OK } else { StatusCode::CONFLICT };
        Answer::new(status, state.heartbeat())
    }

    /// Sends heartbeats until the worker falls silent; to the next node if one doesn't take them.
    async fn send_heartbeats(self, nodes: Vec<SocketAddr>) {
        let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
        let mut node = 0;
        while !self.is_silent() {
            let heartbeat = self.lock().heartbeat().to_string();
            let exchange = exchange_heartbeat(&client, nodes[node % nodes.len()], heartbeat);
            match tokio::time::timeout(HEARTBEAT_TIMEOUT, exchange).await.ok().flatten() {
                Some(commands) => self.obey_unless_silent(&commands),
                None => node += 1,
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn obey_unless_silent(&self, commands: &Value) {
        let mut state = self.lock();
        if !state.silent {
            state.obey(commands);
        }
    }
}

/// Sends a heartbeat; `None` if it was not taken, else the commands that came back.
async fn exchange_heartbeat(client: &HttpClient, node: SocketAddr, heartbeat: String) -> Option<Value> {
    let uri = format!("http://{node}/v1/report");
    let request = http::Request::post(uri).body(Full::new(Bytes::from(heartbeat))).ok()?;
    let response = client.request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    (status == http::StatusCode::OK).then(|| serde_json::from_slice(&body).unwrap_or(Value::Null))
}

impl State {
    fn heartbeat(&mut self) -> Value {
        self.serial += 1;
        let tasks: Vec<Value> = self.tasks.iter().map(|(name, task)| task.status(name)).collect();
        json!({"host": self.machine.id, "addr": self.addr.to_string(), "flavor": self.machine.type_name,
            "region": self.machine.zone, "preemptible": self.machine.spot, "tenure": WORKER_EPOCH,
            "serial": self.serial, "fence": self.fencing_token, "warning_s": null, "shards": tasks})
    }

    /// Carries out commands; false, without doing so, if they are from an earlier leader.
    fn obey(&mut self, commands: &Value) -> bool {
        let shown_token = commands["fence"].as_u64().filter(|token| *token >= self.fencing_token);
        let Some(fencing_token) = shown_token else { return false };
        self.fencing_token = fencing_token;
        for command in commands["orders"].as_array().into_iter().flatten() {
            self.carry_out(command);
        }
        true
    }

    /// Carries out one command. One for another attempt of its task has no effect, nor has starting a task twice.
    fn carry_out(&mut self, command: &Value) {
        let name = command["shard"].as_str().unwrap_or_default();
        let attempt = command["try"].as_u64().unwrap_or(0);
        let same_attempt = self.tasks.get(name).is_some_and(|task| task.attempt == attempt);
        match command["verb"].as_str().unwrap_or_default() {
            "start" if !self.tasks.contains_key(name) => self.start(name, attempt),
            "stop" if same_attempt => self.stop(name),
            "forget" if same_attempt => {
                self.tasks.remove(name);
            }
            _ => {}
        }
    }

    fn start(&mut self, name: &str, attempt: u64) {
        let job = name.split('/').next().unwrap_or_default();
        let record = self.store.value(&format!("j/{job}")).unwrap_or(Value::Null);
        let spec = &record["open"]["spec"];
        let run_time = (spec["shape"] != "Service")
            .then(|| Duration::from_millis(spec["estimate"].as_u64().unwrap_or(0)));
        let task = Task { attempt, started_at: Instant::now(), run_time, stopped: false };
        self.tasks.insert(name.to_string(), task);
    }

    fn stop(&mut self, name: &str) {
        if let Some(task) = self.tasks.get_mut(name) {
            task.stopped = true;
        }
    }
}

impl Task {
    /// Whether it has been started and has neither been stopped nor come to its end.
    fn is_present(&self) -> bool {
        let elapsed = self.started_at.elapsed();
        !self.stopped && self.run_time.is_none_or(|run_time| elapsed < IMAGE_FETCH + run_time)
    }

    /// The task as a heartbeat describes it.
    fn status(&self, name: &str) -> Value {
        let elapsed = self.started_at.elapsed();
        let (phase, cause) = match self.run_time {
            _ if self.stopped => ("ended", Some("stopped")),
            _ if elapsed < IMAGE_FETCH => ("fetching", None),
            Some(run_time) if elapsed >= IMAGE_FETCH + run_time => ("ended", Some("done")),
            _ => ("running", None),
        };
        json!({"shard": name, "try": self.attempt, "phase": phase, "cause": cause})
    }
}
