//! The `pearford` program: its command line, and the start of a node. [`files`] reads the settings files,
//! [`runtime`] runs the node, and [`nomad`] implements `pearford nomad`.
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
/// Time, in seconds, that an answer of the Nomad API may take beyond the maximum wait of a blocking query.
const ANSWER_MARGIN_S: f64 = 10.0;

/// A cluster scheduler: accepts jobs from users, rents machines, and runs the jobs' tasks on them.
///
/// Several nodes run the same program. They share their state through the key-value store, elect a
/// leader, and each of them accepts users' requests.
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
    /// Check the settings files, print a line for each invalid key, and exit non-zero if there is one.
    Check(Files),
}

#[derive(Args)]
struct Files {
    /// The operators' own settings (YAML); every key has a default, see docs/operating.md.
    #[arg(long, value_name = "FILE.yaml")]
    operator: Option<PathBuf>,
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl Files {
    /// Reads and checks the files; prints the faults to standard error.
    fn load(&self) -> Result<LoadedSettings, ExitCode> {
        files::load(&self.config, self.operator.as_deref()).map_err(|faults| invalid_settings("", &faults))
    }
}

/// Prints the faults of the settings, each with `prefix`, and returns the exit code.
fn invalid_settings(prefix: &str, faults: &[String]) -> ExitCode {
    for fault in faults {
        eprintln!("pearford: {prefix}{fault}");
    }
    ExitCode::from(INVALID_SETTINGS)
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Check(files) => files.load().map(|loaded| check(&loaded)),
        Command::Nomad(command) => Ok(nomad::run(command)),
        Command::Serve(files) => files.load().map(serve),
    };
    result.unwrap_or_else(|code| code)
}

/// The output of `pearford check` for valid files.
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
            eprintln!("pearford: can't start the async runtime: {error}");
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
                "pearford: can't listen: {error}; check api_addr, back and nomad.listen in the settings"
            );
            ExitCode::FAILURE
        }
    }
}

/// Logs the events of this workspace to standard error, at the level that the variable `LOG_LEVEL` names.
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
