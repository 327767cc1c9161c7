//! Runs a client library of Nomad's API against real processes on loopback: registers a job, waits for it,
//! reads its allocations, changes it and stops it. A node is killed during the rollout. Guards against
//! answers that clients of Nomad can't parse, and against requests that fail while a node is down.

use nomad_client::apis::configuration::Configuration;
use nomad_client::apis::{evaluations_api, jobs_api};
use nomad_client::models::{Job, JobPlanRequest, JobsParseRequest, RegisterJobRequest};
use pearford_dev_cluster::cluster::{Cluster, ClusterConfig, Team};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const OPERATOR: &str = "nomad:\n  listen: 127.0.0.1:PORT\n  namespaces:\n    default: red\n";

async fn cluster() -> Cluster {
    let program = env!("CARGO_BIN_EXE_pearford").into();
    let teams = vec![Team::new("red", 32), Team::new("blue", 32)];
    let config = ClusterConfig { program, nodes: 3, teams, operator: OPERATOR.into(), write_rps: 100.0 };
    Cluster::start(config).await.expect("the processes start")
}

fn at(cluster: &Cluster, node: usize) -> Configuration {
    Configuration {
        base_path: format!("http://{}/v1", cluster.nomad_api_addrs[node]),
        ..Configuration::default()
    }
}

fn job(name: &str, kind: &str, count: u32, image: &str) -> Job {
    let job = json!({"ID": name, "Name": name, "Type": kind, "Namespace": "default", "Datacenters": ["*"],
        "Meta": {"pearford_image_gb": "1", "pearford_expected_s": "1"},
        "TaskGroups": [{"Name": "main", "Count": count, "Tasks": [{"Name": "work", "Driver": "docker",
            "Config": {"image": image}, "Resources": {"Cores": 2, "MemoryMB": 1024,
                "Devices": [{"Name": "nvidia/gpu", "Count": 1}]}}]}]});
    serde_json::from_value(job).expect("must be a job of the client library")
}

fn register(job: Job) -> Option<RegisterJobRequest> {
    // The client library's constructors leave the job out.
    Some(RegisterJobRequest { job: Some(Box::new(job)), ..RegisterJobRequest::new(None) })
}

/// Polls until there is a result. A node that was just started may refuse requests for some time.
async fn poll_until<T, F: Future<Output = Option<T>>>(
    what: &str,
    cluster: &Cluster,
    poll: impl Fn() -> F,
) -> T {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20) {
        if let Some(result) = poll().await {
            return result;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("timeout waiting for {what}; logs:\n{}\n{}\n{}", cluster.log(0), cluster.log(1), cluster.log(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn nomad_client_library_manages_jobs_across_a_node_failure() {
    let mut cluster = cluster().await;
    let a = at(&cluster, 0);
    let b = at(&cluster, 1);
    let c = at(&cluster, 2);

    // Registering the same job at two nodes gives one evaluation.
    let first = poll_until("the first registration", &cluster, || async {
        jobs_api::register_job(&a, None, None, None, None, register(job("forecast", "batch", 4, "img-1")))
            .await
            .ok()
    })
    .await;
    let again = poll_until("its repeat", &cluster, || async {
        jobs_api::register_job(&b, None, None, None, None, register(job("forecast", "batch", 4, "img-1")))
            .await
            .ok()
    })
    .await;
    assert_eq!(first.eval_id, again.eval_id);
    let evaluation = first.eval_id.expect("an evaluation");

    // Blocking queries at another node return until the job is complete.
    let mut index = 1;
    let done = loop {
        let read =
            jobs_api::get_job(&c, "forecast", None, None, Some(index), Some("5s")).await.expect("answered");
        let now = i64::from(read.modify_index.expect("an index"));
        assert!(now >= index, "{now} after {index}");
        index = now;
        if read.status.as_deref() == Some("dead") {
            break read;
        }
    };
    assert_eq!(done.status_description.as_deref(), Some("done"));
    let allocations =
        jobs_api::get_job_allocations(&b, "forecast", None, None, None, None, None).await.expect("read");
    assert_eq!(allocations.len(), 4);
    assert!(allocations.iter().all(|a| a.client_status.as_deref() == Some("complete")), "{allocations:?}");
    let of_evaluation =
        evaluations_api::get_allocations_for_evaluation(&a, &evaluation, None, None, None, None)
            .await
            .expect("read");
    assert_eq!(of_evaluation.len(), 4);

    // Registering a complete job again does not run it again.
    let after =
        jobs_api::register_job(&c, None, None, None, None, register(job("forecast", "batch", 4, "img-1")));
    let after = after.await.expect("answered");
    assert_eq!(after.eval_id.as_deref(), Some(evaluation.as_str()));
    assert!(after.warnings.is_some_and(|w| w.contains("does not run again")));

    // A node is killed while a service is updated to a new image.
    jobs_api::register_job(&a, None, None, None, None, register(job("quotes", "service", 3, "img-1")))
        .await
        .expect("accepted");
    let running = |configuration: Configuration, version: i32| async move {
        let job = jobs_api::get_job(&configuration, "quotes", None, None, None, None).await.ok()?;
        let summary =
            jobs_api::get_job_summary(&configuration, "quotes", None, None, None, None).await.ok()?;
        let up = summary.summary?.get("main")?.running?;
        (job.version == Some(version) && up == 3 && job.status_description.as_deref() == Some(""))
            .then_some(())
    };
    poll_until("three replicas", &cluster, || running(b.clone(), 0)).await;
    jobs_api::register_job(&b, None, None, None, None, register(job("quotes", "service", 3, "img-2")))
        .await
        .expect("accepted");
    cluster.kill_node(0).await.expect("killed");
    poll_until("the end of the rollout", &cluster, || running(c.clone(), 1)).await;
    cluster.start_node(0).expect("starts again");

    // Planning changes nothing. A registration with an outdated job modify index is refused.
    let plan = JobPlanRequest {
        job: Some(Box::new(job("quotes", "service", 3, "img-3"))),
        ..JobPlanRequest::new(None)
    };
    let planned =
        jobs_api::plan_job(&b, "quotes", None, None, None, None, Some(plan)).await.expect("planned");
    assert_eq!(planned.diff.and_then(|d| d._type).as_deref(), Some("Edited"));
    let mut enforced = register(job("quotes", "service", 3, "img-3")).expect("a request");
    (enforced.enforce_index, enforced.job_modify_index) = (Some(true), Some(1));
    assert!(jobs_api::register_job(&b, None, None, None, None, Some(enforced)).await.is_err());

    // An unsupported field is refused.
    let mut with_env = job("env", "batch", 1, "img-1");
    if let Some(task) = with_env.task_groups.as_mut().and_then(|g| g[0].tasks.as_mut()).map(|t| &mut t[0]) {
        task.env = Some([("MODE".to_string(), "fast".to_string())].into());
    }
    let refused =
        jobs_api::register_job(&b, None, None, None, None, register(with_env)).await.expect_err("refused");
    assert!(refused.to_string().contains("400"), "{refused}");

    // The server parses a job file in HCL.
    let hcl =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/quote-api.nomad.hcl"));
    let parse = JobsParseRequest::new(hcl.expect("the example"));
    let parsed = jobs_api::parse_job_hcl(&b, None, None, None, None, Some(parse)).await.expect("parsed");
    assert_eq!(parsed.task_groups.as_ref().and_then(|g| g[0].count), Some(6));

    // The restarted node stops the job.
    let stopped = poll_until("the stop", &cluster, || async {
        jobs_api::stop_job(&a, "quotes", None, None, None, None, Some(false)).await.ok()
    })
    .await;
    assert!(stopped.eval_id.is_some());
    poll_until("no replica", &cluster, || async {
        let job = jobs_api::get_job(&c, "quotes", None, None, None, None).await.ok()?;
        (job.status.as_deref() == Some("dead")).then_some(())
    })
    .await;
    let listed = jobs_api::get_jobs(&b, None, None, None, None, Some("quo")).await.expect("listed");
    assert_eq!(listed.len(), 1);
    let value: Value = serde_json::to_value(&listed[0]).expect("JSON");
    assert_eq!(value["Status"], "dead");
}
