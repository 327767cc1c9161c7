//! `pearford nomad`: job files from the command line.

use bytes::Bytes;
use clap::{Args, Subcommand};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pearford_nomad::fault::Fault;
use pearford_nomad::hcl::{Assignment, Budget, read_assignments};
use pearford_nomad::operator::NomadSettings;
use pearford_nomad::source;
use pearford_nomad::translate::Context;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Command {
    /// Print the native submissions of a job file as JSON, one on a line.
    ///
    /// Exits with 2 and prints nothing on standard output if the file has a field that pearford can't
    /// honour; every fault is then on a line of its own on standard error.
    Translate(File),
    /// Print what becomes of every field of a job file, as a Markdown table.
    Fields,
    /// Register a job file at a node's door and print what came of it.
    Run(Sent),
    /// Say what registering a job file would do, and do nothing.
    Plan(Sent),
    /// Print how a job stands.
    Status(Named),
    /// Stop a job.
    Stop {
        #[command(flatten)]
        named: Named,
        /// Also take it off the lists. Its final answer stays known.
        #[arg(long)]
        purge: bool,
    },
}

#[derive(Args)]
pub struct Server {
    /// The door of a node: `nomad.listen` in its operators' file.
    #[arg(long, value_name = "URL", default_value = "http://127.0.0.1:4646")]
    address: String,
    /// The namespace, where the job names none.
    #[arg(long, default_value = "default")]
    namespace: String,
}

#[derive(Args)]
pub struct Sent {
    #[command(flatten)]
    server: Server,
    #[command(flatten)]
    file: File,
}

#[derive(Args)]
pub struct Named {
    #[command(flatten)]
    server: Server,
    /// The job's name.
    name: String,
}

#[derive(Args)]
pub struct File {
    /// The job file, HCL or JSON.
    file: PathBuf,
    /// The operators' settings for Nomad's files (YAML): MHz of a CPU, namespaces, devices.
    #[arg(long, value_name = "FILE.yaml")]
    operator: Option<PathBuf>,
    /// A variable's value; may be given several times.
    #[arg(long = "var", value_name = "NAME=VALUE")]
    vars: Vec<String>,
    /// A file of NAME = VALUE lines; may be given several times. `--var` goes before it.
    #[arg(long = "var-file", value_name = "FILE")]
    var_files: Vec<PathBuf>,
}

const INVALID: u8 = 2;
const PATIENCE: Duration = Duration::from_secs(15);
const MAX_ANSWER: usize = 8 * 1024 * 1024;

pub fn run(command: Command) -> ExitCode {
    match command {
        Command::Fields => {
            print!("{}", pearford_nomad::fields::as_markdown());
            ExitCode::SUCCESS
        }
        Command::Translate(file) => print(file.submissions()),
        Command::Run(sent) => match sent.body() {
            Ok(body) => print(sent.server.call(Method::POST, "/v1/jobs", &body).map(|v| registered(&v))),
            Err(faults) => print(Err(faults)),
        },
        Command::Plan(sent) => match sent.body() {
            Ok(body) => {
                let path =
                    format!("/v1/job/{}/plan", escaped(body["Job"]["ID"].as_str().unwrap_or_default()));
                print(sent.server.call(Method::POST, &path, &body).map(|v| planned(&v)))
            }
            Err(faults) => print(Err(faults)),
        },
        Command::Status(Named { server, name }) => {
            let path = format!("/v1/job/{}", escaped(&name));
            let job = server.call(Method::GET, &path, &Value::Null);
            let summary = server.call(Method::GET, &format!("{path}/summary"), &Value::Null);
            print(job.and_then(|job| Ok(status(&job, &summary?))))
        }
        Command::Stop { named: Named { server, name }, purge } => {
            let path = format!("/v1/job/{}?purge={purge}", escaped(&name));
            print(server.call(Method::DELETE, &path, &Value::Null).map(|_| vec![format!("{name}: stopped")]))
        }
    }
}

fn print(lines: Result<Vec<String>, Vec<String>>) -> ExitCode {
    match lines {
        Ok(lines) => {
            lines.iter().for_each(|line| println!("{line}"));
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::from(INVALID)
        }
    }
}

fn registered(answer: &Value) -> Vec<String> {
    let text = |key: &str| answer[key].as_str().unwrap_or_default().to_string();
    let mut out =
        vec![format!("evaluation {}, job modify index {}", text("EvalID"), answer["JobModifyIndex"])];
    let warnings = text("Warnings");
    if !warnings.is_empty() {
        out.push(format!("note: {warnings}"));
    }
    out
}

fn planned(answer: &Value) -> Vec<String> {
    let what = match answer["Diff"]["Type"].as_str() {
        Some("Added") => "would be registered for the first time",
        Some("None") => "is registered as it is",
        _ => "would become a new version",
    };
    vec![format!("{what}; job modify index {}", answer["JobModifyIndex"])]
}

fn status(job: &Value, summary: &Value) -> Vec<String> {
    let text = |key: &str| job[key].as_str().unwrap_or_default().to_string();
    let mut out = vec![
        format!("{}: {} {}", text("ID"), text("Status"), text("StatusDescription")).trim_end().to_string(),
        format!("type {}, namespace {}, version {}", text("Type"), text("Namespace"), job["Version"]),
    ];
    for (group, c) in summary["Summary"].as_object().into_iter().flatten() {
        out.push(format!(
            "group {group}: {} wait, {} run, {} complete",
            c["Queued"], c["Running"], c["Complete"]
        ));
    }
    out
}

/// A name as it goes into a path.
fn escaped(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

impl Sent {
    fn body(&self) -> Result<Value, Vec<String>> {
        let job = source::as_api(&read(&self.file.file)?, &self.file.assignments()?, &self.file.context()?);
        let job = job.map_err(|faults| shown(&self.file.file, &faults))?;
        Ok(json!({"Job": job}))
    }
}

impl Server {
    /// Sends a request; the error is what the node says, or why none could be asked.
    fn call(&self, method: Method, path: &str, body: &Value) -> Result<Value, Vec<String>> {
        let failed = |why: String| vec![format!("{}: {why}", self.address)];
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| failed(e.to_string()))?;
        let (status, text) = runtime.block_on(self.exchange(method, path, body)).map_err(failed)?;
        if status.is_success() {
            return serde_json::from_str(&text).map_err(|e| failed(format!("answers what is not JSON: {e}")));
        }
        Err(text.lines().map(|line| format!("{line} ({status})")).collect())
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<(StatusCode, String), String> {
        let separator = if path.contains('?') { '&' } else { '?' };
        let namespace = escaped(&self.namespace);
        let uri = format!("{}{path}{separator}namespace={namespace}", self.address.trim_end_matches('/'));
        let mut request = http::Request::builder().method(method).uri(uri);
        if let Ok(token) = std::env::var("NOMAD_TOKEN") {
            request = request.header("x-nomad-token", token);
        }
        let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        let request = request
            .body(Full::new(bytes))
            .map_err(|e| format!("is no address: {e}; write http://IP:PORT"))?;
        let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let exchange = async {
            let response = client.request(request).await.map_err(|e| format!("can't be reached: {e}"))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|e| format!("its answer broke off: {e}"))?.to_bytes();
            Ok((status, String::from_utf8_lossy(&body).into_owned()))
        };
        tokio::time::timeout(PATIENCE, exchange).await.unwrap_or(Err("does not answer".into()))
    }
}

fn read(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path).map_err(|e| vec![format!("{}: can't be read: {e}", path.display())])
}

fn shown(path: &Path, faults: &[Fault]) -> Vec<String> {
    let line = |f: &Fault| {
        format!("{}:{}:{}: {}: {}", path.display(), f.at.line.max(1), f.at.column.max(1), f.path, f.reason)
    };
    faults.iter().map(line).collect()
}

impl File {
    fn context(&self) -> Result<Context, Vec<String>> {
        let settings = match &self.operator {
            None => NomadSettings::default(),
            Some(path) => crate::files::nomad(path)?,
        };
        Ok(Context { settings, zones: Vec::new() })
    }

    fn submissions(&self) -> Result<Vec<String>, Vec<String>> {
        let job = source::job(&read(&self.file)?, &self.assignments()?, &self.context()?);
        Ok(job.map_err(|faults| shown(&self.file, &faults))?.submissions())
    }

    fn assignments(&self) -> Result<Vec<Assignment>, Vec<String>> {
        let mut out = Vec::new();
        for path in &self.var_files {
            out.extend(read_assignments(&read(path)?, Budget::FILE).map_err(|faults| shown(path, &faults))?);
        }
        for var in &self.vars {
            let typed = Assignment::typed(var);
            out.push(typed.ok_or_else(|| vec![format!("--var {var}: write it as NAME=VALUE")])?);
        }
        Ok(out)
    }
}
