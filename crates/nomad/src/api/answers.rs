//! The JSON of answers about names, versions and tasks, made from the node's copies of the records.

use super::ids;
use super::names::{Ended, Head, Part, VersionRecord};
use super::versions::modify_index;
use pearford_scheduler::extension::View;
use pearford_scheduler::jobs::{Phase, TaskCounts};
use serde_json::{Value, json};

/// Numbers of tasks by state.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// All tasks.
    pub tasks: u32,
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
    /// Tasks cancelled before completion.
    pub stopped: u32,
}

impl Counts {
    /// Tasks that neither run nor have finished.
    pub fn waiting(&self) -> u32 {
        self.tasks.saturating_sub(self.done + self.running + self.stopped)
    }

    fn plus(self, other: Counts) -> Counts {
        Counts {
            tasks: self.tasks + other.tasks,
            done: self.done + other.done,
            running: self.running + other.running,
            stopped: self.stopped + other.stopped,
        }
    }
}

/// The counts of a native job.
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

/// The counts of a job, or of the group with the given index.
pub fn counts(view: &View<'_>, head: &Head, group: Option<usize>) -> Counts {
    let groups = head.groups.iter().enumerate().filter(|(index, _)| group.is_none_or(|only| only == *index));
    let parts = groups.flat_map(|(_, group)| &group.parts);
    parts.map(|part| counts_of(view, part)).fold(Counts::default(), Counts::plus)
}

/// The job's status: `pending`, `running` or `dead`.
pub fn status(view: &View<'_>, head: &Head) -> &'static str {
    let finished = head.parts().all(|part| view.jobs.terminal_status(&part.id).is_some());
    if head.stopped || finished {
        "dead"
    } else if counts(view, head, None).running > 0 {
        "running"
    } else {
        "pending"
    }
}

fn description(view: &View<'_>, head: &Head) -> String {
    let counts = counts(view, head, None);
    let done = counts.done == counts.tasks;
    if head.stopped {
        return if done { "done, then stopped".into() } else { "stopped".into() };
    }
    if done {
        return "done".into();
    }
    if counts.stopped > 0 {
        return "withdrawn through pearford's own API".into();
    }
    match &head.roll {
        Some(roll) if roll.kept => {
            format!("the roll from version {} has failed; kept as it stands", roll.from)
        }
        Some(roll) => format!("on the way from version {}", roll.from),
        None => String::new(),
    }
}

/// The largest revision of the records that a job's answer depends on. It never decreases, as names' records
/// are never removed.
pub fn index(view: &View<'_>, head: &Head) -> u64 {
    let own = view.records.get(&head.hash().key()).map_or(0, |(revision, _)| revision.0);
    let jobs = head.parts().filter_map(|part| view.jobs.get(&part.id)).map(|known| known.revision.0);
    jobs.chain([own, 1]).max().unwrap_or(1)
}

/// Nomad's job summary: counts by group.
pub fn summary(view: &View<'_>, head: &Head) -> Value {
    let of = |counts: Counts| {
        json!({"Queued": counts.waiting(), "Starting": 0, "Running": counts.running, "Complete": counts.done + counts.stopped,
            "Failed": 0, "Lost": 0, "Unknown": 0})
    };
    let groups = head.groups.iter().enumerate();
    let groups = groups.map(|(index, group)| (group.name.clone(), of(counts(view, head, Some(index)))));
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

/// A job in the short form used in lists.
pub fn stub(view: &View<'_>, head: &Head) -> Value {
    json!({"ID": head.name, "Name": head.name, "Namespace": head.namespace, "ParentID": "", "Type": kind(head),
        "Priority": head.priority, "Periodic": false, "ParameterizedJob": false, "Stop": head.stopped,
        "Status": status(view, head), "StatusDescription": description(view, head),
        "JobSummary": summary(view, head), "CreateIndex": created(view, head), "ModifyIndex": index(view, head),
        "JobModifyIndex": modify_index(view, head), "SubmitTime": head.submitted_ms * 1_000_000,
        "Version": head.version})
}

/// A version's job as it was registered, with the members that the server adds.
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

/// The newest version as it was registered, with the members that the server adds.
pub fn job(view: &View<'_>, head: &Head) -> Option<Value> {
    version_job(view, head, head.version)
}

/// The versions that still have a record, newest first.
pub fn versions(view: &View<'_>, head: &Head) -> Value {
    let from = head.hash().versions_prefix();
    let known = view.records.iter_from(&from).take_while(|(key, ..)| key.starts_with(&from));
    let numbers = known.filter_map(|(key, ..)| key.rsplit('/').next()?.parse::<u64>().ok());
    let mut jobs: Vec<Value> = numbers.filter_map(|version| version_job(view, head, version)).collect();
    jobs.reverse();
    json!({"Versions": jobs, "Diffs": null})
}

/// The members of Nomad's allocation that describe its progress.
struct AllocationStatus {
    client: &'static str,
    desired: &'static str,
    description: &'static str,
    task_state: &'static str,
}

/// The status of a group's task by its index in order of progress: completed tasks first, then running,
/// stopped and waiting ones.
fn allocation_status(head: &Head, counts: Counts, task: u32) -> AllocationStatus {
    let desired = if head.stopped { "stop" } else { "run" };
    let running_end = counts.done + counts.running;
    if task < counts.done {
        AllocationStatus { client: "complete", desired: "run", description: "done", task_state: "dead" }
    } else if task < running_end {
        AllocationStatus { client: "running", desired, description: "runs", task_state: "running" }
    } else if task < running_end + counts.stopped {
        AllocationStatus { client: "complete", desired: "stop", description: "stopped", task_state: "dead" }
    } else {
        let description = "waits, or fetches its image";
        AllocationStatus { client: "pending", desired, description, task_state: "pending" }
    }
}

/// A group's task by its index in order of progress; none if the group has fewer tasks.
pub fn allocation(view: &View<'_>, head: &Head, group_index: usize, task: u32) -> Option<Value> {
    let group = head.groups.get(group_index)?;
    if task >= group.tasks() {
        return None;
    }
    let status = allocation_status(head, counts(view, head, Some(group_index)), task);
    let hash = head.hash();
    Some(
        json!({"ID": ids::of_task(&hash, head.version, group_index, task), "Name": format!("{}.{}[{task}]", head.name, group.name),
        "Namespace": head.namespace, "EvalID": ids::of_version(&hash, head.version), "NodeID": "", "NodeName": "",
        "JobID": head.name, "JobType": kind(head), "JobVersion": head.version, "TaskGroup": group.name,
        "DesiredStatus": status.desired, "DesiredDescription": "", "ClientStatus": status.client,
        "ClientDescription": status.description,
        "DeploymentStatus": null, "FollowupEvalID": "", "RescheduleTracker": null,
        "TaskStates": {group.task.as_str(): {"State": status.task_state, "Failed": false, "Restarts": 0, "Events": []}},
        "CreateIndex": created(view, head), "ModifyIndex": index(view, head),
        "CreateTime": head.submitted_ms * 1_000_000, "ModifyTime": head.submitted_ms * 1_000_000}),
    )
}

/// All allocations of a job, each as the index of its group and of its task.
pub fn places(head: &Head) -> impl Iterator<Item = (usize, u32)> + '_ {
    let groups = head.groups.iter().enumerate();
    groups.flat_map(|(index, group)| (0..group.tasks()).map(move |task| (index, task)))
}

/// The evaluation of the newest version; each version has one.
pub fn evaluation(view: &View<'_>, head: &Head) -> Value {
    let waiting = counts(view, head, None).waiting();
    let mut queued = serde_json::Map::new();
    for (index, group) in head.groups.iter().enumerate() {
        queued.insert(group.name.clone(), counts(view, head, Some(index)).waiting().into());
    }
    let hash = head.hash();
    json!({"ID": ids::of_version(&hash, head.version), "Namespace": head.namespace, "Priority": head.priority,
        "Type": kind(head), "TriggeredBy": if head.stopped { "job-deregister" } else { "job-register" },
        "JobID": head.name, "JobModifyIndex": modify_index(view, head), "NodeID": "",
        "DeploymentID": if head.service { ids::of_version(&hash, head.version) } else { String::new() },
        "Status": "complete", "StatusDescription": "", "Wait": 0, "NextEval": "", "PreviousEval": "",
        "BlockedEval": "", "FailedTGAllocs": null, "QueuedAllocations": queued,
        "AnnotatePlan": false, "SnapshotIndex": index(view, head), "CreateIndex": created(view, head),
        "ModifyIndex": index(view, head), "CreateTime": head.submitted_ms * 1_000_000,
        "ModifyTime": head.submitted_ms * 1_000_000, "Waiting": waiting})
}

/// A service's rollout to its newest version, in progress or finished; none for a batch job.
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
    let groups = head.groups.iter().enumerate().map(|(index, group)| {
        let counts = counts(view, head, Some(index));
        let update = group.update.unwrap_or_default();
        let state = json!({"AutoRevert": update.auto_revert, "AutoPromote": false, "Promoted": false,
            "PlacedCanaries": null, "DesiredCanaries": 0, "DesiredTotal": counts.tasks, "PlacedAllocs": counts.running,
            "HealthyAllocs": counts.running, "UnhealthyAllocs": 0, "ProgressDeadline": update.progress_deadline.0 * 1_000_000,
            "RequireProgressBy": null});
        (group.name.clone(), state)
    });
    Some(json!({"ID": ids::of_version(&hash, head.version), "Namespace": head.namespace, "JobID": head.name,
        "JobVersion": head.version, "JobModifyIndex": modify_index(view, head), "JobSpecModifyIndex": modify_index(view, head),
        "JobCreateIndex": created(view, head), "IsMultiregion": false, "TaskGroups": Value::Object(groups.collect()),
        "Status": status, "StatusDescription": what, "EvalPriority": head.priority,
        "CreateIndex": created(view, head), "ModifyIndex": index(view, head)}))
}
