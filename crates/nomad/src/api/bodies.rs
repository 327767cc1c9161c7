//! Parsing of request bodies: registrations and job files.

use super::reply::{Refusal, status};
use crate::fault::Fault;
use crate::hcl::{self, Assignment, Budget};
use crate::source;
use crate::translate::Context;
use serde_json::{Map, Value};

/// A registration's body.
pub struct Registration {
    /// The job, as the API's JSON.
    pub job: Value,
    /// The modify index that the job must have, if the client enforces one.
    pub enforced_index: Option<u64>,
}

/// Reads a registration's body.
///
/// # Errors
/// The body is not an object with a job, or has a member or option that pearford does not support.
pub fn registration(body: &[u8]) -> Result<Registration, String> {
    let body: Value =
        serde_json::from_slice(body).map_err(|error| format!("the body is not JSON: {error}"))?;
    let Value::Object(mut body) = body else { return Err("the body must be an object with `Job`".into()) };
    let Some(job) = body.remove("Job") else { return Err("the body must be an object with `Job`".into()) };
    let enforces = flag(&mut body, "EnforceIndex")?;
    let index = match body.remove("JobModifyIndex") {
        None | Some(Value::Null) => 0,
        Some(index) => index.as_u64().ok_or("JobModifyIndex: must be a whole number from 0")?,
    };
    for refused in ["PreserveCounts", "PolicyOverride"] {
        if flag(&mut body, refused)? {
            return Err(format!("{refused}: is not known here; leave it out"));
        }
    }
    if body.remove("EvalPriority").is_some_and(|priority| !priority.is_null() && priority != 0) {
        return Err("EvalPriority: is not known here; set the job's priority".into());
    }
    // Accepted and ignored: the job's source text, the sender's region, namespace and tokens, and a plan's
    // options.
    for known in ["Submission", "Region", "Namespace", "SecretID", "AuthToken", "Diff"] {
        body.remove(known);
    }
    match body.iter().find(|(_, value)| !value.is_null()) {
        Some((key, _)) => {
            Err(format!("{key}: is unknown; a registration holds Job, EnforceIndex, JobModifyIndex"))
        }
        None => Ok(Registration { job, enforced_index: enforces.then_some(index) }),
    }
}

fn flag(body: &mut Map<String, Value>, key: &str) -> Result<bool, String> {
    match body.remove(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(flag),
        Some(_) => Err(format!("{key}: must be true or false")),
    }
}

/// Parses and checks a job file in HCL and returns the JSON of its registration.
///
/// # Errors
/// The body, the file or its variables are invalid.
pub fn parse_file(body: &[u8], context: &Context) -> Result<Value, Refusal> {
    let body: Value = serde_json::from_slice(body)
        .map_err(|error| Refusal::new(status::BAD_REQUEST, format!("the body is not JSON: {error}")))?;
    let Some(text) = member(&body, "JobHCL").and_then(Value::as_str) else {
        return Err(Refusal::new(status::BAD_REQUEST, "the body must be an object with `JobHCL`"));
    };
    let variables: Vec<Assignment> = match member(&body, "Variables").and_then(Value::as_str) {
        Some(text) => hcl::read_assignments(text, Budget::CALL).map_err(faulty_job)?,
        None => Vec::new(),
    };
    source::hcl_as_api(text, &variables, Budget::CALL, context).map_err(faulty_job)
}

/// An object's member, with the name's case ignored: clients rely on this, as Nomad's servers ignore it too.
fn member<'a>(body: &'a Value, name: &str) -> Option<&'a Value> {
    let members = body.as_object()?;
    members.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// The refusal of an invalid job, with one line for each fault.
pub fn faulty_job(faults: Vec<Fault>) -> Refusal {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Refusal::new(status::BAD_REQUEST, lines.join("\n"))
}
