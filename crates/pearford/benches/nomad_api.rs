//! Measures the cost of the Nomad API, as ratios to a node without it and to the native API within one run:
//! `cargo bench -p pearford --bench nomad_api`. Uses real node processes and simulated services on loopback.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pearford_dev_cluster::cluster::{Cluster, ClusterConfig, Team};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const JOBS: usize = 2_000;
const NAMES: usize = 10_000;
const QUERIES: usize = 500;
const OPERATOR: &str = "nomad:\n  listen: 127.0.0.1:PORT\n  max_blocking: 1000\n";

type Http = Client<HttpConnector, Full<Bytes>>;

async fn send(client: &Http, method: &str, uri: String, body: &Value) -> (u16, Bytes) {
    let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let request = http::Request::builder().method(method).uri(uri).body(Full::new(body)).expect("a request");
    match client.request(request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            (
                status,
                response
                    .into_body()
                    .collect()
                    .await
                    .map(http_body_util::Collected::to_bytes)
                    .unwrap_or_default(),
            )
        }
        Err(_) => (0, Bytes::new()),
    }
}

/// CPU seconds and resident memory in MB of a process.
fn used(pid: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let kb = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.trim().parse::<f64>().ok());
    // The times in /proc/PID/stat are in hundredths of a second.
    ((ticks(11) + ticks(12)) / 100.0, kb.unwrap_or(0.0) / 1024.0)
}

struct Node {
    cluster: Cluster,
    client: Http,
    api: SocketAddr,
    nomad_api: SocketAddr,
    ready_ms: f64,
}

impl Node {
    async fn start(operator: &str) -> Self {
        let config = ClusterConfig {
            program: env!("CARGO_BIN_EXE_pearford").into(),
            nodes: 1,
            // Only one job runs; all others wait because the team's limit is reached.
            teams: vec![Team::new("red", 1)],
            operator: operator.into(),
            write_rps: 100_000.0,
        };
        let began = Instant::now();
        let cluster = Cluster::start(config).await.expect("starts");
        let client = Client::builder(TokioExecutor::new()).build_http();
        let (api, nomad_api) = (cluster.api_addrs[0], cluster.nomad_api_addrs[0]);
        while send(&client, "GET", format!("http://{api}/up"), &Value::Null).await.0 != 200 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let ready_ms = began.elapsed().as_secs_f64() * 1000.0;
        let node = Self { cluster, client, api, nomad_api, ready_ms };
        // Submissions are refused until the machine types are known and there is a leader.
        while node.native(999_999_999).await != 201 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        node
    }

    fn used(&self) -> (f64, f64) {
        self.cluster.pid(0).map(used).unwrap_or_default()
    }

    async fn native(&self, n: usize) -> u16 {
        let body = json!({"id": format!("req-{n}"), "job_class": "bench", "owner": "red", "shape": "array", "urgency": "normal",
            "shards": 1, "vcpus": 1.0, "accelerators": 1.0, "memory_gb": 1.0, "bundle": "img", "image_gb": 1.0, "flavors": null,
            "region": null, "together": false, "spread": false, "preemptible": false, "expected_s": 3600.0,
            "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": null});
        send(&self.client, "POST", format!("http://{}/submissions", self.api), &body).await.0
    }

    async fn nomad(&self, n: usize) -> u16 {
        let body = json!({"Job": {"ID": format!("job-{n}"), "Namespace": "red", "Type": "batch",
            "Meta": {"pearford_image_gb": "1", "pearford_expected_s": "3600", "pearford_class": "bench"},
            "TaskGroups": [{"Name": "g", "Count": 1, "Tasks": [{"Name": "t", "Driver": "docker", "Config": {"image": "img"},
                "Resources": {"Cores": 1, "MemoryMB": 1024, "Devices": [{"Name": "gpu", "Count": 1}]}}]}]}});
        send(&self.client, "POST", format!("http://{}/v1/jobs", self.nomad_api), &body).await.0
    }

    /// Submits `jobs` one after another; returns the number per CPU second of the node.
    async fn rate(&self, jobs: usize, nomad_api: bool) -> f64 {
        let (before, _) = self.used();
        let mut accepted = 0;
        for n in 0..jobs {
            let status = if nomad_api { self.nomad(n).await } else { self.native(n).await };
            accepted += usize::from(matches!(status, 200 | 201));
        }
        let (after, _) = self.used();
        assert_eq!(accepted, jobs, "all jobs must be accepted");
        accepted as f64 / (after - before)
    }

    /// Median and 95th percentile of the latency of native submissions, in ms.
    async fn latency(&self, from: usize) -> (f64, f64) {
        let mut ms = Vec::new();
        for n in 0..200 {
            let began = Instant::now();
            assert_eq!(self.native(from + n).await, 201);
            ms.push(began.elapsed().as_secs_f64() * 1000.0);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        ms.sort_by(f64::total_cmp);
        (ms[ms.len() / 2], ms[ms.len() * 95 / 100])
    }
}

/// CPU usage over a few seconds, in percent of a core.
async fn idle_share(node: &Node) -> f64 {
    let (before, _) = node.used();
    let began = Instant::now();
    tokio::time::sleep(Duration::from_secs(8)).await;
    (node.used().0 - before) / began.elapsed().as_secs_f64() * 100.0
}

async fn measure() {
    let (off, on) = (Node::start("{}\n").await, Node::start(OPERATOR).await);
    println!("ready: {:.0} ms without, {:.0} ms with the Nomad API", off.ready_ms, on.ready_ms);
    println!("memory at the start: {:.1} MB without, {:.1} MB with", off.used().1, on.used().1);
    println!("idle: {:.2}% of a core without, {:.2}% with", idle_share(&off).await, idle_share(&on).await);

    let native = off.rate(JOBS, false).await;
    let (native_with_nomad, nomad_api) =
        (on.rate(JOBS, false).await, Node::start(OPERATOR).await.rate(JOBS, true).await);
    println!(
        "submissions per CPU second: native {native:.0}, native on a node with the Nomad API {native_with_nomad:.0}, \
         Nomad API {nomad_api:.0}"
    );
    println!(
        "  ratio of the Nomad API to native: {:.2}; ratio of native with to native without it: {:.2}",
        nomad_api / native,
        native_with_nomad / native
    );
    drop((off, on));

    // The names belong to finished jobs, so that the difference in memory is due to the Nomad API only.
    let node = Arc::new(Node::start(OPERATOR).await);
    let baseline = Node::start("{}\n").await;
    for n in 0..NAMES {
        assert_eq!(node.nomad(n).await, 200);
        assert_eq!(baseline.native(n).await, 201);
        let name = format!("http://{}/v1/job/job-{n}?namespace=red", node.nomad_api);
        assert_eq!(send(&node.client, "DELETE", name, &Value::Null).await.0, 200);
        let id = format!("http://{}/submissions/req-{n}/withdraw", baseline.api);
        assert_eq!(send(&baseline.client, "POST", id, &Value::Null).await.0, 200);
    }
    println!(
        "memory with {NAMES} finished jobs: native {:.1} MB, names of the Nomad API {:.1} MB",
        baseline.used().1,
        node.used().1
    );
    println!(
        "idle with {NAMES} finished jobs: native {:.2}% of a core, Nomad API {:.2}%",
        idle_share(&baseline).await,
        idle_share(&node).await
    );

    let mut waiting = Vec::new();
    for n in 0..QUERIES {
        let node = node.clone();
        waiting.push(tokio::spawn(async move {
            let uri = format!(
                "http://{}/v1/job/job-{}?namespace=red&index=99999999&wait=60s",
                node.nomad_api,
                n % 50
            );
            send(&node.client, "GET", uri, &Value::Null).await.0
        }));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    println!(
        "with {QUERIES} blocking queries: {:.1} MB, {:.2}% of a core",
        node.used().1,
        idle_share(&node).await
    );
    waiting.iter().for_each(tokio::task::JoinHandle::abort);

    let node = Arc::new(Node::start(OPERATOR).await);
    let (quiet, quiet95) = node.latency(20_000_000).await;
    let stop = Arc::new(AtomicBool::new(false));
    let registrations: Vec<_> = (0..8)
        .map(|lane| {
            let (node, stop) = (node.clone(), stop.clone());
            tokio::spawn(async move {
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) && n < 20_000 {
                    node.nomad(1_000_000 * (lane + 1) + n).await;
                    n += 1;
                }
                n
            })
        })
        .collect();
    let (loaded, loaded95) = node.latency(30_000_000).await;
    stop.store(true, Ordering::Relaxed);
    let mut registered = 0;
    for lane in registrations {
        registered += lane.await.unwrap_or(0);
    }
    println!(
        "native submissions: median {quiet:.2} ms, 95% {quiet95:.2} ms; with {registered} concurrent \
         registrations: {loaded:.2} and {loaded95:.2} ms"
    );
    println!("  ratios: {:.1} and {:.1}", loaded / quiet, loaded95 / quiet95);
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(measure());
}
