//! A stand-in of a worker: takes orders and lets time pass in place of work.

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

const REPORT_EVERY: Duration = Duration::from_millis(400);
const FETCH: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(4);

pub(crate) struct Place {
    pub id: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
}

struct Task {
    attempt: u64,
    began: Instant,
    /// How long it runs; a service until it is stopped.
    runs: Option<Duration>,
    stopped: bool,
}

struct Inner {
    place: Place,
    addr: SocketAddr,
    serial: u64,
    fencing_token: u64,
    tasks: BTreeMap<String, Task>,
    store: StoreHandle,
    /// The machine hangs, or is dead: nobody hears of it, and what runs there is counted until it is returned.
    silent: bool,
}

#[derive(Clone)]
pub(crate) struct Worker(Arc<Mutex<Inner>>);

impl Inner {
    fn report(&mut self) -> Value {
        self.serial += 1;
        let tasks: Vec<Value> = self.tasks.iter().map(|(name, t)| t.shown(name)).collect();
        json!({"host": self.place.id, "addr": self.addr.to_string(), "flavor": self.place.type_name,
            "region": self.place.zone, "preemptible": self.place.spot, "tenure": 1, "serial": self.serial,
            "fence": self.fencing_token, "warning_s": null, "shards": tasks})
    }

    /// Takes an answer or a command, unless it is of an earlier leader.
    fn obey(&mut self, answer: &Value) -> bool {
        let Some(fencing_token) = answer["fence"].as_u64().filter(|f| *f >= self.fencing_token) else {
            return false;
        };
        self.fencing_token = fencing_token;
        for order in answer["orders"].as_array().into_iter().flatten() {
            let name = order["shard"].as_str().unwrap_or_default().to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            let verb = order["verb"].as_str().unwrap_or_default();
            if verb == "start" && !self.tasks.contains_key(&name) {
                self.start(name, attempt);
                continue;
            }
            match (verb, self.tasks.get_mut(&name).filter(|t| t.attempt == attempt)) {
                ("stop", Some(task)) => task.stopped = true,
                ("forget", Some(_)) => {
                    self.tasks.remove(&name);
                }
                _ => {}
            }
        }
        true
    }

    fn start(&mut self, name: String, attempt: u64) {
        let job = name.split('/').next().unwrap_or_default();
        let record = self.store.value(&format!("j/{job}")).unwrap_or(Value::Null);
        let spec = &record["open"]["spec"];
        let runs = (spec["shape"] != "Service")
            .then(|| Duration::from_millis(spec["estimate"].as_u64().unwrap_or(0)));
        self.tasks.insert(name, Task { attempt, began: Instant::now(), runs, stopped: false });
    }
}

impl Task {
    fn shown(&self, name: &str) -> Value {
        let ran = self.began.elapsed();
        let (phase, cause) = match self.runs {
            _ if self.stopped => ("ended", Some("stopped")),
            _ if ran < FETCH => ("fetching", None),
            Some(runs) if ran >= FETCH + runs => ("ended", Some("done")),
            _ => ("running", None),
        };
        json!({"shard": name, "try": self.attempt, "phase": phase, "cause": cause})
    }
}

impl Worker {
    /// From now on it neither reports nor answers.
    pub(crate) fn fall_silent(&self) {
        self.lock().silent = true;
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.lock().silent
    }

    /// Tasks that are on the machine.
    pub(crate) fn present(&self) -> Vec<String> {
        let present = |t: &Task| !t.stopped && t.runs.is_none_or(|runs| t.began.elapsed() < FETCH + runs);
        self.lock().tasks.iter().filter(|(_, t)| present(t)).map(|(name, _)| name.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn reports(self, nodes: Vec<SocketAddr>) {
        let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let mut at = 0;
        loop {
            if self.is_silent() {
                return;
            }
            let body = self.lock().report().to_string();
            let uri = format!("http://{}/v1/report", nodes[at % nodes.len()]);
            let answer = async {
                let request = http::Request::post(uri).body(Full::new(Bytes::from(body))).ok()?;
                let response = client.request(request).await.ok()?;
                let status = response.status().as_u16();
                let body = response.into_body().collect().await.ok()?.to_bytes();
                Some((status, serde_json::from_slice::<Value>(&body).unwrap_or(Value::Null)))
            };
            match tokio::time::timeout(PATIENCE, answer).await.ok().flatten() {
                Some((200, answer)) => {
                    let mut inner = self.lock();
                    if !inner.silent {
                        inner.obey(&answer);
                    }
                }
                _ => at += 1,
            }
            tokio::time::sleep(REPORT_EVERY).await;
        }
    }
}

/// Starts a worker; it ends with its handle.
pub(crate) fn start(
    place: Place,
    nodes: Vec<SocketAddr>,
    store: StoreHandle,
) -> std::io::Result<(SocketAddr, Worker, JoinHandle<()>)> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let inner =
        Inner { place, addr, serial: 0, fencing_token: 0, tasks: BTreeMap::new(), store, silent: false };
    let worker = Worker(Arc::new(Mutex::new(inner)));
    let direct = worker.clone();
    let answer = move |body: Bytes| {
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let mut inner = direct.lock();
        let done = body.is_null() || (body["tenure"] == 1 && inner.obey(&body));
        let status = if done { warp::http::StatusCode::OK } else { warp::http::StatusCode::CONFLICT };
        warp::reply::with_status(warp::reply::json(&inner.report()), status)
    };
    let asked = worker.clone();
    let addr = crate::serve(warp::body::bytes().then(move |body: Bytes| {
        let (answer, silent) = (answer.clone(), asked.is_silent());
        async move {
            if silent {
                std::future::pending::<()>().await;
            }
            answer(body)
        }
    }))?;
    worker.lock().addr = addr;
    Ok((addr, worker.clone(), tokio::spawn(worker.reports(nodes))))
}
