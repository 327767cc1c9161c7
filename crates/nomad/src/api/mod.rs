//! Nomad's HTTP API as an extension of a node: a state machine without I/O, stepped by the node.
//!
//! Every node answers requests. By default, a read reflects a store read that began after the request
//! arrived; with `stale`, it is answered from the node's current copies. Writes pass the same checks and
//! budgets as native ones.
//!
//! A request goes through `dispatch` (token, route, body) to `reads`, `machines` or `retry` (writes); `reply`
//! makes the answer. `maintenance` holds the work that the leader does for jobs without a request.

pub mod answers;
mod blocking_queries;
mod bodies;
mod cluster_info;
mod dispatch;
mod endpoints;
mod guards;
mod ids;
mod machines;
mod maintenance;
mod name_index;
pub mod names;
mod query;
mod reads;
mod reply;
mod retry;
mod rollouts;
mod routes;
#[cfg(test)]
mod tests;
pub mod tokens;
mod versions;
mod writes;

use crate::operator::NomadSettings;
use crate::translate::Context;
use blocking_queries::BlockingQueries;
use endpoints::ReadRequest;
use machines::MachineQuery;
use maintenance::Maintenance;
use name_index::NameIndex;
use names::{NameHash, PREFIX};
use pearford_scheduler::extension::{Action, Extension, Input, MachinePage, Outcome, View};
use pearford_scheduler::types::{JobId, RequestId};
use reply::{Reply, respond, status};
use retry::Write;
use std::collections::BTreeMap;
use tokens::Tokens;
use versions::RecordedName;

/// A request that waits for the node to complete a read or a commit.
#[derive(Debug)]
enum Waiting {
    /// A read that waits for the records to be read.
    Read { request: RequestId, read: ReadRequest },
    /// A read of machines that waits for their records.
    Machines { request: RequestId, query: MachineQuery },
    /// A write that waits for the records that its decision depends on.
    Write(Write),
    /// A write that waits for its commit.
    Committing(Write),
}

/// Nomad's API in a node.
pub struct NomadApi {
    settings: NomadSettings,
    tokens: Tokens,
    /// The last tag given to a read or commit.
    last_tag: u64,
    /// Waiting requests, by the tag of the read or commit that each waits for.
    waiting: BTreeMap<u64, Waiting>,
    blocking_queries: BlockingQueries,
    names: NameIndex,
    maintenance: Maintenance,
}

impl NomadApi {
    /// Creates the API with the operators' settings.
    ///
    /// # Errors
    /// One line for each fault in the configured tokens.
    pub fn new(settings: NomadSettings) -> Result<Self, Vec<String>> {
        Ok(Self {
            tokens: Tokens::new(&settings.tokens)?,
            blocking_queries: BlockingQueries::new(settings.max_blocking),
            settings,
            last_tag: 0,
            waiting: BTreeMap::new(),
            names: NameIndex::default(),
            maintenance: Maintenance::default(),
        })
    }

    fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }

    fn context(&self, view: &View<'_>) -> Context {
        translation_context(&self.settings, view)
    }

    /// Starts a read of the records; the request waits until it completes.
    fn read_records_first(&mut self, request: RequestId, waiting: Waiting) -> Vec<Action> {
        self.wait(request, waiting, |tag| Action::Read { tag })
    }

    fn read_machines(&mut self, request: RequestId, query: MachineQuery) -> Vec<Action> {
        let which = query.selection();
        self.wait(request, Waiting::Machines { request, query }, |tag| Action::Machines { tag, which })
    }

    /// Makes a request wait for the result of `action`, which gets the request's tag. Refuses the request if
    /// `max_waiting` requests wait already.
    fn wait(
        &mut self,
        request: RequestId,
        waiting: Waiting,
        action: impl FnOnce(u64) -> Action,
    ) -> Vec<Action> {
        if self.waiting.len() >= self.settings.max_waiting {
            let reason = "too many requests wait here; come back";
            return respond(request, Reply::error(status::TOO_MANY_REQUESTS, reason));
        }
        let tag = self.next_tag();
        self.waiting.insert(tag, waiting);
        vec![action(tag)]
    }

    /// Updates the node's state after a name's record changed.
    fn record_changed(&mut self, view: &View<'_>, key: &str) {
        let Some(hash) = NameHash::from_key(key) else { return };
        let Some(RecordedName { revision, head }) = versions::recorded_name(view, &hash) else { return };
        self.maintenance.record_changed(&hash, &head);
        self.names.insert(view, &hash, revision.0, head);
        self.blocking_queries.changed(hash);
    }

    /// Updates the node's state after native jobs' records changed; some of the jobs run parts of names.
    fn jobs_changed(&mut self, view: &View<'_>, jobs: &[JobId]) {
        for job in jobs {
            if let Some(hash) = self.names.owner(job).cloned() {
                self.blocking_queries.changed(hash);
                self.names.job_changed(view, job);
            }
        }
    }

    /// Continues the request that waited for a read of the records.
    fn records_read(&mut self, view: &View<'_>, tag: u64, succeeded: bool) -> Vec<Action> {
        let waiting = self.waiting.remove(&tag);
        if succeeded {
            return match waiting {
                Some(Waiting::Read { request, read }) => self.read(view, request, read),
                Some(Waiting::Write(write)) => self.decide(view, write),
                _ => Vec::new(),
            };
        }
        match waiting {
            Some(Waiting::Read { request, .. } | Waiting::Write(Write { request, .. })) => {
                let reason = "the state service can't be read now; come back";
                respond(request, Reply::error(status::UNAVAILABLE, reason))
            }
            _ => Vec::new(),
        }
    }

    fn machines_read(&mut self, tag: u64, found: Result<MachinePage, Outcome>) -> Vec<Action> {
        match self.waiting.remove(&tag) {
            Some(Waiting::Machines { request, query }) => respond(request, machines::reply(&query, found)),
            _ => Vec::new(),
        }
    }

    /// Continues the write or the maintenance step that a commit belongs to.
    fn commit_ended(&mut self, view: &View<'_>, tag: u64, outcome: Outcome) -> Vec<Action> {
        match self.waiting.remove(&tag) {
            Some(Waiting::Committing(write)) => self.committed(view, write, outcome),
            _ => {
                self.maintenance.committed(tag, &outcome, view.now);
                Vec::new()
            }
        }
    }

    fn tick(&mut self, view: &View<'_>) -> Vec<Action> {
        let mut actions = self.wake_blocking_queries(view);
        // The tag is consumed only if there is something to commit.
        let tag = self.last_tag + 1;
        let settings = &self.settings;
        let context = || translation_context(settings, view);
        if let Some(action) = self.maintenance.tick(view, self.names.heads(), &context, tag) {
            self.last_tag = tag;
            actions.push(action);
        }
        actions
    }
}

/// The settings and zones that jobs are translated with.
fn translation_context(settings: &NomadSettings, view: &View<'_>) -> Context {
    let zones = view.settings.zones.iter().map(ToString::to_string).collect();
    Context { settings: settings.clone(), zones }
}

impl Extension for NomadApi {
    fn prefix(&self) -> &'static str {
        PREFIX
    }

    fn step(&mut self, view: &View<'_>, input: Input<'_>) -> Vec<Action> {
        match input {
            Input::Call { request, call } => self.call(view, request, &call),
            Input::Records(keys) => {
                keys.iter().for_each(|key| self.record_changed(view, key));
                Vec::new()
            }
            Input::Jobs(jobs) => {
                self.jobs_changed(view, jobs);
                Vec::new()
            }
            Input::Machines { tag, found } => self.machines_read(tag, found),
            Input::Read { tag, fresh } => self.records_read(view, tag, fresh),
            Input::Committed { tag, outcome } => self.commit_ended(view, tag, outcome),
            Input::Tick => self.tick(view),
        }
    }

    fn metrics(&self, lines: &mut Vec<String>) {
        lines.push(format!("pearford_nomad_names {}", self.names.len()));
        lines.push(format!("pearford_nomad_requests_waiting {}", self.waiting.len()));
        lines.push(format!("pearford_nomad_queries_blocking {}", self.blocking_queries.len()));
        self.maintenance.metrics(lines);
    }
}
