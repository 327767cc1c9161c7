//! The door: Nomad's API as a feature of a node.
//!
//! Every node answers. What is asked for by default is as of a read begun after the question; with `stale`
//! it comes from the copies as they are. Writes go through the same checks and budgets as native ones.

pub mod answers;
mod guards;
mod ids;
mod limits;
mod machines;
mod maintenance;
pub mod names;
mod requests;
mod retry;
mod rollouts;
#[cfg(test)]
mod tests;
pub mod tokens;
mod versions;

use crate::decode;
use crate::fault::Faults;
use crate::operator::NomadSettings;
use crate::translate::{Context, Job, translate};
use guards::{Guard, holds};
use limits::Queries;
use maintenance::Maintenance;
use names::{Head, NameHash, PREFIX};
use pearford_scheduler::extension::{Action, Call, Extension, Input, View};
use pearford_scheduler::types::{Duration, JobId, RequestId};
use requests::{Ask, Page, Query, Request, Route};
use retry::{Change, Write};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use tokens::Tokens;

const DEFAULT_WAIT: Duration = Duration::from_millis(300_000);

/// An answer before it is sent.
struct Reply {
    status: u16,
    index: Option<u64>,
    next_token: Option<String>,
    retry: bool,
    body: String,
}

impl Reply {
    fn json(status: u16, index: Option<u64>, value: &Value) -> Self {
        Self { status, index, next_token: None, retry: false, body: value.to_string() }
    }

    /// Clients show the text of an error as it is.
    fn error(status: u16, why: impl Into<String>) -> Self {
        let retry = matches!(status, 429 | 503);
        Self { status, index: None, next_token: None, retry, body: why.into() }
    }
}

/// What waits for a read or a commit.
#[derive(Debug)]
enum Waiting {
    Ask(RequestId, Request),
    Machines(RequestId, machines::Asked),
    Write(Write),
    Committing(Write),
}

pub struct NomadApi {
    settings: NomadSettings,
    tokens: Tokens,
    next_tag: u64,
    waiting: BTreeMap<u64, Waiting>,
    /// Queries that wait for a change.
    queries: Queries,
    /// Names' records, read.
    heads: BTreeMap<NameHash, Head>,
    by_name: BTreeMap<(String, String), NameHash>,
    owners: BTreeMap<JobId, NameHash>,
    /// Revision of the newest record of any name.
    newest: u64,
    maintenance: Maintenance,
}

impl NomadApi {
    pub fn new(settings: NomadSettings) -> Result<Self, Vec<String>> {
        Ok(Self {
            tokens: Tokens::new(&settings.tokens)?,
            queries: Queries::new(settings.max_blocking),
            settings,
            next_tag: 0,
            waiting: BTreeMap::new(),
            heads: BTreeMap::new(),
            by_name: BTreeMap::new(),
            owners: BTreeMap::new(),
            newest: 1,
            maintenance: Maintenance::default(),
        })
    }

    fn tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag
    }

    fn context(&self, view: &View<'_>) -> Context {
        context_of(&self.settings, view)
    }

    // ---- requests ----

    fn call(&mut self, view: &View<'_>, request: RequestId, call: Call) -> Vec<Action> {
        let query = Query::of(&call.query);
        let Some(caller) = self.tokens.caller(call.token.as_deref()) else {
            return vec![send(request, Reply::error(403, "Permission denied: this token is not known here"))];
        };
        let route = match requests::route(call.verb, &call.path, &query) {
            Ok(route) => route,
            Err((status, why)) => return vec![send(request, Reply::error(status, why))],
        };
        let namespace = query.get("namespace").unwrap_or("default").to_string();
        let denied = |namespace: &str| {
            Reply::error(
                403,
                format!("Permission denied: this token is not good for namespace `{namespace}`"),
            )
        };
        match route {
            Route::Ask(ask) => {
                let namespaces = match (&ask, namespace.as_str()) {
                    (ask, "*") if ask.is_list() => {
                        let known = self.by_name.keys().map(|(n, _)| n.clone()).collect::<BTreeSet<_>>();
                        known.into_iter().filter(|n| caller.may_read(n)).collect()
                    }
                    _ if !caller.may_read(&namespace) => return vec![send(request, denied(&namespace))],
                    _ => vec![namespace],
                };
                let page = match Page::of(&query) {
                    Ok(page) => page,
                    Err(why) => return vec![send(request, Reply::error(400, why))],
                };
                let wait = query.duration("wait").unwrap_or(DEFAULT_WAIT);
                let wait = Duration::from_millis(wait.0.min((self.settings.max_wait_s * 1000.0) as u64));
                if let Some(asked) = machines::Asked::of(&ask, &page, caller.may_read("*")) {
                    return self.read_machines(request, asked);
                }
                let asked = Request { ask, namespaces, page, index: query.number("index"), wait };
                if query.has("stale") || !holds(Guard::FreshRead) {
                    return self.ask(view, request, asked);
                }
                self.read_first(request, Waiting::Ask(request, asked))
            }
            Route::Parse => vec![send(request, self.parse(view, &call.body))],
            Route::Schema => vec![send(request, Reply::json(200, None, &crate::schema::job()))],
            Route::Validate => {
                let reply = match self.job_of(view, &call.body, &namespace, None) {
                    Ok(_) => {
                        json!({"DriverConfigValidated": true, "ValidationErrors": null, "Error": "", "Warnings": ""})
                    }
                    Err((_, why)) => {
                        let lines: Vec<&str> = why.lines().collect();
                        json!({"DriverConfigValidated": true, "ValidationErrors": lines, "Error": why, "Warnings": ""})
                    }
                };
                vec![send(request, Reply::json(200, None, &reply))]
            }
            Route::Register { name, plan } => {
                let (job, json, enforce) = match self.job_of(view, &call.body, &namespace, name.as_deref()) {
                    Ok(read) => read,
                    Err((status, why)) => return vec![send(request, Reply::error(status, why))],
                };
                if !caller.may_write(&job.namespace) {
                    return vec![send(request, denied(&job.namespace))];
                }
                let change = Change::Register { job: Box::new(job), json: Box::new(json), enforce, plan };
                self.write(view, request, change)
            }
            Route::Deregister { name, purge } => {
                if !caller.may_write(&namespace) {
                    return vec![send(request, denied(&namespace))];
                }
                let hash = NameHash::of(&namespace, &name);
                self.write(view, request, Change::Deregister { hash, purge })
            }
        }
    }

    fn read_first(&mut self, request: RequestId, waiting: Waiting) -> Vec<Action> {
        self.wait(request, waiting, |tag| Action::Read { tag })
    }

    fn read_machines(&mut self, request: RequestId, asked: machines::Asked) -> Vec<Action> {
        let which = asked.which();
        self.wait(request, Waiting::Machines(request, asked), |tag| Action::Machines { tag, which })
    }

    /// Lets a request wait for what `action` brings.
    fn wait(
        &mut self,
        request: RequestId,
        waiting: Waiting,
        action: impl FnOnce(u64) -> Action,
    ) -> Vec<Action> {
        if self.waiting.len() >= self.settings.max_waiting {
            return vec![send(request, Reply::error(429, "too many requests wait here; come back"))];
        }
        let tag = self.tag();
        self.waiting.insert(tag, waiting);
        vec![action(tag)]
    }

    /// The job of a request's body, and the index that it enforces.
    fn job_of(
        &self,
        view: &View<'_>,
        body: &[u8],
        namespace: &str,
        name: Option<&str>,
    ) -> Result<(Job, Value, Option<u64>), (u16, String)> {
        let body = requests::register(body).map_err(|why| (400, why))?;
        let mut faults = Faults::default();
        let mut section = decode::api(&body.job, &mut faults);
        section.default_text("namespace", namespace);
        let job = translate(&section, &self.context(view), faults).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            (400, lines.join("\n"))
        })?;
        if name.is_some_and(|name| name != job.id) {
            return Err((400, "the job's ID is not the one in the path".into()));
        }
        Ok((job, body.job, body.enforce))
    }

    /// A file in HCL as the JSON that clients register.
    fn parse(&self, view: &View<'_>, body: &[u8]) -> Reply {
        match requests::parse_file(body, &self.context(view)) {
            Ok(job) => Reply::json(200, None, &job),
            Err((status, why)) => Reply::error(status, why),
        }
    }

    // ---- reads ----

    /// Answers a question, or lets it wait for a change.
    fn ask(&mut self, view: &View<'_>, request: RequestId, asked: Request) -> Vec<Action> {
        if view.records.store_revision().is_none() || view.jobs.store_revision().is_none() {
            return vec![send(request, Reply::error(503, "records are not read yet; come back"))];
        }
        let reply = self.answer(view, &asked);
        if let (Some(after), Some(index)) = (asked.index, reply.index)
            && after > 0
            && index <= after
            && reply.status == 200
        {
            if !self.queries.wait(request, asked, view.now) {
                return vec![send(
                    request,
                    Reply::error(429, "too many queries wait for changes here; come back"),
                )];
            }
            return Vec::new();
        }
        vec![send(request, reply)]
    }

    fn head(&self, namespaces: &[String], name: &str) -> Option<&Head> {
        let namespace = namespaces.first()?;
        self.heads.get(&NameHash::of(namespace, name)).filter(|head| !head.purged)
    }

    /// The name that an id stands for, if the asker may see it.
    fn head_by_id(&self, namespaces: &[String], id: &str) -> Option<(&Head, ids::Id)> {
        let id = ids::parse(id)?;
        let (hash, head) = self.heads.range(NameHash::beginning(&id.hash)..).next()?;
        if !hash.as_str().starts_with(&id.hash) {
            return None;
        }
        let visible = namespaces.contains(&head.namespace) && u64::from(id.version) <= head.version;
        visible.then_some((head, id))
    }

    fn answer(&self, view: &View<'_>, asked: &Request) -> Reply {
        let missing = || Reply::error(404, "not found");
        let one = |head: &Head, value: Option<Value>| match value {
            Some(value) => Reply::json(200, Some(answers::index(view, head)), &value),
            None => missing(),
        };
        let of_name =
            |name: &str, tell: &dyn Fn(&Head) -> Option<Value>| match self.head(&asked.namespaces, name) {
                Some(head) => one(head, tell(head)),
                None => Reply::error(404, "job not found"),
            };
        match &asked.ask {
            Ask::Jobs => self.list(asked, |head| vec![answers::stub(view, head)]),
            Ask::Job(name) => of_name(name, &|h| answers::job(view, h)),
            Ask::Versions(name) => of_name(name, &|h| Some(answers::versions(view, h))),
            Ask::Summary(name) => of_name(name, &|h| Some(answers::summary(view, h))),
            Ask::Evaluations(name) => of_name(name, &|h| Some(json!([answers::evaluation(view, h)]))),
            Ask::Deployments(name) => {
                of_name(name, &|h| Some(answers::deployment(view, h).into_iter().collect()))
            }
            Ask::Deployment(name) => {
                of_name(name, &|h| Some(answers::deployment(view, h).unwrap_or(Value::Null)))
            }
            Ask::Allocations(name) => match self.head(&asked.namespaces, name) {
                Some(head) => allocations(view, head, &asked.page),
                None => Reply::error(404, "job not found"),
            },
            Ask::Evaluation(id) => match self.head_by_id(&asked.namespaces, id) {
                Some((head, _)) => one(head, Some(answers::evaluation(view, head))),
                None => missing(),
            },
            Ask::EvaluationAllocations(id) => match self.head_by_id(&asked.namespaces, id) {
                Some((head, _)) => allocations(view, head, &asked.page),
                None => missing(),
            },
            Ask::DeploymentById(id) => match self.head_by_id(&asked.namespaces, id) {
                Some((head, _)) => one(head, answers::deployment(view, head)),
                None => missing(),
            },
            Ask::Allocation(id) => match self.head_by_id(&asked.namespaces, id) {
                Some((head, ids::Id { task: Some((group, k)), .. })) => {
                    one(head, answers::allocation(view, head, group.into(), k))
                }
                _ => missing(),
            },
            Ask::AllEvaluations => self.list(asked, |head| vec![answers::evaluation(view, head)]),
            Ask::AllDeployments => {
                self.list(asked, |head| answers::deployment(view, head).into_iter().collect())
            }
            Ask::AllAllocations => self.list(asked, |head| {
                answers::places(head)
                    .take(requests::MAX_PAGE)
                    .filter_map(|(g, k)| answers::allocation(view, head, g, k))
                    .collect()
            }),
            Ask::Namespaces => {
                let names: Vec<Value> = view
                    .settings
                    .teams
                    .keys()
                    .map(|t| t.as_str())
                    .chain(self.settings.namespaces.keys().map(String::as_str))
                    .collect::<BTreeSet<_>>()
                    .into_iter()
                    .map(|n| json!({"Name": n, "Description": "", "CreateIndex": 1, "ModifyIndex": 1}))
                    .collect();
                Reply::json(200, Some(1), &names.into())
            }
            // Read from the state service when asked for, so not among what this node has a copy of.
            Ask::Nodes | Ask::Node(_) => missing(),
            Ask::Leader => {
                let known = view.leads.map(|_| view.settings.api_addr.to_string()).unwrap_or_default();
                Reply::json(200, None, &json!(known))
            }
            Ask::Peers => {
                let own = std::iter::once(view.settings.peer_addr);
                let all: Vec<String> =
                    own.chain(view.settings.peers.iter().map(|p| p.addr)).map(|a| a.to_string()).collect();
                Reply::json(200, None, &json!(all))
            }
            Ask::Regions => Reply::json(200, None, &json!(["global"])),
            Ask::Agent => {
                let version = env!("CARGO_PKG_VERSION");
                let node = view.node.as_str();
                Reply::json(
                    200,
                    None,
                    &json!({"config": {"Region": "global", "Datacenter": view.settings.zone,
                    "NodeName": node, "Version": {"Version": version}, "Server": {"Enabled": true}},
                    "member": {"Name": node, "Status": "alive", "Tags": {"role": "pearford", "region": "global"}},
                    "stats": {}}),
                )
            }
            Ask::Health => {
                let ok = view.records.store_revision().is_some() && view.jobs.store_revision().is_some();
                let message = if ok { "ok" } else { "records are not read yet" };
                Reply::json(
                    if ok { 200 } else { 503 },
                    None,
                    &json!({"server": {"ok": ok, "message": message}}),
                )
            }
        }
    }

    /// A page of what each name gives.
    fn list(&self, asked: &Request, tell: impl Fn(&Head) -> Vec<Value>) -> Reply {
        let mut out = Vec::new();
        let mut next = None;
        'names: for namespace in &asked.namespaces {
            // The page before has told where this one begins.
            let begins = asked.page.from.strip_prefix(namespace).and_then(|rest| rest.strip_prefix('/'));
            let from = (namespace.clone(), begins.unwrap_or_default().to_string());
            for ((n, name), hash) in self.by_name.range(from..).take_while(|((n, _), _)| n == namespace) {
                let token = format!("{n}/{name}");
                if !name.starts_with(&asked.page.prefix) || token < asked.page.from {
                    continue;
                }
                let Some(head) = self.heads.get(hash).filter(|h| !h.purged) else { continue };
                if out.len() >= asked.page.most {
                    next = Some(token);
                    break 'names;
                }
                out.extend(tell(head));
            }
        }
        let mut reply = Reply::json(200, Some(self.newest), &out.into());
        reply.next_token = next;
        reply
    }

    // ---- what changes ----

    /// Takes in the records as they are now.
    fn learn(&mut self, view: &View<'_>, key: &str) {
        let Some(hash) = NameHash::from_key(key) else { return };
        let Some((revision, head)) = versions::head_of(view, &hash) else { return };
        self.newest = self.newest.max(revision.0);
        if let Some(old) = self.heads.get(&hash) {
            old.jobs().for_each(|id| {
                self.owners.remove(id);
            });
        }
        for id in head.jobs() {
            self.owners.insert(id.clone(), hash.clone());
            // Job records may have been read before the name's: lists must not be told an older index then
            // than other nodes have told.
            let revision = view.jobs.get(id).map_or(0, |k| k.revision.0);
            self.newest = self.newest.max(revision);
        }
        self.by_name.insert((head.namespace.clone(), head.name.clone()), hash.clone());
        self.maintenance.record_changed(&hash, &head);
        self.heads.insert(hash.clone(), head);
        self.queries.changed(hash);
    }

    fn jobs_changed(&mut self, view: &View<'_>, ids: &[JobId]) {
        for id in ids {
            if let Some(hash) = self.owners.get(id) {
                self.queries.changed(hash.clone());
                let revision = view.jobs.get(id).map_or(0, |k| k.revision.0);
                self.newest = self.newest.max(revision);
            }
        }
    }

    /// Answers queries that have something new, or have waited long enough; a few at a time.
    fn wake(&mut self, view: &View<'_>) -> Vec<Action> {
        let mut queries = std::mem::take(&mut self.queries);
        let mut out = Vec::new();
        queries.wake(view.now, |request, asked, overdue| {
            let reply = self.answer(view, asked);
            let answers = overdue || reply.status != 200 || reply.index > asked.index;
            if answers {
                out.push(send(request, reply));
            }
            answers
        });
        self.queries = queries;
        out
    }
}

fn context_of(settings: &NomadSettings, view: &View<'_>) -> Context {
    let zones = view.settings.zones.iter().map(ToString::to_string).collect();
    Context { settings: settings.clone(), zones }
}

fn allocations(view: &View<'_>, head: &Head, page: &Page) -> Reply {
    let skip: usize = page.from.parse().unwrap_or(0);
    let mut places = answers::places(head).skip(skip);
    let taken: Vec<Value> =
        places.by_ref().take(page.most).filter_map(|(g, k)| answers::allocation(view, head, g, k)).collect();
    let next = places.next().map(|_| (skip + page.most).to_string());
    let mut reply = Reply::json(200, Some(answers::index(view, head)), &taken.into());
    reply.next_token = next;
    reply
}

fn send(request: RequestId, reply: Reply) -> Action {
    let mut headers = Vec::new();
    if let Some(index) = reply.index {
        headers.push(("x-nomad-index", index.to_string()));
        headers.push(("x-nomad-knownleader", "true".into()));
        headers.push(("x-nomad-lastcontact", "0".into()));
    }
    if let Some(next) = reply.next_token {
        headers.push(("x-nomad-nexttoken", next));
    }
    let retry_after_s = reply.retry.then_some(1);
    Action::Answer { request, status: reply.status, retry_after_s, headers, body: reply.body }
}

impl Extension for NomadApi {
    fn prefix(&self) -> &'static str {
        PREFIX
    }

    fn step(&mut self, view: &View<'_>, input: Input<'_>) -> Vec<Action> {
        match input {
            Input::Call { request, call } => self.call(view, request, call),
            Input::Records(keys) => {
                keys.iter().for_each(|key| self.learn(view, key));
                Vec::new()
            }
            Input::Jobs(ids) => {
                self.jobs_changed(view, ids);
                Vec::new()
            }
            Input::Machines { tag, found } => match self.waiting.remove(&tag) {
                Some(Waiting::Machines(request, asked)) => {
                    vec![send(request, machines::reply(&asked, found))]
                }
                _ => Vec::new(),
            },
            Input::Read { tag, fresh } => match (self.waiting.remove(&tag), fresh) {
                (Some(Waiting::Ask(request, asked)), true) => self.ask(view, request, asked),
                (Some(Waiting::Write(write)), true) => self.decide(view, write),
                (Some(Waiting::Ask(request, _) | Waiting::Write(Write { request, .. })), false) => {
                    let why = "the state service can't be read now; come back";
                    vec![send(request, Reply::error(503, why))]
                }
                _ => Vec::new(),
            },
            Input::Committed { tag, outcome } => match self.waiting.remove(&tag) {
                Some(Waiting::Committing(write)) => self.committed(view, write, outcome),
                _ => {
                    self.maintenance.committed(tag, &outcome, view.now);
                    Vec::new()
                }
            },
            Input::Tick => {
                let mut actions = self.wake(view);
                let tag = self.next_tag + 1;
                let settings = &self.settings;
                let context = || context_of(settings, view);
                if let Some(action) = self.maintenance.tick(view, &self.heads, &context, tag) {
                    self.next_tag = tag;
                    actions.push(action);
                }
                actions
            }
        }
    }

    fn metrics(&self, lines: &mut Vec<String>) {
        lines.push(format!("pearford_nomad_names {}", self.heads.len()));
        lines.push(format!("pearford_nomad_requests_waiting {}", self.waiting.len()));
        lines.push(format!("pearford_nomad_queries_blocking {}", self.queries.len()));
        self.maintenance.metrics(lines);
    }
}
