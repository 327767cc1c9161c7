//! Kills and restarts all of three real node processes ten times, with sixty simulated workers on loopback,
//! of which a fifth hang. Guards against tasks that are lost, or run on two machines, when the nodes restore
//! their state after a restart of all of them.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pearford_dev_cluster::cluster::{Cluster, ClusterConfig, Team};
use pearford_dev_cluster::service_report::ServiceReport;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const JOBS: usize = 15;
const TASKS: usize = 4;
const RESTARTS: usize = 10;
/// The restarts during which two machines hang: a fifth of the machines in total.
const RESTARTS_WITH_HUNG_MACHINES: [usize; 6] = [0, 1, 3, 4, 6, 7];

type Http = Client<HttpConnector, Full<Bytes>>;

async fn exchange(http: &Http, uri: String, body: Option<Value>) -> Option<(u16, Value)> {
    let request = match body {
        Some(body) => http::Request::post(uri).body(Full::new(Bytes::from(body.to_string()))),
        None => http::Request::get(uri).body(Full::default()),
    };
    let exchange = async {
        let response = http.request(request.ok()?).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    };
    tokio::time::timeout(Duration::from_secs(5), exchange).await.ok().flatten()
}

/// A service each of whose tasks takes a whole machine.
fn service(n: usize) -> Value {
    json!({"id": format!("req-{n:06}"), "job_class": "quotes", "owner": if n.is_multiple_of(2) { "red" } else { "blue" },
        "shape": "daemon", "urgency": "production", "shards": TASKS, "vcpus": 4.0, "accelerators": 8.0, "memory_gb": 8.0,
        "bundle": "img-1", "image_gb": 1.0, "flavors": null, "region": null, "together": false, "spread": true,
        "preemptible": true, "expected_s": 0.0, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": null})
}

/// Waits until every task is on one machine that responds. Fails if a task is on two.
async fn wait_until_all_tasks_run(cluster: &Cluster, what: &str) {
    let began = Instant::now();
    loop {
        let present = cluster.cloud.present_tasks();
        let duplicates: Vec<_> = present.iter().filter(|(_, n)| **n > 1).collect();
        assert!(duplicates.is_empty(), "{what}: tasks on two machines: {duplicates:?}");
        let hung = cluster.cloud.machine_counts().hung;
        if present.len() == JOBS * TASKS && hung == 0 {
            return;
        }
        let logs = || (0..3).map(|i| cluster.log(i)).collect::<String>();
        let machines = cluster.cloud.machine_counts();
        let tasks = present.len();
        assert!(began.elapsed() < Duration::from_secs(60), "{what}: {tasks} tasks, {machines:?}; {}", logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Number of jobs that the service report counts as accepted from the controllers' logs.
fn accepted_by_logs(cluster: &Cluster) -> usize {
    let logs: String = (0..3).map(|node| cluster.log(node)).collect();
    let report = ServiceReport::from_log(logs.lines());
    report.classes.values().map(|counts| counts.jobs + counts.late).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn ten_restarts_of_all_nodes_neither_lose_nor_duplicate_tasks() {
    let teams = vec![Team::new("red", 400), Team::new("blue", 400)];
    let program = env!("CARGO_BIN_EXE_pearford").into();
    let operator = "report_homes: true\n".to_string();
    let config = ClusterConfig { program, nodes: 3, teams, operator, write_rps: 200.0 };
    let mut cluster = Cluster::start(config).await.expect("the processes start");
    let http: Http = Client::builder(TokioExecutor::new()).build_http();
    for n in 0..JOBS {
        let uri = format!("http://{}/submissions", cluster.api_addrs[n % 3]);
        let began = Instant::now();
        while exchange(&http, uri.clone(), Some(service(n))).await.is_none_or(|(status, _)| status != 201) {
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "timeout waiting for a submission to be accepted: {}",
                cluster.log(0)
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    wait_until_all_tasks_run(&cluster, "before the first restart").await;
    assert_eq!(
        accepted_by_logs(&cluster),
        JOBS,
        "pearford-service-report must find every job in the controllers' logs"
    );
    for restart in 0..RESTARTS {
        for i in 0..3 {
            cluster.kill_node(i).await.expect("killed");
        }
        if RESTARTS_WITH_HUNG_MACHINES.contains(&restart) {
            assert_eq!(cluster.cloud.hang_machines(2), 2);
        }
        for i in 0..3 {
            cluster.start_node(i).expect("restarted");
        }
        wait_until_all_tasks_run(&cluster, &format!("after restart {restart}")).await;
    }
    for n in 0..JOBS {
        let uri = format!("http://{}/submissions/req-{n:06}", cluster.api_addrs[n % 3]);
        let began = Instant::now();
        loop {
            match exchange(&http, uri.clone(), None).await {
                Some((200, body)) if body["phase"] == "running" => break,
                Some((404, _)) => panic!("the nodes lost req-{n:06}"),
                got => assert!(began.elapsed() < Duration::from_secs(20), "req-{n:06}: {got:?}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
