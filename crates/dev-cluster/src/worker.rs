//! A simulated worker: it accepts commands and sends heartbeats. Its tasks do no work, and end after their
//! run time.

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
/// Timeout for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Duration of a task's image fetch, before it runs.
const IMAGE_FETCH: Duration = Duration::from_millis(200);
/// The epoch of every worker. Workers are never restarted.
const WORKER_EPOCH: u64 = 1;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The properties of a rented machine.
pub(crate) struct MachineSpec {
    pub(crate) id: String,
    pub(crate) type_name: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
}

/// A worker that was just started.
pub(crate) struct StartedWorker {
    pub(crate) worker: Worker,
    /// The address at which it accepts commands.
    pub(crate) addr: SocketAddr,
    /// The task that sends its heartbeats; it is aborted when the machine is returned.
    pub(crate) heartbeats: JoinHandle<()>,
}

struct Task {
    attempt: u64,
    started_at: Instant,
    /// How long it runs after the image fetch; `None` for a service, which runs until it is stopped.
    run_time: Option<Duration>,
    stopped: bool,
}

struct State {
    machine: MachineSpec,
    addr: SocketAddr,
    /// The number of the latest heartbeat.
    serial: u64,
    /// The highest fencing token received.
    fencing_token: u64,
    tasks: BTreeMap<String, Task>,
    store: StoreHandle,
    /// The machine hangs: it neither sends heartbeats nor answers, and its tasks count as present until it is
    /// returned.
    hung: bool,
}

/// A worker. Clones share its state.
#[derive(Clone)]
pub(crate) struct Worker(Arc<Mutex<State>>);

/// Starts a worker that accepts commands on a free port and sends heartbeats to `nodes`.
///
/// # Errors
///
/// The worker can't listen on a port.
pub(crate) fn start(
    machine: MachineSpec,
    nodes: Vec<SocketAddr>,
    store: StoreHandle,
) -> std::io::Result<StartedWorker> {
    let state = State {
        machine,
        // Replaced when the port is known.
        addr: SocketAddr::from(([127, 0, 0, 1], 0)),
        serial: 0,
        fencing_token: 0,
        tasks: BTreeMap::new(),
        store,
        hung: false,
    };
    let worker = Worker(Arc::new(Mutex::new(state)));
    let command_worker = worker.clone();
    let addr = http_server::serve(warp::body::bytes().then(move |body: Bytes| {
        let worker = command_worker.clone();
        async move {
            if worker.is_hung() {
                std::future::pending::<()>().await;
            }
            worker.handle_commands(&body).into_response()
        }
    }))?;
    worker.lock().addr = addr;
    let heartbeats = tokio::spawn(worker.clone().send_heartbeats(nodes));
    Ok(StartedWorker { worker, addr, heartbeats })
}

impl Worker {
    /// Makes the worker hang: from now on it neither sends heartbeats nor answers.
    pub(crate) fn hang(&self) {
        self.lock().hung = true;
    }

    pub(crate) fn is_hung(&self) -> bool {
        self.lock().hung
    }

    /// The names of the tasks on the machine that have not ended.
    pub(crate) fn present_tasks(&self) -> Vec<String> {
        let state = self.lock();
        let present = state.tasks.iter().filter(|(_, task)| task.is_present());
        present.map(|(name, _)| name.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Executes commands that a controller sends, and answers with a heartbeat.
    fn handle_commands(&self, body: &[u8]) -> Answer {
        let commands: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let mut state = self.lock();
        let accepted = commands.is_null() || (commands["tenure"] == WORKER_EPOCH && state.execute(&commands));
        let status = if accepted { StatusCode::OK } else { StatusCode::CONFLICT };
        Answer::new(status, state.heartbeat())
    }

    /// Sends heartbeats until the worker hangs. Switches to the next node if one doesn't accept a heartbeat.
    async fn send_heartbeats(self, nodes: Vec<SocketAddr>) {
        let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
        let mut node = 0;
        while !self.is_hung() {
            let heartbeat = self.lock().heartbeat().to_string();
            let exchange = exchange_heartbeat(&client, nodes[node % nodes.len()], heartbeat);
            match tokio::time::timeout(HEARTBEAT_TIMEOUT, exchange).await.ok().flatten() {
                Some(commands) => self.execute_unless_hung(&commands),
                None => node += 1,
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn execute_unless_hung(&self, commands: &Value) {
        let mut state = self.lock();
        if !state.hung {
            state.execute(commands);
        }
    }
}

/// Sends a heartbeat and returns the commands in the answer; `None` if the heartbeat was not accepted.
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

    /// Executes commands. Returns false, without executing them, if their fencing token is lower than the
    /// highest received.
    fn execute(&mut self, commands: &Value) -> bool {
        let valid_token = commands["fence"].as_u64().filter(|token| *token >= self.fencing_token);
        let Some(fencing_token) = valid_token else { return false };
        self.fencing_token = fencing_token;
        for command in commands["orders"].as_array().into_iter().flatten() {
            self.execute_one(command);
        }
        true
    }

    /// Executes one command. A command for another attempt of its task has no effect, nor has a second start.
    fn execute_one(&mut self, command: &Value) {
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
    /// Whether it was started and has neither been stopped nor ended.
    fn is_present(&self) -> bool {
        let elapsed = self.started_at.elapsed();
        !self.stopped && self.run_time.is_none_or(|run_time| elapsed < IMAGE_FETCH + run_time)
    }

    /// The task's entry in a heartbeat.
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
