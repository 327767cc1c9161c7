//! What is asked for: paths, queries, bodies.

use super::names::NameHash;
use crate::decode;
use crate::hcl::{self, Assignment, Budget};
use crate::source;
use crate::translate::Context;
use pearford_scheduler::extension::Verb;
use pearford_scheduler::types::Duration;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Things on one page.
pub const MAX_PAGE: usize = 1000;

/// A question, which changes nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    Jobs,
    Job(String),
    Versions(String),
    Summary(String),
    Allocations(String),
    Evaluations(String),
    Deployments(String),
    Deployment(String),
    Evaluation(String),
    EvaluationAllocations(String),
    Allocation(String),
    DeploymentById(String),
    AllEvaluations,
    AllAllocations,
    AllDeployments,
    Namespaces,
    Nodes,
    Node(String),
    Leader,
    Peers,
    Regions,
    Agent,
    Health,
}

impl Ask {
    pub fn is_list(&self) -> bool {
        use Ask::*;
        matches!(
            self,
            Jobs | AllEvaluations
                | AllAllocations
                | AllDeployments
                | Evaluation(_)
                | EvaluationAllocations(_)
                | Allocation(_)
                | DeploymentById(_)
        )
    }

    /// The name whose changes it waits for; none: any.
    pub fn name(&self, namespaces: &[String]) -> Option<NameHash> {
        use Ask::*;
        match self {
            Job(n) | Versions(n) | Summary(n) | Allocations(n) | Evaluations(n) | Deployments(n)
            | Deployment(n) => namespaces.first().map(|namespace| NameHash::of(namespace, n)),
            _ => None,
        }
    }
}

#[derive(Debug, Clone)]
pub struct Request {
    pub ask: Ask,
    pub namespaces: Vec<String>,
    pub page: Page,
    /// Only what is newer than this.
    pub index: Option<u64>,
    pub wait: Duration,
}

pub enum Route {
    Ask(Ask),
    Parse,
    Schema,
    Validate,
    Register { name: Option<String>, plan: bool },
    Deregister { name: String, purge: bool },
}

/// `%41` as `A`; none if it is not UTF-8 then, or holds what no name does.
fn unescaped(text: &str) -> Option<String> {
    let (mut out, mut bytes) = (Vec::with_capacity(text.len()), text.bytes());
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let digit = |b: Option<u8>| char::from(b?).to_digit(16);
                out.push((digit(bytes.next())? * 16 + digit(bytes.next())?) as u8);
            }
            b => out.push(b),
        }
    }
    String::from_utf8(out).ok().filter(|t| !t.contains(char::is_control))
}

#[derive(Debug, Default)]
pub struct Query(BTreeMap<String, String>);

impl Query {
    pub fn of(text: &str) -> Self {
        let pairs = text.split('&').filter(|p| !p.is_empty()).take(32).filter_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            Some((key.to_ascii_lowercase(), unescaped(&value.replace('+', " "))?))
        });
        Self(pairs.collect())
    }

    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|v| !v.is_empty())
    }

    /// Given, and not as `false`.
    pub fn has(&self, key: &str) -> bool {
        self.0.get(key).is_some_and(|v| v != "false" && v != "0")
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }

    pub fn duration(&self, key: &str) -> Option<Duration> {
        decode::duration(self.get(key)?).ok().map(Duration::from_secs_f64)
    }
}

/// Which part of a list is wanted.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    pub prefix: String,
    /// The first that is wanted, as the page before has told it.
    pub from: String,
    pub most: usize,
}

impl Page {
    pub fn of(query: &Query) -> Result<Self, String> {
        let most = match query.get("per_page").map(str::parse::<usize>) {
            None | Some(Ok(0)) => MAX_PAGE,
            Some(Ok(n)) if n <= MAX_PAGE => n,
            Some(_) => return Err(format!("per_page must be from 1 to {MAX_PAGE}")),
        };
        if query.get("filter").is_some() {
            return Err("`filter` is not known here; use `prefix`, or filter what comes".into());
        }
        let text = |key: &str| query.get(key).unwrap_or_default().to_string();
        Ok(Self { prefix: text("prefix"), from: text("next_token"), most })
    }
}

/// What a request is for; else status and reason.
pub fn route(verb: Verb, path: &str, query: &Query) -> Result<Route, (u16, String)> {
    let parts: Option<Vec<String>> = path.trim_matches('/').split('/').map(unescaped).collect();
    let parts = parts.ok_or((400, "the path is not UTF-8".to_string()))?;
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let get = verb == Verb::Get;
    let write = matches!(verb, Verb::Post | Verb::Put);
    let ask =
        |ask: Ask| if get { Ok(Route::Ask(ask)) } else { Err((405, "wrong method for this path".into())) };
    let absent = |what: &str| Err((501, format!("pearford has no {what}")));
    let ["v1", rest @ ..] = parts.as_slice() else {
        return Err((404, "no such path; Nomad's API begins with /v1".into()));
    };
    match rest {
        ["jobs"] if write => Ok(Route::Register { name: None, plan: false }),
        ["jobs"] => ask(Ask::Jobs),
        ["jobs", "parse"] if write => Ok(Route::Parse),
        ["validate", "job"] if write => Ok(Route::Validate),
        ["schema", "job"] if get => Ok(Route::Schema),
        // A name may hold slashes: what follows it is told by the last word.
        ["job", name @ .., "plan"] if write && !name.is_empty() => {
            Ok(Route::Register { name: Some(name.join("/")), plan: true })
        }
        ["job", name @ .., "scale"] if !name.is_empty() => Err((
            501,
            format!("`{}` is not scaled by itself; register it with another count", name.join("/")),
        )),
        ["job", .., "dispatch" | "evaluate" | "revert" | "stable" | "periodic"] if write => {
            Err((501, "pearford does not do this; register the job as it is to be".into()))
        }
        ["job", name @ .., last] if get && !name.is_empty() => {
            let of = name.join("/");
            match *last {
                "versions" => ask(Ask::Versions(of)),
                "summary" => ask(Ask::Summary(of)),
                "allocations" => ask(Ask::Allocations(of)),
                "evaluations" => ask(Ask::Evaluations(of)),
                "deployments" => ask(Ask::Deployments(of)),
                "deployment" => ask(Ask::Deployment(of)),
                last => ask(Ask::Job(format!("{of}/{last}"))),
            }
        }
        ["job", name @ ..] if !name.is_empty() && !name[0].is_empty() => {
            let name = name.join("/");
            match verb {
                Verb::Get => Ok(Route::Ask(Ask::Job(name))),
                Verb::Delete => Ok(Route::Deregister { name, purge: query.has("purge") }),
                _ if write => Ok(Route::Register { name: Some(name), plan: false }),
                _ => Err((405, "wrong method for this path".into())),
            }
        }
        ["evaluations"] => ask(Ask::AllEvaluations),
        ["evaluation", id] => ask(Ask::Evaluation((*id).into())),
        ["evaluation", id, "allocations"] => ask(Ask::EvaluationAllocations((*id).into())),
        ["allocations"] => ask(Ask::AllAllocations),
        ["allocation", id] => ask(Ask::Allocation((*id).into())),
        ["deployments"] => ask(Ask::AllDeployments),
        ["deployment", id] => ask(Ask::DeploymentById((*id).into())),
        ["namespaces"] => ask(Ask::Namespaces),
        ["status", "leader"] => ask(Ask::Leader),
        ["status", "peers"] => ask(Ask::Peers),
        ["regions"] => ask(Ask::Regions),
        ["agent", "self"] => ask(Ask::Agent),
        ["agent", "health"] => ask(Ask::Health),
        ["nodes"] => ask(Ask::Nodes),
        ["node", id] => ask(Ask::Node((*id).into())),
        ["node", ..] => absent("draining or purging of machines here; they come and go with the work"),
        ["event", "stream"] => absent("event stream; use blocking queries (`index` and `wait`)"),
        ["acl", ..] => absent("tokens to give out here; the operators' file has them"),
        ["vars" | "var", ..] => absent("variables"),
        ["volumes" | "volume" | "plugins" | "plugin", ..] => absent("volumes or plug-ins"),
        ["services" | "service", ..] => absent("services' registry"),
        ["client", ..] => absent("files or logs of tasks here"),
        _ => Err((404, "no such path".into())),
    }
}

/// A registration's body.
pub struct Register {
    pub job: Value,
    pub enforce: Option<u64>,
}

pub fn register(body: &[u8]) -> Result<Register, String> {
    let body: Value = serde_json::from_slice(body).map_err(|e| format!("the body is not JSON: {e}"))?;
    let Value::Object(mut body) = body else { return Err("the body must be an object with `Job`".into()) };
    let Some(job) = body.remove("Job") else { return Err("the body must be an object with `Job`".into()) };
    let enforces = flag(&mut body, "EnforceIndex")?;
    let index = match body.remove("JobModifyIndex") {
        None | Some(Value::Null) => 0,
        Some(n) => n.as_u64().ok_or("JobModifyIndex: must be a whole number from 0")?,
    };
    for refused in ["PreserveCounts", "PolicyOverride"] {
        if flag(&mut body, refused)? {
            return Err(format!("{refused}: is not known here; leave it out"));
        }
    }
    if body.remove("EvalPriority").is_some_and(|v| !v.is_null() && v != 0) {
        return Err("EvalPriority: is not known here; set the job's priority".into());
    }
    // The text that the job was made from, who sends it, and what a plan is to show.
    for known in ["Submission", "Region", "Namespace", "SecretID", "AuthToken", "Diff"] {
        body.remove(known);
    }
    match body.iter().find(|(_, v)| !v.is_null()) {
        Some((key, _)) => {
            Err(format!("{key}: is unknown; a registration holds Job, EnforceIndex, JobModifyIndex"))
        }
        None => Ok(Register { job, enforce: enforces.then_some(index) }),
    }
}

fn flag(body: &mut Map<String, Value>, key: &str) -> Result<bool, String> {
    match body.remove(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(b)) => Ok(b),
        Some(_) => Err(format!("{key}: must be true or false")),
    }
}

/// Reads a file in HCL, checks it, and gives it as the JSON that is registered.
pub fn parse_file(body: &[u8], context: &Context) -> Result<Value, (u16, String)> {
    let body: Value =
        serde_json::from_slice(body).map_err(|e| (400, format!("the body is not JSON: {e}")))?;
    // Servers of this protocol read names whatever their case, and clients rely on it.
    let member =
        |name: &str| body.as_object()?.iter().find(|(k, _)| k.eq_ignore_ascii_case(name)).map(|(_, v)| v);
    let Some(text) = member("JobHCL").and_then(Value::as_str) else {
        return Err((400, "the body must be an object with `JobHCL`".into()));
    };
    let shown = |faults: Vec<crate::fault::Fault>| {
        (400, faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    };
    let variables: Vec<Assignment> = match member("Variables").and_then(Value::as_str) {
        Some(text) => hcl::read_assignments(text, Budget::CALL).map_err(shown)?,
        None => Vec::new(),
    };
    source::hcl_as_api(text, &variables, Budget::CALL, context).map_err(shown)
}
