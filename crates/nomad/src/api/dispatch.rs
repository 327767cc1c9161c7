//! Dispatch of incoming requests: checks token, path and body, then starts the requested read or write.

use super::endpoints::{Endpoint, ReadRequest};
use super::guards::{Guard, holds};
use super::machines::MachineQuery;
use super::names::NameHash;
use super::query::{Page, Query};
use super::reply::{Refusal, Reply, respond, status};
use super::retry::Change;
use super::routes::{self, Route};
use super::tokens::Caller;
use super::{NomadApi, Waiting, bodies};
use crate::decode;
use crate::fault::Faults;
use crate::translate::{Job, translate};
use pearford_scheduler::extension::{Action, Call, View};
use pearford_scheduler::types::{Duration, RequestId};
use serde_json::{Value, json};

/// Default wait of a blocking query.
const DEFAULT_WAIT: Duration = Duration::from_millis(300_000);
/// The namespace of requests without a `namespace` parameter.
const DEFAULT_NAMESPACE: &str = "default";
/// The query value that selects all namespaces.
const ALL_NAMESPACES: &str = "*";

/// The work for a request that has passed its checks.
enum Checked {
    /// Send this reply; no further work is needed.
    Reply(Reply),
    /// Read records.
    Read {
        read: ReadRequest,
        /// Whether the node's current copies may be used without a read of the store.
        stale: bool,
    },
    /// Read machines.
    Machines(MachineQuery),
    /// Register or stop a job.
    Change(Change),
}

/// The job in a request's body.
struct SubmittedJob {
    job: Job,
    /// The job as the client sent it.
    json: Value,
    /// The index that the registered job must have, if the request enforces one.
    enforced_index: Option<u64>,
}

fn permission_denied(namespace: &str) -> Refusal {
    let reason = format!("Permission denied: this token is not good for namespace `{namespace}`");
    Refusal::new(status::FORBIDDEN, reason)
}

impl NomadApi {
    /// Starts the work for a request, or refuses the request.
    pub(super) fn call(&mut self, view: &View<'_>, request: RequestId, call: &Call) -> Vec<Action> {
        match self.check(view, call) {
            Err(refusal) => respond(request, refusal),
            Ok(Checked::Reply(reply)) => respond(request, reply),
            Ok(Checked::Read { read, stale: true }) => self.read(view, request, read),
            Ok(Checked::Read { read, stale: false }) => {
                self.read_records_first(request, Waiting::Read { request, read })
            }
            Ok(Checked::Machines(query)) => self.read_machines(request, query),
            Ok(Checked::Change(change)) => self.write(view, request, change),
        }
    }

    fn check(&self, view: &View<'_>, call: &Call) -> Result<Checked, Refusal> {
        let query = Query::of(&call.query);
        let caller = self.tokens.caller(call.token.as_deref()).ok_or_else(|| {
            Refusal::new(status::FORBIDDEN, "Permission denied: this token is not known here")
        })?;
        let route = routes::route(call.verb, &call.path, &query)?;
        let namespace = query.get("namespace").unwrap_or(DEFAULT_NAMESPACE);
        match route {
            Route::Read(endpoint) => self.check_read(caller, endpoint, namespace, &query),
            Route::Parse => {
                let job = bodies::parse_file(&call.body, &self.context(view))?;
                Ok(Checked::Reply(Reply::json(status::OK, None, &job)))
            }
            Route::Schema => Ok(Checked::Reply(Reply::json(status::OK, None, &crate::schema::job()))),
            Route::Validate => Ok(Checked::Reply(self.validate(view, &call.body, namespace))),
            Route::Register { name, plan } => {
                let SubmittedJob { job, json, enforced_index } =
                    self.submitted_job(view, &call.body, namespace, name.as_deref())?;
                if !caller.may_write(&job.namespace) {
                    return Err(permission_denied(&job.namespace));
                }
                let (job, json) = (Box::new(job), Box::new(json));
                Ok(Checked::Change(Change::Register { job, json, enforced_index, plan }))
            }
            Route::Deregister { name, purge } => {
                if !caller.may_write(namespace) {
                    return Err(permission_denied(namespace));
                }
                Ok(Checked::Change(Change::Deregister { hash: NameHash::of(namespace, &name), purge }))
            }
        }
    }

    fn check_read(
        &self,
        caller: Caller<'_>,
        endpoint: Endpoint,
        namespace: &str,
        query: &Query,
    ) -> Result<Checked, Refusal> {
        let namespaces = self.readable_namespaces(caller, &endpoint, namespace)?;
        let page = Page::of(query).map_err(|reason| Refusal::new(status::BAD_REQUEST, reason))?;
        if let Some(query) = MachineQuery::of(&endpoint, &page, caller.may_read(ALL_NAMESPACES)) {
            return Ok(Checked::Machines(query));
        }
        let max_wait = Duration::from_millis((self.settings.max_wait_s * 1000.0) as u64);
        let wait = query.duration("wait").unwrap_or(DEFAULT_WAIT).min(max_wait);
        let stale = query.has("stale") || !holds(Guard::FreshRead);
        let read = ReadRequest { endpoint, namespaces, page, index: query.number("index"), wait };
        Ok(Checked::Read { read, stale })
    }

    /// The namespaces that a read covers.
    fn readable_namespaces(
        &self,
        caller: Caller<'_>,
        endpoint: &Endpoint,
        namespace: &str,
    ) -> Result<Vec<String>, Refusal> {
        if namespace == ALL_NAMESPACES && endpoint.spans_namespaces() {
            let mut namespaces = self.names.namespaces();
            namespaces.retain(|namespace| caller.may_read(namespace));
            return Ok(namespaces);
        }
        if !caller.may_read(namespace) {
            return Err(permission_denied(namespace));
        }
        Ok(vec![namespace.to_string()])
    }

    /// Checks a job without registering it.
    fn validate(&self, view: &View<'_>, body: &[u8], namespace: &str) -> Reply {
        let result = match self.submitted_job(view, body, namespace, None) {
            Ok(_) => {
                json!({"DriverConfigValidated": true, "ValidationErrors": null, "Error": "", "Warnings": ""})
            }
            Err(Refusal { reason, .. }) => {
                let lines: Vec<&str> = reason.lines().collect();
                json!({"DriverConfigValidated": true, "ValidationErrors": lines, "Error": reason, "Warnings": ""})
            }
        };
        Reply::json(status::OK, None, &result)
    }

    /// The job in a request's body. `name` is the one in the path, if it has one.
    fn submitted_job(
        &self,
        view: &View<'_>,
        body: &[u8],
        namespace: &str,
        name: Option<&str>,
    ) -> Result<SubmittedJob, Refusal> {
        let registration =
            bodies::registration(body).map_err(|reason| Refusal::new(status::BAD_REQUEST, reason))?;
        let mut faults = Faults::default();
        let mut section = decode::api(&registration.job, &mut faults);
        section.default_text("namespace", namespace);
        let job = translate(&section, &self.context(view), faults).map_err(bodies::faulty_job)?;
        if name.is_some_and(|name| name != job.id) {
            let reason = "the job's ID is not the one in the path";
            return Err(Refusal::new(status::BAD_REQUEST, reason));
        }
        Ok(SubmittedJob { job, json: registration.job, enforced_index: registration.enforced_index })
    }
}
