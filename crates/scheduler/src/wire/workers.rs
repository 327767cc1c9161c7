//! Workers <-> controller nodes.

use crate::types::{Attempt, FencingToken, JobId, MachineId, NodeName, TaskId, TypeName, WorkerEpoch, Zone};
use pearford_heartbeat::HeartbeatPosition;
use pearford_recovery::{ReportedState, TaskExit};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "host")]
    pub machine: MachineId,
    pub addr: String,
    #[serde(rename = "flavor")]
    pub type_name: TypeName,
    #[serde(rename = "region")]
    pub zone: Zone,
    #[serde(rename = "preemptible", default)]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub worker_epoch: WorkerEpoch,
    pub serial: u64,
    #[serde(rename = "fence", default)]
    pub fencing_token: FencingToken,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "shards", default)]
    pub tasks: Vec<ReportedTask>,
}

/// What a report says beside who made it and when in its life: what nodes tell one another of it.
#[derive(Serialize, Deserialize)]
struct Content {
    addr: String,
    type_name: TypeName,
    zone: Zone,
    spot: bool,
    notice_s: Option<f64>,
    tasks: Vec<ReportedTask>,
}

impl Heartbeat {
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            worker_epoch: self.worker_epoch,
            serial: self.serial,
            fencing_token: self.fencing_token,
        }
    }

    /// Its content, as nodes tell it one another.
    pub fn content(&self) -> Vec<u8> {
        let content = Content {
            addr: self.addr.clone(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            notice_s: self.notice_s,
            tasks: self.tasks.clone(),
        };
        postcard::to_stdvec(&content).unwrap_or_default()
    }

    /// The report that had this content; none if it can't be read.
    pub fn of(machine: &MachineId, at: HeartbeatPosition, content: &[u8]) -> Option<Self> {
        let c: Content = postcard::from_bytes(content).ok()?;
        Some(Self {
            machine: machine.clone(),
            addr: c.addr,
            type_name: c.type_name,
            zone: c.zone,
            spot: c.spot,
            worker_epoch: at.worker_epoch,
            serial: at.serial,
            fencing_token: at.fencing_token,
            notice_s: c.notice_s,
            tasks: c.tasks,
        })
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "shard")]
    task: String,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    pub phase: TaskPhase,
    #[serde(default)]
    pub cause: Option<Cause>,
    #[serde(rename = "kept", default)]
    pub saved: bool,
}

impl ReportedTask {
    pub fn task(&self) -> Option<TaskId> {
        TaskId::parse(&self.task)
    }

    /// What it says of the task.
    pub fn reported_state(&self) -> ReportedState {
        match self.phase {
            TaskPhase::Fetching | TaskPhase::Other => ReportedState::Fetching,
            TaskPhase::Waiting => ReportedState::Waiting,
            TaskPhase::Running => ReportedState::Running,
            TaskPhase::Saving => ReportedState::Saving,
            TaskPhase::Exited => ReportedState::Ended(match self.cause {
                Some(Cause::Done) => TaskExit::Done,
                Some(Cause::Error) => TaskExit::Failed,
                Some(Cause::Stopped) => TaskExit::Stopped { saved: self.saved },
                Some(Cause::Peers | Cause::Alone) => TaskExit::GangBroke,
                Some(Cause::NoRoom) => TaskExit::NoRoom,
                Some(Cause::Busy | Cause::Unknown | Cause::Other) | None => TaskExit::Refused,
            }),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    Fetching,
    Waiting,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
    /// A phase this version does not know: counted as present.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    Peers,
    #[serde(rename = "incomplete")]
    Alone,
    Error,
    NoRoom,
    Busy,
    Unknown,
    /// A cause this version does not know: says nothing about the machine.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WorkerCommand {
    Start { task: TaskId, attempt: Attempt },
    Stop { task: TaskId, attempt: Attempt, grace_s: f64 },
    Forget { task: TaskId, attempt: Attempt },
}

#[derive(Serialize)]
struct WireCommand {
    verb: &'static str,
    shard: String,
    #[serde(rename = "try")]
    attempt: Attempt,
    #[serde(skip_serializing_if = "Option::is_none")]
    drain_s: Option<f64>,
}

impl WorkerCommand {
    fn to_wire(&self) -> WireCommand {
        let (verb, task, attempt, drain_s) = match self {
            WorkerCommand::Start { task, attempt } => ("start", task, attempt, None),
            WorkerCommand::Stop { task, attempt, grace_s } => ("stop", task, attempt, Some(*grace_s)),
            WorkerCommand::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        WireCommand { verb, shard: task.to_string(), attempt: *attempt, drain_s }
    }
}

/// The answer to a report.
pub fn answer(fencing_token: FencingToken, commands: &[WorkerCommand]) -> String {
    #[derive(Serialize)]
    struct Answer {
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        #[serde(rename = "orders")]
        commands: Vec<WireCommand>,
    }
    let commands = commands.iter().map(WorkerCommand::to_wire).collect();
    serde_json::to_string(&Answer { fencing_token, commands }).unwrap_or_default()
}

/// A direct command.
pub fn command(fencing_token: FencingToken, worker_epoch: WorkerEpoch, commands: &[WorkerCommand]) -> String {
    #[derive(Serialize)]
    struct Command {
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        tenure: WorkerEpoch,
        #[serde(rename = "orders")]
        commands: Vec<WireCommand>,
    }
    let commands = commands.iter().map(WorkerCommand::to_wire).collect();
    serde_json::to_string(&Command { fencing_token, tenure: worker_epoch, commands }).unwrap_or_default()
}

/// What is left of a direct command without the starts of jobs that are over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Filtered {
    AsItIs,
    Without(String),
    Nothing,
}

/// Takes out of a direct command the starts of jobs that `over` names.
pub fn without_starts(body: &str, over: impl Fn(&JobId) -> bool) -> Filtered {
    if !body.contains("\"start\"") {
        return Filtered::AsItIs;
    }
    let Ok(mut command) = serde_json::from_str::<serde_json::Value>(body) else { return Filtered::AsItIs };
    let Some(commands) = command["orders"].as_array_mut() else { return Filtered::AsItIs };
    let all = commands.len();
    commands.retain(|command| {
        let task = command["shard"].as_str().and_then(TaskId::parse);
        command["verb"] != "start" || !task.is_some_and(|task| over(&task.job))
    });
    match commands.len() {
        0 if all > 0 => Filtered::Nothing,
        left if left < all => Filtered::Without(command.to_string()),
        _ => Filtered::AsItIs,
    }
}

/// Sends a worker to the node that leads.
pub fn redirect(master: Option<&NodeName>) -> String {
    #[derive(Serialize)]
    struct Redirect<'a> {
        #[serde(skip_serializing_if = "Option::is_none")]
        master: Option<&'a str>,
    }
    serde_json::to_string(&Redirect { master: master.map(NodeName::as_str) }).unwrap_or_default()
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
