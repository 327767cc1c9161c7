//! A simulated cloud with an HTTP interface. The machines that it rents out are simulated workers in this
//! process.

use crate::http_server::{self, Answer};
use crate::store::StoreHandle;
use crate::worker::{self, MachineSpec, Worker};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::http::{Method, StatusCode};
use warp::path::FullPath;

/// Maximum number of machines rented at a time.
const MAX_MACHINES: usize = 64;
/// The name of the only machine type.
const MACHINE_TYPE: &str = "std";

struct Machine {
    zone: String,
    spot: bool,
    rented_at: Instant,
    worker: Worker,
    /// Sends the worker's heartbeats.
    heartbeats: JoinHandle<()>,
    addr: SocketAddr,
}

#[derive(Default)]
struct State {
    /// The number in the latest machine's name.
    last_machine: u64,
    /// The machines rented by each request, by its claim: a repeated request returns the same machines.
    claims: HashMap<String, Vec<String>>,
    machines: BTreeMap<String, Machine>,
}

/// Numbers of rented machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineCounts {
    /// All rented machines.
    pub total: usize,
    /// Hung machines, which neither send heartbeats nor answer.
    pub hung: usize,
}

/// The cloud. Clones share its machines.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    store: StoreHandle,
    nodes: Vec<SocketAddr>,
    zones: Vec<String>,
}

impl Cloud {
    /// A cloud without machines. Workers of its machines will send heartbeats to `nodes` and read jobs from
    /// `store`.
    pub fn new(store: StoreHandle, nodes: Vec<SocketAddr>, zones: Vec<String>) -> Self {
        Self { state: Arc::default(), store, nodes, zones }
    }

    /// Makes up to `count` machines that have tasks hang permanently; returns their number.
    pub fn hang_machines(&self, count: usize) -> usize {
        let state = self.lock();
        let workers = state.machines.values().map(|machine| &machine.worker);
        let with_tasks = workers.filter(|worker| !worker.is_hung() && !worker.present_tasks().is_empty());
        with_tasks.take(count).map(Worker::hang).count()
    }

    /// The number of machines that each task is on. Tasks of hung machines count until the machines are
    /// returned.
    pub fn present_tasks(&self) -> BTreeMap<String, usize> {
        let mut machines_by_task = BTreeMap::new();
        for machine in self.lock().machines.values() {
            for task in machine.worker.present_tasks() {
                *machines_by_task.entry(task).or_default() += 1;
            }
        }
        machines_by_task
    }

    /// The numbers of rented and of hung machines.
    pub fn machine_counts(&self) -> MachineCounts {
        let state = self.lock();
        let hung = state.machines.values().filter(|machine| machine.worker.is_hung()).count();
        MachineCounts { total: state.machines.len(), hung }
    }

    /// Serves the cloud on a free port.
    ///
    /// # Errors
    ///
    /// The cloud can't listen on a port.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let cloud = self.clone();
        let filter = warp::method().and(warp::path::full()).and(warp::body::bytes()).map(
            move |method: Method, path: FullPath, body: bytes::Bytes| {
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                cloud.answer(&method, path.as_str(), &body).into_response()
            },
        );
        http_server::serve(filter)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, method: &Method, path: &str, body: &Value) -> Answer {
        match (method.as_str(), path) {
            ("GET", "/flavors") => Answer::ok(self.machine_types()),
            ("GET", "/machines") => Answer::ok(self.list()),
            ("POST", "/machines") => self.rent(body),
            ("POST", "/machines/release") => self.release(body),
            _ => Answer::malformed(),
        }
    }

    fn machine_types(&self) -> Value {
        json!({"flavors": [{"name": MACHINE_TYPE, "vcpus": 32, "accelerators": 8, "memory_gb": 256,
            "local_gb": 100, "pull_gb_per_s": 10.0, "hourly": 8.0, "low_price": 3.0, "ready_s": 1,
            "regions": self.zones}]})
    }

    fn rent(&self, body: &Value) -> Answer {
        let text = |key: &str| body[key].as_str().unwrap_or_default().to_string();
        let wanted = body["number"].as_u64().unwrap_or(1) as usize;
        let mut state = self.lock();
        if let Some(hosts) = state.claims.get(&text("claim")) {
            return Answer::ok(json!({"hosts": hosts}));
        }
        let mut hosts = Vec::new();
        for _ in 0..wanted.min(MAX_MACHINES.saturating_sub(state.machines.len())) {
            state.last_machine += 1;
            let spec = MachineSpec {
                id: format!("m-{:06}", state.last_machine),
                type_name: text("flavor"),
                zone: text("region"),
                spot: body["preemptible"] == true,
            };
            let id = spec.id.clone();
            let Ok(machine) = self.start_machine(spec) else { break };
            state.machines.insert(id.clone(), machine);
            hosts.push(id);
        }
        if hosts.is_empty() {
            return Answer::new(StatusCode::SERVICE_UNAVAILABLE, json!({"error": "no capacity"}));
        }
        state.claims.insert(text("claim"), hosts.clone());
        Answer::ok(json!({"hosts": hosts}))
    }

    fn start_machine(&self, spec: MachineSpec) -> std::io::Result<Machine> {
        let zone = spec.zone.clone();
        let spot = spec.spot;
        let started = worker::start(spec, self.nodes.clone(), self.store.clone())?;
        Ok(Machine {
            zone,
            spot,
            rented_at: Instant::now(),
            worker: started.worker,
            heartbeats: started.heartbeats,
            addr: started.addr,
        })
    }

    fn release(&self, body: &Value) -> Answer {
        for id in body["hosts"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if let Some(machine) = self.lock().machines.remove(id) {
                machine.heartbeats.abort();
            }
        }
        Answer::ok(json!({}))
    }

    fn list(&self) -> Value {
        let state = self.lock();
        let hosts: Vec<Value> = state.machines.iter().map(|(id, machine)| machine.description(id)).collect();
        json!({"hosts": hosts, "more": false})
    }
}

impl Machine {
    /// The machine's entry in the cloud's list.
    fn description(&self, id: &str) -> Value {
        json!({"id": id, "addr": self.addr.to_string(), "flavor": MACHINE_TYPE, "region": self.zone,
            "preemptible": self.spot, "phase": "running", "age_s": self.rented_at.elapsed().as_secs_f64()})
    }
}
