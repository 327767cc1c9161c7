//! `pearford-dev-cluster`: runs a complete service on this machine, and optionally places a job on it.
#![forbid(unsafe_code)]

mod placement;

use clap::Parser;
use pearford_dev_cluster::cluster::{Cluster, ClusterConfig, Team};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs a complete service on this machine, on loopback, until Ctrl-C: three controllers as processes,
/// each with the Nomad API, and a simulated key-value store, cloud and workers.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The controllers' program; by default `pearford` in the directory of this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// A Nomad job file to register as soon as the service is ready.
    #[arg(long, value_name = "FILE")]
    place: Option<PathBuf>,
    /// Exit after this many seconds.
    #[arg(long = "for", value_name = "SECONDS")]
    run_for: Option<u64>,
}

/// Exit code if there is no program to run.
const NO_PROGRAM: u8 = 2;
/// Number of controllers.
const NODES: usize = 3;
/// Maximum number of GPUs that each team may use.
const TEAM_MAX_GPUS: u32 = 32;
/// The key-value store's limit of writes a second, as given in the controllers' settings.
const STORE_WRITE_RPS: f64 = 100.0;
/// Threads for the simulated services.
const WORKER_THREADS: usize = 2;
/// The operators' settings; the cluster replaces `PORT`.
const OPERATOR: &str =
    "nomad:\n  listen: 127.0.0.1:PORT\n  mhz_per_cpu: 2500\n  namespaces:\n    default: red\n";

fn main() -> ExitCode {
    let cli = Cli::parse();
    let Some(program) = cli.program.clone().or_else(default_program).filter(|path| path.exists()) else {
        eprintln!(
            "pearford-dev-cluster: there is no controllers' program; build pearford, or give --program FILE"
        );
        return ExitCode::from(NO_PROGRAM);
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pearford-dev-cluster: can't start the async runtime: {error}");
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

fn default_program() -> Option<PathBuf> {
    Some(std::env::current_exe().ok()?.parent()?.join("pearford"))
}

async fn run(program: PathBuf, cli: Cli) -> std::io::Result<()> {
    let cluster = Cluster::start(ClusterConfig {
        program: program.clone(),
        nodes: NODES,
        teams: vec![Team::new("red", TEAM_MAX_GPUS), Team::new("blue", TEAM_MAX_GPUS)],
        operator: OPERATOR.into(),
        write_rps: STORE_WRITE_RPS,
    })
    .await?;
    for (node, (api, nomad_api)) in cluster.api_addrs.iter().zip(&cluster.nomad_api_addrs).enumerate() {
        println!("node {node}: users http://{api}  nomad http://{nomad_api}");
    }
    if let Some(file) = &cli.place {
        placement::place(&program, &format!("http://{}", cluster.nomad_api_addrs[0]), file).await?;
    }
    match cli.run_for {
        Some(seconds) => tokio::time::sleep(Duration::from_secs(seconds)).await,
        None => tokio::signal::ctrl_c().await?,
    }
    Ok(())
}
