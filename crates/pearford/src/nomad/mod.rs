//! `pearford nomad`: translates Nomad job files, and manages jobs through a node's Nomad API.

mod client;
mod job_file;
mod output;

use clap::{Args, Subcommand};
use client::Server;
use http::Method;
use job_file::JobFile;
use serde_json::Value;
use std::process::ExitCode;

/// Exit code if a file can't be translated, or a node rejects the request or can't be reached.
const FAILED: u8 = 2;

/// The result of a command: the lines for standard output, or the faults for standard error, one per line.
type Outcome = Result<Vec<String>, Vec<String>>;

/// The subcommands of `pearford nomad`.
#[derive(Subcommand)]
pub enum Command {
    /// Print the native submissions of a job file as JSON, one per line.
    ///
    /// If the file has a field that pearford doesn't support, exits with 2, prints nothing on standard
    /// output, and prints every fault on its own line on standard error.
    Translate(JobFile),
    /// Print how each field of a job file is handled, as a Markdown table.
    Fields,
    /// Register a job file with a node's Nomad API and print the result.
    Run(Submission),
    /// Print what registering a job file would change, without registering it.
    Plan(Submission),
    /// Print a job's status.
    Status(NamedJob),
    /// Stop a job.
    Stop {
        #[command(flatten)]
        job: NamedJob,
        /// Also remove it from lists of jobs. Its final status remains available.
        #[arg(long)]
        purge: bool,
    },
}

/// A job file and the node to send it to.
#[derive(Args)]
pub struct Submission {
    #[command(flatten)]
    server: Server,
    #[command(flatten)]
    file: JobFile,
}

/// A registered job and the node to send requests to.
#[derive(Args)]
pub struct NamedJob {
    #[command(flatten)]
    server: Server,
    /// The job's name.
    name: String,
}

/// Runs a subcommand and prints its result.
pub fn run(command: Command) -> ExitCode {
    let outcome = match command {
        Command::Fields => {
            // The table ends with a newline.
            print!("{}", pearford_nomad::fields::as_markdown());
            return ExitCode::SUCCESS;
        }
        Command::Translate(file) => file.submissions(),
        Command::Run(submission) => submission.register(),
        Command::Plan(submission) => submission.plan(),
        Command::Status(job) => job.status(),
        Command::Stop { job, purge } => job.stop(purge),
    };
    print_outcome(outcome)
}

fn print_outcome(outcome: Outcome) -> ExitCode {
    match outcome {
        Ok(lines) => {
            for line in lines {
                println!("{line}");
            }
            ExitCode::SUCCESS
        }
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            ExitCode::from(FAILED)
        }
    }
}

impl Submission {
    fn register(&self) -> Outcome {
        let body = self.file.registration()?;
        let response = self.server.call(Method::POST, "/v1/jobs", &body)?;
        Ok(output::registered(&response))
    }

    fn plan(&self) -> Outcome {
        let body = self.file.registration()?;
        let path = format!("{}/plan", job_path(body["Job"]["ID"].as_str().unwrap_or_default()));
        let response = self.server.call(Method::POST, &path, &body)?;
        Ok(output::planned(&response))
    }
}

impl NamedJob {
    fn status(&self) -> Outcome {
        let path = job_path(&self.name);
        let job = self.server.call(Method::GET, &path, &Value::Null);
        let summary = self.server.call(Method::GET, &format!("{path}/summary"), &Value::Null);
        Ok(output::status(&job?, &summary?))
    }

    fn stop(&self, purge: bool) -> Outcome {
        let path = format!("{}?purge={purge}", job_path(&self.name));
        self.server.call(Method::DELETE, &path, &Value::Null)?;
        Ok(vec![format!("{}: stopped", self.name)])
    }
}

fn job_path(name: &str) -> String {
    format!("/v1/job/{}", client::percent_encoded(name))
}
