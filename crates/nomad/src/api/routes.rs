//! Maps a request's method and path to its operation.

use super::endpoints::{ClusterInfo, Endpoint, IdKind, JobPart, ListKind};
use super::query::{Query, percent_decoded};
use super::reply::{Refusal, status};
use pearford_scheduler::extension::Verb;

/// The operation that a request asks for.
pub enum Route {
    /// Reads an endpoint.
    Read(Endpoint),
    /// Converts a job file in HCL to the JSON of a registration.
    Parse,
    /// Returns the JSON schema of jobs.
    Schema,
    /// Checks a job without registering it.
    Validate,
    /// Registers a job, or plans a registration.
    Register {
        /// The name in the path, if there is one; it must equal the job's name.
        name: Option<String>,
        /// Whether only the plan is requested; nothing is written.
        plan: bool,
    },
    /// Stops a job.
    Deregister {
        /// The job's name.
        name: String,
        /// Whether the job is removed from lists too.
        purge: bool,
    },
}

fn wrong_method() -> Refusal {
    Refusal::new(status::METHOD_NOT_ALLOWED, "wrong method for this path")
}

fn no_such_path() -> Refusal {
    Refusal::new(status::NOT_FOUND, "no such path")
}

fn is_write(verb: Verb) -> bool {
    matches!(verb, Verb::Post | Verb::Put)
}

/// Finds a request's operation.
///
/// # Errors
/// The path is malformed or unknown, does not allow the method, or belongs to a part of Nomad's API that
/// pearford does not support.
pub fn route(verb: Verb, path: &str, query: &Query) -> Result<Route, Refusal> {
    let segments: Option<Vec<String>> = path.trim_matches('/').split('/').map(percent_decoded).collect();
    let segments = segments.ok_or_else(|| Refusal::new(status::BAD_REQUEST, "the path is not UTF-8"))?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let ["v1", rest @ ..] = segments.as_slice() else {
        return Err(Refusal::new(status::NOT_FOUND, "no such path; Nomad's API begins with /v1"));
    };
    match rest {
        ["jobs"] if is_write(verb) => Ok(Route::Register { name: None, plan: false }),
        ["jobs", "parse"] if is_write(verb) => Ok(Route::Parse),
        ["validate", "job"] if is_write(verb) => Ok(Route::Validate),
        ["schema", "job"] if verb == Verb::Get => Ok(Route::Schema),
        ["job", rest @ ..] => job_route(verb, rest, query),
        other => match endpoint(other) {
            Some(_) if verb != Verb::Get => Err(wrong_method()),
            Some(endpoint) => Ok(Route::Read(endpoint)),
            None => Err(not_supported(other)),
        },
    }
}

/// Finds the operation of a path under `/v1/job`. A job's name may contain slashes: only the last segment can
/// be an operation or a part of the job.
fn job_route(verb: Verb, segments: &[&str], query: &Query) -> Result<Route, Refusal> {
    match segments {
        [name @ .., "plan"] if is_write(verb) && !name.is_empty() => {
            Ok(Route::Register { name: Some(name.join("/")), plan: true })
        }
        [name @ .., "scale"] if !name.is_empty() => {
            let reason =
                format!("`{}` is not scaled by itself; register it with another count", name.join("/"));
            Err(Refusal::new(status::NOT_IMPLEMENTED, reason))
        }
        [.., "dispatch" | "evaluate" | "revert" | "stable" | "periodic"] if is_write(verb) => {
            let reason = "pearford does not do this; register the job as it is to be";
            Err(Refusal::new(status::NOT_IMPLEMENTED, reason))
        }
        [name @ .., last] if verb == Verb::Get && !name.is_empty() => {
            Ok(Route::Read(job_endpoint(&name.join("/"), last)))
        }
        [first, ..] if !first.is_empty() => {
            let name = segments.join("/");
            match verb {
                Verb::Get => Ok(Route::Read(Endpoint::Job { name, part: JobPart::Registration })),
                Verb::Delete => Ok(Route::Deregister { name, purge: query.has("purge") }),
                verb if is_write(verb) => Ok(Route::Register { name: Some(name), plan: false }),
                _ => Err(wrong_method()),
            }
        }
        _ => Err(no_such_path()),
    }
}

/// The endpoint of a job's path with several segments. An unknown last segment is part of the job's name.
fn job_endpoint(name: &str, last: &str) -> Endpoint {
    let part = match last {
        "versions" => JobPart::Versions,
        "summary" => JobPart::Summary,
        "allocations" => JobPart::Allocations,
        "evaluations" => JobPart::Evaluations,
        "deployments" => JobPart::Deployments,
        "deployment" => JobPart::LatestDeployment,
        last => return Endpoint::Job { name: format!("{name}/{last}"), part: JobPart::Registration },
    };
    Endpoint::Job { name: name.into(), part }
}

/// The endpoint of a path outside `/v1/job`; none if the path is unknown.
fn endpoint(segments: &[&str]) -> Option<Endpoint> {
    let by_id = |id: &str, kind| Endpoint::ById { id: id.into(), kind };
    let endpoint = match segments {
        ["jobs"] => Endpoint::List(ListKind::Jobs),
        ["evaluations"] => Endpoint::List(ListKind::Evaluations),
        ["evaluation", id] => by_id(id, IdKind::Evaluation),
        ["evaluation", id, "allocations"] => by_id(id, IdKind::EvaluationAllocations),
        ["allocations"] => Endpoint::List(ListKind::Allocations),
        ["allocation", id] => by_id(id, IdKind::Allocation),
        ["deployments"] => Endpoint::List(ListKind::Deployments),
        ["deployment", id] => by_id(id, IdKind::Deployment),
        ["namespaces"] => Endpoint::Cluster(ClusterInfo::Namespaces),
        ["status", "leader"] => Endpoint::Cluster(ClusterInfo::Leader),
        ["status", "peers"] => Endpoint::Cluster(ClusterInfo::Peers),
        ["regions"] => Endpoint::Cluster(ClusterInfo::Regions),
        ["agent", "self"] => Endpoint::Cluster(ClusterInfo::Agent),
        ["agent", "health"] => Endpoint::Cluster(ClusterInfo::Health),
        ["nodes"] => Endpoint::Machines,
        ["node", name] => Endpoint::Machine((*name).into()),
        _ => return None,
    };
    Some(endpoint)
}

/// The refusal of a path that pearford does not support; it names the unsupported feature if the path is
/// Nomad's.
fn not_supported(segments: &[&str]) -> Refusal {
    let unsupported = match segments {
        ["node", ..] => "draining or purging of machines here; they come and go with the work",
        ["event", "stream"] => "event stream; use blocking queries (`index` and `wait`)",
        ["acl", ..] => "tokens to give out here; the operators' file has them",
        ["vars" | "var", ..] => "variables",
        ["volumes" | "volume" | "plugins" | "plugin", ..] => "volumes or plug-ins",
        ["services" | "service", ..] => "services' registry",
        ["client", ..] => "files or logs of tasks here",
        _ => return no_such_path(),
    };
    Refusal::new(status::NOT_IMPLEMENTED, format!("pearford has no {unsupported}"))
}
