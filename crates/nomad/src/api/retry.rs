//! Registrations and stops in progress: each is decided from the current records, committed on the condition
//! that the records are unchanged, and retried from new records on a conflict.

use super::names::{NameHash, PREFIX};
use super::reply::{Refusal, Reply, respond, send, status};
use super::versions::{self, Decision, RecordedName};
use super::writes::Writes;
use super::{NomadApi, Waiting, answers, ids};
use crate::translate::Job;
use pearford_scheduler::extension::{Action, Outcome, View, WriteBudget};
use pearford_scheduler::types::RequestId;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Maximum number of retries after a commit whose conditions failed.
const MAX_RETRIES: u32 = 4;

/// A registration or a stop.
#[derive(Debug, Clone)]
pub(super) enum Change {
    /// A job is registered.
    Register {
        /// The job, translated.
        job: Box<Job>,
        /// The job as it was sent.
        json: Box<Value>,
        /// The index that the registered job must have, if the client enforces one.
        enforced_index: Option<u64>,
        /// Whether the client only requests the plan; nothing is written.
        plan: bool,
    },
    /// A job is stopped.
    Deregister {
        /// The hash of its name.
        hash: NameHash,
        /// Whether the job is removed from lists too.
        purge: bool,
    },
}

impl Change {
    fn hash(&self) -> NameHash {
        match self {
            Change::Register { job, .. } => NameHash::of(&job.namespace, &job.id),
            Change::Deregister { hash, .. } => hash.clone(),
        }
    }
}

/// A change in progress and the request that it answers.
#[derive(Debug)]
pub(super) struct Write {
    pub(super) request: RequestId,
    change: Change,
    /// Number of retries so far.
    retries: u32,
    /// Part of new native jobs' ids; incremented if an id is already in use.
    salt: u64,
    /// Keys that the last commit was to create: if one exists, its id is already in use.
    created_keys: BTreeSet<String>,
}

impl NomadApi {
    /// Starts a change.
    pub(super) fn write(&mut self, view: &View<'_>, request: RequestId, change: Change) -> Vec<Action> {
        let write = Write { request, change, retries: 0, salt: 0, created_keys: BTreeSet::new() };
        // A name that this node doesn't know needs no read first: the commit is conditional on the absence of
        // the keys. If another node has just registered the name, the commit conflicts and a read follows.
        let known = view.records.get(&write.change.hash().key()).is_some();
        let registers = matches!(write.change, Change::Register { plan: false, .. });
        if view.records.store_revision().is_none() || view.jobs.store_revision().is_none() {
            return respond(
                request,
                Reply::error(status::UNAVAILABLE, "records are not read yet; come back"),
            );
        }
        // A refusal is final only after the read: a node that has just started and doesn't know the machine
        // types yet must not refuse the repeat of a registration that another node accepted.
        if registers && !known {
            let decision = self.decision(view, &write);
            if decision.is_ok() {
                return self.apply_decision(view, write, decision);
            }
        }
        self.read_records_first(request, Waiting::Write(write))
    }

    fn decision(&self, view: &View<'_>, write: &Write) -> Result<Decision, Refusal> {
        match &write.change {
            Change::Register { job, json, enforced_index, .. } => {
                versions::register(view, job, json, *enforced_index, write.salt)
            }
            Change::Deregister { hash, purge } => versions::deregister(view, hash, *purge),
        }
    }

    /// Decides a change from the records that were just read, and commits it.
    pub(super) fn decide(&mut self, view: &View<'_>, write: Write) -> Vec<Action> {
        let decision = self.decision(view, &write);
        self.apply_decision(view, write, decision)
    }

    fn apply_decision(
        &mut self,
        view: &View<'_>,
        mut write: Write,
        decision: Result<Decision, Refusal>,
    ) -> Vec<Action> {
        match decision {
            Err(refusal) => respond(write.request, refusal),
            Ok(Decision::Same) => vec![self.saved_reply(view, &write, true)],
            Ok(Decision::Write(writes)) => {
                if let Change::Register { plan: true, .. } = &write.change {
                    return respond(write.request, self.plan_reply(view, &write.change.hash(), false));
                }
                write.created_keys =
                    writes.conditions.iter().filter(|(_, s)| s.0 == 0).map(|(k, _)| k.clone()).collect();
                let tag = self.next_tag();
                self.waiting.insert(tag, Waiting::Committing(write));
                let Writes { conditions, changes } = writes;
                vec![Action::Commit { tag, budget: WriteBudget::Users, conditions, changes }]
            }
        }
    }

    /// The answer to a plan.
    fn plan_reply(&self, view: &View<'_>, hash: &NameHash, same: bool) -> Reply {
        let known = versions::recorded_name(view, hash);
        let kind = if same {
            "None"
        } else if known.is_none() {
            "Added"
        } else {
            "Edited"
        };
        let index = known.map_or(0, |known| versions::modify_index(view, &known.head));
        Reply::json(
            status::OK,
            None,
            &json!({"Diff": {"Type": kind, "ID": "", "Fields": null, "Objects": null, "TaskGroups": null},
            "Annotations": null, "FailedTGAllocs": null, "JobModifyIndex": index, "CreatedEvals": null,
            "NextPeriodicLaunch": null, "Warnings": ""}),
        )
    }

    /// The answer to a change that was committed, or that the records already contained (`same`).
    fn saved_reply(&self, view: &View<'_>, write: &Write, same: bool) -> Action {
        let hash = write.change.hash();
        let registers = match &write.change {
            Change::Register { plan: true, .. } => {
                return send(write.request, self.plan_reply(view, &hash, same));
            }
            Change::Register { .. } => true,
            Change::Deregister { .. } => false,
        };
        let Some(RecordedName { head, .. }) = versions::recorded_name(view, &hash) else {
            return send(
                write.request,
                Reply::error(status::UNAVAILABLE, "the record is not here yet; come back"),
            );
        };
        let index = answers::index(view, &head);
        let finished = answers::status(view, &head) == "dead";
        let warning = if !(registers && same) {
            ""
        } else if head.stopped {
            "this version was stopped and does not run again; change the job, for example its meta pearford_run"
        } else if finished {
            "this version is done and does not run again; change the job, for example its meta pearford_run"
        } else {
            "this version is registered already"
        };
        let id = ids::of_version(&hash, head.version);
        let reply = json!({"EvalID": id, "EvalCreateIndex": index, "JobModifyIndex": versions::modify_index(view, &head),
            "Warnings": warning, "Index": index, "LastContact": 0, "KnownLeader": true});
        send(write.request, Reply::json(status::OK, Some(index), &reply))
    }

    /// Handles the outcome of a commit: answers the request or retries the change.
    pub(super) fn committed(&mut self, view: &View<'_>, mut write: Write, outcome: Outcome) -> Vec<Action> {
        match outcome {
            Outcome::Done { .. } => {
                self.record_changed(view, &write.change.hash().key());
                if let Change::Register { job, .. } = &write.change {
                    tracing::info!(job = job.id, namespace = job.namespace, "job registered");
                }
                vec![self.saved_reply(view, &write, false)]
            }
            Outcome::Conflict(failed) if write.retries < MAX_RETRIES => {
                write.retries += 1;
                // The id of a new native job exists: another node made the same change, or a user's own job
                // has the id.
                if failed.iter().any(|key| !key.starts_with(PREFIX) && write.created_keys.contains(key)) {
                    write.salt += 1;
                }
                self.read_records_first(write.request, Waiting::Write(write))
            }
            Outcome::Conflict(_) => {
                respond(write.request, Reply::error(status::UNAVAILABLE, "the job is changing; come back"))
            }
            Outcome::Malformed => {
                let reason = "the state service does not take the job's records; make the job smaller";
                respond(write.request, Reply::error(status::UNPROCESSABLE, reason))
            }
            Outcome::NoBudget => respond(
                write.request,
                Reply::error(status::TOO_MANY_REQUESTS, "too many registrations at once; come back"),
            ),
            Outcome::Unknown => {
                let reason = "the state service can't be written now; come back: the same request changes nothing twice";
                respond(write.request, Reply::error(status::UNAVAILABLE, reason))
            }
        }
    }
}
