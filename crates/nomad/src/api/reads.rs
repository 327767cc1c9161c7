//! Reads, answered from the node's copies of the records: immediately, or for a blocking query after a
//! change.

use super::cluster_info::{self, records_are_read};
use super::endpoints::{Endpoint, IdKind, JobPart, ListKind, ReadRequest};
use super::name_index::IdentifiedName;
use super::names::Head;
use super::query::{MAX_PAGE, Page};
use super::reply::{Reply, respond, send, status};
use super::{NomadApi, answers, ids};
use pearford_scheduler::extension::{Action, View};
use pearford_scheduler::types::RequestId;
use serde_json::{Value, json};

fn not_found() -> Reply {
    Reply::error(status::NOT_FOUND, "not found")
}

fn job_not_found() -> Reply {
    Reply::error(status::NOT_FOUND, "job not found")
}

/// A reply about one name, with the name's index.
fn reply_about(view: &View<'_>, head: &Head, value: &Value) -> Reply {
    Reply::json(status::OK, Some(answers::index(view, head)), value)
}

/// A reply about one name, or "not found" if there is no value.
fn reply_about_or_not_found(view: &View<'_>, head: &Head, value: Option<Value>) -> Reply {
    value.map_or_else(not_found, |value| reply_about(view, head, &value))
}

/// A name's deployment, as a list of at most one.
fn deployments(view: &View<'_>, head: &Head) -> Vec<Value> {
    answers::deployment(view, head).into_iter().collect()
}

/// A page of a name's tasks.
fn allocations(view: &View<'_>, head: &Head, page: &Page) -> Reply {
    let skipped: usize = page.from.parse().unwrap_or(0);
    let mut places = answers::places(head).skip(skipped);
    let shown: Vec<Value> = places
        .by_ref()
        .take(page.most)
        .filter_map(|(group, task)| answers::allocation(view, head, group, task))
        .collect();
    let next_token = places.next().map(|_| (skipped + page.most).to_string());
    let mut reply = reply_about(view, head, &shown.into());
    reply.next_token = next_token;
    reply
}

/// Whether a blocking query has to wait because the reply's index does not exceed the query's.
fn must_wait(read: &ReadRequest, reply: &Reply) -> bool {
    match (read.index, reply.index) {
        (Some(after), Some(index)) => after > 0 && index <= after && reply.status == status::OK,
        _ => false,
    }
}

impl NomadApi {
    /// Answers a read, or makes it wait for a change.
    pub(super) fn read(&mut self, view: &View<'_>, request: RequestId, read: ReadRequest) -> Vec<Action> {
        if !records_are_read(view) {
            return respond(
                request,
                Reply::error(status::UNAVAILABLE, "records are not read yet; come back"),
            );
        }
        let reply = self.answer(view, &read);
        if !must_wait(&read, &reply) {
            return respond(request, reply);
        }
        if self.blocking_queries.wait(request, read, view.now) {
            return Vec::new();
        }
        let reason = "too many queries wait for changes here; come back";
        respond(request, Reply::error(status::TOO_MANY_REQUESTS, reason))
    }

    /// Answers blocking queries whose index is exceeded or whose deadline has passed; a bounded number in one
    /// step.
    pub(super) fn wake_blocking_queries(&mut self, view: &View<'_>) -> Vec<Action> {
        let mut queries = std::mem::take(&mut self.blocking_queries);
        let mut actions = Vec::new();
        queries.wake(view.now, |request, read, overdue| {
            let reply = self.answer(view, read);
            let answered = overdue || reply.status != status::OK || reply.index > read.index;
            if answered {
                actions.push(send(request, reply));
            }
            answered
        });
        self.blocking_queries = queries;
        actions
    }

    fn answer(&self, view: &View<'_>, read: &ReadRequest) -> Reply {
        match &read.endpoint {
            Endpoint::List(kind) => self.answer_list(view, read, *kind),
            Endpoint::Job { name, part } => match self.names.find(&read.namespaces, name) {
                Some(head) => answer_job(view, head, *part, &read.page),
                None => job_not_found(),
            },
            Endpoint::ById { id, kind } => match self.names.find_by_id(&read.namespaces, id) {
                Some(found) => answer_by_id(view, &found, *kind, &read.page),
                None => not_found(),
            },
            // Not answered here: nodes hold no copy of machines' records; see `machines`.
            Endpoint::Machines | Endpoint::Machine(_) => not_found(),
            Endpoint::Cluster(info) => cluster_info::answer(view, &self.settings, *info),
        }
    }

    fn answer_list(&self, view: &View<'_>, read: &ReadRequest, kind: ListKind) -> Reply {
        let show = |head: &Head| match kind {
            ListKind::Jobs => vec![answers::stub(view, head)],
            ListKind::Evaluations => vec![answers::evaluation(view, head)],
            ListKind::Deployments => deployments(view, head),
            ListKind::Allocations => answers::places(head)
                .take(MAX_PAGE)
                .filter_map(|(group, task)| answers::allocation(view, head, group, task))
                .collect(),
        };
        let page = self.names.list(&read.namespaces, &read.page, show);
        let mut reply = Reply::json(status::OK, Some(self.names.newest_revision()), &page.elements.into());
        reply.next_token = page.next_token;
        reply
    }
}

fn answer_job(view: &View<'_>, head: &Head, part: JobPart, page: &Page) -> Reply {
    match part {
        JobPart::Registration => reply_about_or_not_found(view, head, answers::job(view, head)),
        JobPart::Versions => reply_about(view, head, &answers::versions(view, head)),
        JobPart::Summary => reply_about(view, head, &answers::summary(view, head)),
        JobPart::Allocations => allocations(view, head, page),
        JobPart::Evaluations => reply_about(view, head, &json!([answers::evaluation(view, head)])),
        JobPart::Deployments => reply_about(view, head, &deployments(view, head).into()),
        JobPart::LatestDeployment => {
            reply_about(view, head, &answers::deployment(view, head).unwrap_or(Value::Null))
        }
    }
}

fn answer_by_id(view: &View<'_>, found: &IdentifiedName<'_>, kind: IdKind, page: &Page) -> Reply {
    let head = found.head;
    match kind {
        IdKind::Evaluation => reply_about(view, head, &answers::evaluation(view, head)),
        IdKind::EvaluationAllocations => allocations(view, head, page),
        IdKind::Deployment => reply_about_or_not_found(view, head, answers::deployment(view, head)),
        IdKind::Allocation => match found.id {
            ids::Id { task: Some((group, task)), .. } => {
                reply_about_or_not_found(view, head, answers::allocation(view, head, group.into(), task))
            }
            ids::Id { task: None, .. } => not_found(),
        },
    }
}
