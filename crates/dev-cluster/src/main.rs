#![forbid(unsafe_code)]

use bytes::Bytes;
use clap::Parser;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pearford_dev_cluster::cluster::{Cluster, Plan};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::process::Command;

const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(200);

/// Runs a whole service on this machine, on loopback, until Ctrl-C: three controllers as processes,
/// stand-ins of state service, cloud and workers, Nomad's door open at each controller.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The controllers' program; the one beside this by default.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// A Nomad job file to place as soon as the service is up.
    #[arg(long, value_name = "FILE")]
    place: Option<PathBuf>,
    /// End by itself after so many seconds.
    #[arg(long = "for", value_name = "SECONDS")]
    lasts: Option<u64>,
}

const OPERATOR: &str =
    "nomad:\n  listen: 127.0.0.1:PORT\n  mhz_per_cpu: 2500\n  namespaces:\n    default: red\n";

fn main() -> ExitCode {
    let cli = Cli::parse();
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("pearford"));
    let Some(program) = cli.program.clone().or_else(beside).filter(|p| p.exists()) else {
        eprintln!(
            "pearford-dev-cluster: there is no controllers' program beside this; build it, or give --program FILE"
        );
        return ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pearford-dev-cluster: the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(program, cli)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pearford-dev-cluster: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(program: PathBuf, cli: Cli) -> std::io::Result<()> {
    let teams = vec![("red".to_string(), 32), ("blue".to_string(), 32)];
    let cluster = Cluster::start(Plan {
        program: program.clone(),
        nodes: 3,
        teams,
        operator: OPERATOR.into(),
        write_rps: 100.0,
    })
    .await?;
    for (i, (api, nomad_api)) in cluster.api.iter().zip(&cluster.nomad_apis).enumerate() {
        println!("node {i}: users http://{api}  nomad http://{nomad_api}");
    }
    if let Some(file) = &cli.place {
        place(&program, &format!("http://{}", cluster.nomad_apis[0]), file).await?;
    }
    match cli.lasts {
        Some(seconds) => tokio::time::sleep(Duration::from_secs(seconds)).await,
        None => tokio::signal::ctrl_c().await?,
    }
    Ok(())
}

/// Registers a job file and waits until its tasks run.
async fn place(program: &Path, nomad_api: &str, file: &Path) -> std::io::Result<()> {
    let began = Instant::now();
    let output = loop {
        let nomad =
            Command::new(program).args(["nomad", "run", "--address", nomad_api]).arg(file).output().await?;
        // Right after its start a node refuses for a moment.
        let early =
            String::from_utf8_lossy(&nomad.stderr).contains("come back") || nomad.stderr.starts_with(b"http");
        if nomad.status.success() || !early || began.elapsed() > PATIENCE {
            break nomad;
        }
        tokio::time::sleep(POLL).await;
    };
    print!("{}", String::from_utf8_lossy(&output.stdout));
    if !output.status.success() {
        return Err(std::io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
    }
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    while began.elapsed() < PATIENCE {
        let request =
            http::Request::get(format!("{nomad_api}/v1/jobs?namespace=*")).body(Full::new(Bytes::new()));
        if let Ok(response) = client.request(request.map_err(std::io::Error::other)?).await
            && let Ok(body) = response.into_body().collect().await
        {
            let jobs: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            let groups = jobs[0]["JobSummary"]["Summary"].as_object().cloned().unwrap_or_default();
            if !groups.is_empty() && groups.values().all(|g| g["Queued"] == 0) {
                for (group, c) in groups {
                    println!(
                        "{}: group {group}: {} run, {} complete",
                        jobs[0]["ID"], c["Running"], c["Complete"]
                    );
                }
                return Ok(());
            }
        }
        tokio::time::sleep(POLL).await;
    }
    Err(std::io::Error::other("the job's tasks did not start in time"))
}
