//! A stand-in of the cloud: rents machines, which are tasks of this process.

use crate::store::StoreHandle;
use crate::worker::{self, Worker};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::reply::Response;

/// Machines at a time.
const MOST: usize = 64;

struct Machine {
    zone: String,
    spot: bool,
    since: Instant,
    worker: Worker,
    runs: JoinHandle<()>,
    addr: SocketAddr,
}

#[derive(Default)]
struct Inner {
    next: u64,
    claims: HashMap<String, Vec<String>>,
    machines: BTreeMap<String, Machine>,
}

#[derive(Clone)]
pub struct Cloud {
    inner: Arc<Mutex<Inner>>,
    store: StoreHandle,
    nodes: Vec<SocketAddr>,
    zones: Vec<String>,
}

impl Cloud {
    /// Its machines report to `nodes`.
    pub fn new(store: StoreHandle, nodes: Vec<SocketAddr>, zones: Vec<String>) -> Self {
        Self { inner: Arc::default(), store, nodes, zones }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes `n` machines that have work hang for good; gives how many did.
    pub fn silence(&self, n: usize) -> usize {
        let inner = self.lock();
        let workers = inner.machines.values().map(|m| &m.worker);
        let with_work = workers.filter(|w| !w.is_silent() && !w.present().is_empty());
        with_work.take(n).map(Worker::fall_silent).count()
    }

    /// On how many machines each task is. Those of silent machines count until the machines are returned.
    pub fn present(&self) -> BTreeMap<String, usize> {
        let mut places = BTreeMap::new();
        for machine in self.lock().machines.values() {
            for task in machine.worker.present() {
                *places.entry(task).or_default() += 1;
            }
        }
        places
    }

    /// Machines, silent ones among them.
    pub fn machines(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.machines.len(), inner.machines.values().filter(|m| m.worker.is_silent()).count())
    }

    fn types(&self) -> Value {
        json!({"flavors": [{"name": "std", "vcpus": 32, "accelerators": 8, "memory_gb": 256, "local_gb": 100,
            "pull_gb_per_s": 10.0, "hourly": 8.0, "low_price": 3.0, "ready_s": 1, "regions": self.zones}]})
    }

    fn rent(&self, body: &Value) -> (u16, Value) {
        let text = |key: &str| body[key].as_str().unwrap_or_default().to_string();
        let number = body["number"].as_u64().unwrap_or(1) as usize;
        let mut inner = self.lock();
        if let Some(hosts) = inner.claims.get(&text("claim")) {
            return (200, json!({"hosts": hosts}));
        }
        let mut hosts = Vec::new();
        for _ in 0..number.min(MOST.saturating_sub(inner.machines.len())) {
            inner.next += 1;
            let id = format!("m-{:06}", inner.next);
            let spot = body["preemptible"] == true;
            let place =
                worker::Place { id: id.clone(), type_name: text("flavor"), zone: text("region"), spot };
            let zone = place.zone.clone();
            let Ok((addr, worker, runs)) = worker::start(place, self.nodes.clone(), self.store.clone())
            else {
                break;
            };
            inner
                .machines
                .insert(id.clone(), Machine { zone, spot, since: Instant::now(), worker, runs, addr });
            hosts.push(id);
        }
        if hosts.is_empty() {
            return (503, json!({"error": "no capacity"}));
        }
        inner.claims.insert(text("claim"), hosts.clone());
        (200, json!({"hosts": hosts}))
    }

    fn release(&self, body: &Value) -> (u16, Value) {
        for id in body["hosts"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if let Some(machine) = self.lock().machines.remove(id) {
                machine.runs.abort();
            }
        }
        (200, json!({}))
    }

    fn list(&self) -> Value {
        let inner = self.lock();
        let hosts: Vec<Value> = inner
            .machines
            .iter()
            .map(|(id, m)| {
                json!({"id": id, "addr": m.addr.to_string(), "flavor": "std", "region": m.zone, "preemptible": m.spot,
                    "phase": "running", "age_s": m.since.elapsed().as_secs_f64()})
            })
            .collect();
        json!({"hosts": hosts, "more": false})
    }

    /// Serves it on a free port.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let cloud = self.clone();
        let filter = warp::method().and(warp::path::full()).and(warp::body::bytes()).map(
            move |method: warp::http::Method, path: warp::path::FullPath, body: bytes::Bytes| -> Response {
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                let (status, body) = match (method.as_str(), path.as_str()) {
                    ("GET", "/flavors") => (200, cloud.types()),
                    ("GET", "/machines") => (200, cloud.list()),
                    ("POST", "/machines") => cloud.rent(&body),
                    ("POST", "/machines/release") => cloud.release(&body),
                    _ => (400, json!({"error": "malformed"})),
                };
                let status = warp::http::StatusCode::from_u16(status).unwrap_or_default();
                warp::Reply::into_response(warp::reply::with_status(warp::reply::json(&body), status))
            },
        );
        crate::serve(filter)
    }
}
