#![forbid(unsafe_code)]

mod files;
#[cfg(test)]
mod golden;
mod nomad;
mod shell;

use clap::{Args, Parser, Subcommand};
use files::Loaded;
use pearford_nomad::api::NomadApi;
use pearford_nomad::operator::NomadSettings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// How much longer than the longest query an answer of a door may take.
const ANSWER_SLACK_S: f64 = 10.0;

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
    fn load(&self) -> Result<Loaded, ExitCode> {
        files::load(&self.config, self.operator.as_deref()).map_err(|faults| {
            faults.iter().for_each(|fault| eprintln!("pearford: {fault}"));
            ExitCode::from(2)
        })
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Check(files) => match files.load() {
            Ok(Loaded { settings, .. }) => {
                println!("settings are valid: node {}, {} peers", settings.node, settings.peers.len());
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Command::Nomad(command) => nomad::run(command),
        Command::Serve(files) => match files.load() {
            Ok(loaded) => serve(loaded),
            Err(code) => code,
        },
    }
}

fn serve(loaded: Loaded) -> ExitCode {
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
    let nomad_apis = match loaded.nomad.map(nomad_api).transpose() {
        Ok(api) => api.flatten().into_iter().collect(),
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("pearford: nomad.{fault}"));
            return ExitCode::from(2);
        }
    };
    match runtime.block_on(shell::run(loaded.settings, nomad_apis)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!(
                "pearford: can't listen: {error}; check api_addr, back and the features' `listen` in the settings"
            );
            ExitCode::FAILURE
        }
    }
}

/// Nomad's door, if it is to listen anywhere.
fn nomad_api(settings: NomadSettings) -> Result<Option<shell::NomadApi>, Vec<String>> {
    let Some(listen) = settings.listen else { return Ok(None) };
    Ok(Some(shell::NomadApi {
        listen,
        connections: settings.max_connections,
        timeout: Duration::from_secs_f64(settings.max_wait_s + ANSWER_SLACK_S),
        feature: Box::new(NomadApi::new(settings)?),
    }))
}
