#![forbid(unsafe_code)]

mod nomad;
mod shell;

use clap::{Args, Parser, Subcommand};
use pearford_scheduler::settings::{self, Settings};
use std::path::PathBuf;
use std::process::ExitCode;

/// A cluster scheduler: takes jobs from users, rents machines, and runs the jobs' tasks on them.
///
/// Several nodes run the same program. They share their state through the state service, elect a
/// leader among themselves, and any of them takes users' requests.
#[derive(Parser)]
#[command(
    version,
    after_help = "LOG_LEVEL=error|warn|info|debug|trace sets what is logged to standard error (default: info)."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller node until the process is killed.
    Serve(Files),
    /// Work with Nomad's job files.
    #[command(subcommand)]
    Nomad(nomad::Command),
    /// Check the settings files, name each bad key, and exit non-zero if there is one.
    Check(Files),
}

#[derive(Args)]
struct Files {
    /// Operators' own settings (YAML); every key has a default, see docs/operating.md.
    #[arg(long, value_name = "FILE.yaml")]
    operator: Option<PathBuf>,
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl Files {
    fn load(&self) -> Result<Settings, ExitCode> {
        settings::load(&self.config, self.operator.as_deref()).map_err(|faults| {
            for fault in &faults {
                eprintln!("pearford: {fault}");
            }
            ExitCode::from(2)
        })
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Check(files) => match files.load() {
            Ok(settings) => {
                println!("settings are valid: node {}, {} peers", settings.node, settings.peers.len());
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Command::Nomad(command) => nomad::run(command),
        Command::Serve(files) => match files.load() {
            Ok(settings) => serve(settings),
            Err(code) => code,
        },
    }
}

fn serve(settings: Settings) -> ExitCode {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let filter = tracing_subscriber::EnvFilter::try_new(format!("off,pearford={level}"))
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("off,pearford=info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pearford: the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(shell::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pearford: can't listen: {error}; check api_addr and back in the settings");
            ExitCode::FAILURE
        }
    }
}
