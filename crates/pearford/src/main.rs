//! The `pearford` program: its command line, and the start of a node. The settings files are read by [`files`], the
//! node runs in [`runtime`], and `pearford nomad` is [`nomad`].
#![forbid(unsafe_code)]

mod files;
#[cfg(test)]
mod golden;
mod nomad;
mod runtime;

use clap::{Args, Parser, Subcommand};
use files::LoadedSettings;
use pearford_nomad::api::NomadApi;
use pearford_nomad::operator::NomadSettings;
use runtime::ExtensionListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code for settings that are not valid.
const INVALID_SETTINGS: u8 = 2;
/// How much longer than the longest blocking query an answer of the Nomad API may take, in seconds.
const ANSWER_MARGIN_S: f64 = 10.0;

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
    /// Reads and checks the files; the faults go to standard error.
    fn load(&self) -> Result<LoadedSettings, ExitCode> {
        files::load(&self.config, self.operator.as_deref()).map_err(|faults| invalid_settings("", &faults))
    }
}

/// Prints the faults of the settings, each after `prefix`, and gives the exit code.
fn invalid_settings(prefix: &str, faults: &[String]) -> ExitCode {
    for fault in faults {
        eprintln!("pearford: {prefix}{fault}");
    }
    ExitCode::from(INVALID_SETTINGS)
}

fn main() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Check(files) => files.load().map(|loaded| check(&loaded)),
        Command::Nomad(command) => Ok(nomad::run(command)),
        Command::Serve(files) => files.load().map(serve),
    };
    outcome.unwrap_or_else(|code| code)
}

/// `pearford check`, once the files have been found valid.
fn check(loaded: &LoadedSettings) -> ExitCode {
    let settings = &loaded.settings;
    println!("settings are valid: node {}, {} peers", settings.node, settings.peers.len());
    ExitCode::SUCCESS
}

/// `pearford serve`: runs a node until its process is killed.
fn serve(loaded: LoadedSettings) -> ExitCode {
    start_logging();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pearford: the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let nomad_listener = match loaded.nomad.map(nomad_listener).transpose() {
        Ok(listener) => listener.flatten(),
        Err(faults) => return invalid_settings("nomad.", &faults),
    };
    let extension_listeners = nomad_listener.into_iter().collect();
    match runtime.block_on(runtime::run(loaded.settings, extension_listeners)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!(
                "pearford: can't listen: {error}; check api_addr, back and the features' `listen` in the settings"
            );
            ExitCode::FAILURE
        }
    }
}

/// Logs the workspace's own events to standard error, at the level of the environment's `LOG_LEVEL`.
fn start_logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let filter = tracing_subscriber::EnvFilter::try_new(format!("off,pearford={level}"))
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("off,pearford=info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
}

/// The listener of the Nomad API, if the settings give it an address.
fn nomad_listener(settings: NomadSettings) -> Result<Option<ExtensionListener>, Vec<String>> {
    let Some(listen) = settings.listen else { return Ok(None) };
    Ok(Some(ExtensionListener {
        listen,
        max_connections: settings.max_connections,
        answer_timeout: Duration::from_secs_f64(settings.max_wait_s + ANSWER_MARGIN_S),
        extension: Box::new(NomadApi::new(settings)?),
    }))
}
