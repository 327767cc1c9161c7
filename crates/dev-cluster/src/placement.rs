//! Registers a job file with a cluster that was just started, and waits until the tasks run.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Map, Value};
use std::io::{Error, Result};
use std::path::Path;
use std::process::Output;
use std::time::{Duration, Instant};
use tokio::process::Command;

/// Timeout for registering the job and starting its tasks.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Registers `file` at `nomad_api`, a URL. Once no task waits for a machine, prints how many tasks of each
/// group run.
///
/// # Errors
///
/// The job is refused, or its tasks don't start before the timeout.
pub(crate) async fn place(program: &Path, nomad_api: &str, file: &Path) -> Result<()> {
    let began = Instant::now();
    let output = register(program, nomad_api, file, began).await?;
    print!("{}", String::from_utf8_lossy(&output.stdout));
    if !output.status.success() {
        return Err(Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
    }
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    while began.elapsed() < TIMEOUT {
        let jobs = list_jobs(&client, nomad_api).await?;
        let job = &jobs[0];
        if let Some(groups) = started_groups(job) {
            for (group, tasks) in groups {
                let running = &tasks["Running"];
                let complete = &tasks["Complete"];
                println!("{}: group {group}: {running} run, {complete} complete", job["ID"]);
            }
            return Ok(());
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(Error::other("timeout waiting for the job's tasks to start"))
}

/// Runs `pearford nomad run` until it succeeds, fails permanently, or the timeout is reached.
async fn register(program: &Path, nomad_api: &str, file: &Path, began: Instant) -> Result<Output> {
    loop {
        let output =
            Command::new(program).args(["nomad", "run", "--address", nomad_api]).arg(file).output().await?;
        if output.status.success() || !is_transient(&output) || began.elapsed() > TIMEOUT {
            return Ok(output);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Whether the node refused temporarily or could not be reached: both are normal right after its start.
fn is_transient(output: &Output) -> bool {
    let refused = String::from_utf8_lossy(&output.stderr).contains("come back");
    // Errors of the client itself begin with the node's URL.
    refused || output.stderr.starts_with(b"http")
}

/// The cluster's jobs; null without a usable answer.
async fn list_jobs(client: &HttpClient, nomad_api: &str) -> Result<Value> {
    let request = http::Request::get(format!("{nomad_api}/v1/jobs?namespace=*"))
        .body(Full::new(Bytes::new()))
        .map_err(Error::other)?;
    let Ok(response) = client.request(request).await else { return Ok(Value::Null) };
    let Ok(body) = response.into_body().collect().await else { return Ok(Value::Null) };
    Ok(serde_json::from_slice(&body.to_bytes()).unwrap_or_default())
}

/// The summaries of a job's groups, if it has any and no task waits for a machine.
fn started_groups(job: &Value) -> Option<&Map<String, Value>> {
    let groups = job["JobSummary"]["Summary"].as_object()?;
    let started = !groups.is_empty() && groups.values().all(|tasks| tasks["Queued"] == 0);
    started.then_some(groups)
}
