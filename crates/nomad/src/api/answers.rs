//! What the API says of names, versions, tasks: from the copies of the records that every node has.

use super::ids;
use super::names::{Ended, Head, Part, VersionRecord};
use super::versions::modify_index;
use pearford_scheduler::extension::View;
use pearford_scheduler::jobs::{Phase, TaskCounts};
use serde_json::{Value, json};

/// How many tasks of something are where.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    pub tasks: u32,
    pub done: u32,
    pub running: u32,
    /// Withdrawn before they were done.
    pub stopped: u32,
}

impl Counts {
    pub fn waiting(&self) -> u32 {
        self.tasks.saturating_sub(self.done + self.running + self.stopped)
    }

    fn plus(self, o: Counts) -> Counts {
        Counts {
            tasks: self.tasks + o.tasks,
            done: self.done + o.done,
            running: self.running + o.running,
            stopped: self.stopped + o.stopped,
        }
    }
}

pub fn counts_of(view: &View<'_>, part: &Part) -> Counts {
    let TaskCounts { done, running } = view.task_counts(&part.id).unwrap_or_default();
    let tasks = part.tasks;
    match view.jobs.terminal_status(&part.id) {
        Some(Phase::Done) => Counts { tasks, done: tasks, running: 0, stopped: 0 },
        Some(_) => Counts { tasks, done: 0, running: 0, stopped: tasks },
        None => {
            let done = done.min(tasks);
            Counts { tasks, done, running: running.min(tasks - done), stopped: 0 }
        }
    }
}

pub fn counts(view: &View<'_>, head: &Head, group: Option<usize>) -> Counts {
    let groups = head.groups.iter().enumerate().filter(|(i, _)| group.is_none_or(|g| g == *i));
    let parts = groups.flat_map(|(_, g)| &g.parts);
    parts.map(|p| counts_of(view, p)).fold(Counts::default(), Counts::plus)
}

/// `pending`, `running` or `dead`.
pub fn status(view: &View<'_>, head: &Head) -> &'static str {
    let c = counts(view, head, None);
    let over = head.parts().all(|p| view.jobs.terminal_status(&p.id).is_some());
    match () {
        () if head.stopped || over => "dead",
        () if c.running > 0 => "running",
        () => "pending",
    }
}

fn description(view: &View<'_>, head: &Head) -> String {
    let c = counts(view, head, None);
    match () {
        () if head.stopped && c.done == c.tasks => "done, then stopped".into(),
        () if head.stopped => "stopped".into(),
        () if c.done == c.tasks => "done".into(),
        () if c.stopped > 0 => "withdrawn through pearford's own API".into(),
        () => match &head.roll {
            Some(roll) if roll.kept => {
                format!("the roll from version {} has failed; kept as it stands", roll.from)
            }
            Some(roll) => format!("on the way from version {}", roll.from),
            None => String::new(),
        },
    }
}

/// Revision of the newest record that it is told by: never falls, as names' records are never removed.
pub fn index(view: &View<'_>, head: &Head) -> u64 {
    let own = view.records.get(&head.hash().key()).map_or(0, |(revision, _)| revision.0);
    let jobs = head.parts().filter_map(|p| view.jobs.get(&p.id)).map(|k| k.revision.0);
    jobs.chain([own, 1]).max().unwrap_or(1)
}

pub fn summary(view: &View<'_>, head: &Head) -> Value {
    let of = |c: Counts| {
        json!({"Queued": c.waiting(), "Starting": 0, "Running": c.running, "Complete": c.done + c.stopped,
            "Failed": 0, "Lost": 0, "Unknown": 0})
    };
    let groups =
        head.groups.iter().enumerate().map(|(i, g)| (g.name.clone(), of(counts(view, head, Some(i)))));
    json!({"JobID": head.name, "Namespace": head.namespace,
        "Summary": Value::Object(groups.collect()), "Children": {"Pending": 0, "Running": 0, "Dead": 0},
        "CreateIndex": created(view, head), "ModifyIndex": index(view, head)})
}

fn created(view: &View<'_>, head: &Head) -> u64 {
    let own = || view.records.get(&head.hash().key()).map_or(0, |(revision, _)| revision.0);
    if head.created > 0 { head.created } else { own() }
}

fn kind(head: &Head) -> &'static str {
    if head.service { "service" } else { "batch" }
}

pub fn stub(view: &View<'_>, head: &Head) -> Value {
    json!({"ID": head.name, "Name": head.name, "Namespace": head.namespace, "ParentID": "", "Type": kind(head),
        "Priority": head.priority, "Periodic": false, "ParameterizedJob": false, "Stop": head.stopped,
        "Status": status(view, head), "StatusDescription": description(view, head),
        "JobSummary": summary(view, head), "CreateIndex": created(view, head), "ModifyIndex": index(view, head),
        "JobModifyIndex": modify_index(view, head), "SubmitTime": head.submitted_ms * 1_000_000,
        "Version": head.version})
}

/// A version's job as it was registered, with what the server adds.
fn version_job(view: &View<'_>, head: &Head, version: u64) -> Option<Value> {
    let (revision, record) = view.records.get(&head.hash().version_key(version))?;
    let record: VersionRecord = serde_json::from_str(record).ok()?;
    let mut job = record.job()?;
    let map = job.as_object_mut()?;
    let newest = version == head.version;
    for (key, value) in [
        ("ID", json!(head.name)),
        ("Name", json!(head.name)),
        ("Namespace", json!(head.namespace)),
        ("Type", json!(kind(head))),
        ("Version", json!(version)),
        ("Stop", json!(newest && head.stopped)),
        ("Status", json!(if newest { status(view, head) } else { "dead" })),
        ("StatusDescription", json!(if newest { description(view, head) } else { String::new() })),
        ("SubmitTime", json!(record.submitted_ms * 1_000_000)),
        ("CreateIndex", json!(created(view, head))),
        ("ModifyIndex", json!(if newest { index(view, head) } else { revision.0 })),
        ("JobModifyIndex", json!(revision.0)),
        ("Stable", json!(newest && head.ended == Some(Ended::Successful))),
    ] {
        map.insert(key.into(), value);
    }
    Some(job)
}

pub fn job(view: &View<'_>, head: &Head) -> Option<Value> {
    version_job(view, head, head.version)
}

pub fn versions(view: &View<'_>, head: &Head) -> Value {
    let from = head.hash().versions_from();
    let known = view.records.iter_from(&from).take_while(|(key, ..)| key.starts_with(&from));
    let numbers = known.filter_map(|(key, ..)| key.rsplit('/').next()?.parse::<u64>().ok());
    let mut jobs: Vec<Value> = numbers.filter_map(|v| version_job(view, head, v)).collect();
    jobs.reverse();
    json!({"Versions": jobs, "Diffs": null})
}

/// The k-th task of a group by its progress: those done come first, then those that run.
pub fn allocation(view: &View<'_>, head: &Head, group: usize, k: u32) -> Option<Value> {
    let g = head.groups.get(group)?;
    let c = counts(view, head, Some(group));
    if k >= g.tasks() {
        return None;
    }
    let (client, desired, what) = match k {
        k if k < c.done => ("complete", "run", "done"),
        k if k < c.done + c.running => ("running", if head.stopped { "stop" } else { "run" }, "runs"),
        k if k < c.done + c.running + c.stopped => ("complete", "stop", "stopped"),
        _ => ("pending", if head.stopped { "stop" } else { "run" }, "waits, or fetches its image"),
    };
    let hash = head.hash();
    let state = match client {
        "pending" => "pending",
        "running" => "running",
        _ => "dead",
    };
    Some(
        json!({"ID": ids::of_task(&hash, head.version, group, k), "Name": format!("{}.{}[{k}]", head.name, g.name),
        "Namespace": head.namespace, "EvalID": ids::of_version(&hash, head.version), "NodeID": "", "NodeName": "",
        "JobID": head.name, "JobType": kind(head), "JobVersion": head.version, "TaskGroup": g.name,
        "DesiredStatus": desired, "DesiredDescription": "", "ClientStatus": client, "ClientDescription": what,
        "DeploymentStatus": null, "FollowupEvalID": "", "RescheduleTracker": null,
        "TaskStates": {g.task.as_str(): {"State": state, "Failed": false, "Restarts": 0, "Events": []}},
        "CreateIndex": created(view, head), "ModifyIndex": index(view, head),
        "CreateTime": head.submitted_ms * 1_000_000, "ModifyTime": head.submitted_ms * 1_000_000}),
    )
}

/// Places of all allocations of a job.
pub fn places(head: &Head) -> impl Iterator<Item = (usize, u32)> + '_ {
    head.groups.iter().enumerate().flat_map(|(g, group)| (0..group.tasks()).map(move |k| (g, k)))
}

pub fn evaluation(view: &View<'_>, head: &Head) -> Value {
    let c = counts(view, head, None);
    let queued: serde_json::Map<String, Value> = head
        .groups
        .iter()
        .enumerate()
        .map(|(i, g)| (g.name.clone(), counts(view, head, Some(i)).waiting().into()))
        .collect();
    let hash = head.hash();
    json!({"ID": ids::of_version(&hash, head.version), "Namespace": head.namespace, "Priority": head.priority,
        "Type": kind(head), "TriggeredBy": if head.stopped { "job-deregister" } else { "job-register" },
        "JobID": head.name, "JobModifyIndex": modify_index(view, head), "NodeID": "",
        "DeploymentID": if head.service { ids::of_version(&hash, head.version) } else { String::new() },
        "Status": "complete", "StatusDescription": "", "Wait": 0, "NextEval": "", "PreviousEval": "",
        "BlockedEval": "", "FailedTGAllocs": null, "QueuedAllocations": queued,
        "AnnotatePlan": false, "SnapshotIndex": index(view, head), "CreateIndex": created(view, head),
        "ModifyIndex": index(view, head), "CreateTime": head.submitted_ms * 1_000_000,
        "ModifyTime": head.submitted_ms * 1_000_000, "Waiting": c.waiting()})
}

/// A service's way to its newest version.
pub fn deployment(view: &View<'_>, head: &Head) -> Option<Value> {
    if !head.service {
        return None;
    }
    let (status, what) = match (&head.roll, head.ended) {
        _ if head.stopped => ("cancelled", "the job was stopped"),
        (Some(roll), _) if roll.kept => {
            ("failed", "new replicas did not become healthy in time; kept as it stands")
        }
        (Some(_), Some(Ended::Reverted)) => ("running", "goes back to the version before"),
        (Some(_), _) => ("running", "old replicas go as new ones become healthy"),
        (None, Some(Ended::Failed)) => ("failed", "new replicas did not become healthy in time"),
        (None, _) => ("successful", "the version runs alone"),
    };
    let hash = head.hash();
    let groups = head.groups.iter().enumerate().map(|(i, g)| {
        let c = counts(view, head, Some(i));
        let update = g.update.unwrap_or_default();
        let state = json!({"AutoRevert": update.auto_revert, "AutoPromote": false, "Promoted": false,
            "PlacedCanaries": null, "DesiredCanaries": 0, "DesiredTotal": c.tasks, "PlacedAllocs": c.running,
            "HealthyAllocs": c.running, "UnhealthyAllocs": 0, "ProgressDeadline": update.progress_deadline.0 * 1_000_000,
            "RequireProgressBy": null});
        (g.name.clone(), state)
    });
    Some(json!({"ID": ids::of_version(&hash, head.version), "Namespace": head.namespace, "JobID": head.name,
        "JobVersion": head.version, "JobModifyIndex": modify_index(view, head), "JobSpecModifyIndex": modify_index(view, head),
        "JobCreateIndex": created(view, head), "IsMultiregion": false, "TaskGroups": Value::Object(groups.collect()),
        "Status": status, "StatusDescription": what, "EvalPriority": head.priority,
        "CreateIndex": created(view, head), "ModifyIndex": index(view, head)}))
}
