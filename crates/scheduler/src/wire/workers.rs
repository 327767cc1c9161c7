//! Workers <-> controller nodes: heartbeats, their answers, and commands sent directly.

use crate::types::{Attempt, FencingToken, JobId, MachineId, NodeName, TaskId, TypeName, WorkerEpoch, Zone};
use pearford_heartbeat::HeartbeatPosition;
use pearford_recovery::{ReportedState, TaskExit};
use serde::{Deserialize, Serialize};

/// The verb of a start command.
const START: &str = "start";

/// A worker's heartbeat, with the status of its machine and tasks.
#[derive(Debug, Clone, Deserialize)]
pub struct Heartbeat {
    /// The worker's machine.
    #[serde(rename = "host")]
    pub machine: MachineId,
    /// The address at which the worker listens.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "flavor")]
    pub type_name: TypeName,
    /// The zone that the machine is in.
    #[serde(rename = "region")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "preemptible", default)]
    pub spot: bool,
    /// The worker's epoch, which differs for each start of the worker.
    #[serde(rename = "tenure")]
    pub worker_epoch: WorkerEpoch,
    /// Number of the heartbeat within the worker's epoch.
    pub serial: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "fence", default)]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud reclaims the machine, once the cloud has announced that.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// The worker's tasks, including exited ones that it was not yet told to forget.
    #[serde(rename = "shards", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A heartbeat without the worker's identity and position: what nodes relay to each other.
///
/// Encoded with postcard: the order of the fields is part of the format.
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
    /// Its position in the order of all heartbeats of its machine.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            worker_epoch: self.worker_epoch,
            serial: self.serial,
            fencing_token: self.fencing_token,
        }
    }

    /// Its content, as nodes relay it to each other.
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

    /// The heartbeat of `machine` at `position` that had this content; `None` if the content can't be read.
    pub fn from_content(machine: &MachineId, position: HeartbeatPosition, content: &[u8]) -> Option<Self> {
        let content: Content = postcard::from_bytes(content).ok()?;
        Some(Self {
            machine: machine.clone(),
            addr: content.addr,
            type_name: content.type_name,
            zone: content.zone,
            spot: content.spot,
            worker_epoch: position.worker_epoch,
            serial: position.serial,
            fencing_token: position.fencing_token,
            notice_s: content.notice_s,
            tasks: content.tasks,
        })
    }
}

/// A task as its worker reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "shard")]
    task: String,
    /// The attempt that it was started for.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Its phase.
    pub phase: TaskPhase,
    /// Why it exited, if it has.
    #[serde(default)]
    pub cause: Option<Cause>,
    /// Whether its last checkpoint was written before it was stopped.
    #[serde(rename = "kept", default)]
    pub saved: bool,
}

impl ReportedTask {
    /// The task's id; `None` if the reported id is malformed.
    pub fn task(&self) -> Option<TaskId> {
        TaskId::parse(&self.task)
    }

    /// Its state, in the terms of reconciliation.
    pub fn reported_state(&self) -> ReportedState {
        match self.phase {
            TaskPhase::Fetching | TaskPhase::Other => ReportedState::Fetching,
            TaskPhase::Waiting => ReportedState::Waiting,
            TaskPhase::Running => ReportedState::Running,
            TaskPhase::Saving => ReportedState::Saving,
            TaskPhase::Exited => ReportedState::Ended(self.exit()),
        }
    }

    /// Whether the task is done.
    pub fn is_done(&self) -> bool {
        self.reported_state() == ReportedState::Ended(TaskExit::Done)
    }

    fn exit(&self) -> TaskExit {
        match self.cause {
            Some(Cause::Done) => TaskExit::Done,
            Some(Cause::Error) => TaskExit::Failed,
            Some(Cause::Stopped) => TaskExit::Stopped { saved: self.saved },
            Some(Cause::GangPeerLost | Cause::GangIncomplete) => TaskExit::GangBroke,
            Some(Cause::NoRoom) => TaskExit::InsufficientResources,
            Some(Cause::Busy | Cause::Unknown | Cause::Other) | None => TaskExit::Refused,
        }
    }
}

/// Phase of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Its image is being fetched.
    Fetching,
    /// It waits for the other tasks of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It was told to stop, and writes a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// It has exited.
    #[serde(rename = "ended")]
    Exited,
    /// A phase this version does not know: counted as present.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It finished its work.
    Done,
    /// It was told to stop.
    Stopped,
    /// It lost another task of its gang.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// The other tasks of its gang did not start in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// It failed.
    Error,
    /// The machine's free resources don't suffice for it.
    NoRoom,
    /// The worker could not accept it.
    Busy,
    /// The worker does not know the task.
    Unknown,
    /// A cause this version does not know: does not count for or against the machine.
    #[serde(other)]
    Other,
}

/// A command to a worker about one attempt of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Run the task.
    Start {
        /// The task.
        task: TaskId,
        /// The new attempt.
        attempt: Attempt,
    },
    /// Stop the task.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt to stop.
        attempt: Attempt,
        /// How many seconds it may take to write a checkpoint.
        grace_s: f64,
    },
    /// Leave an exited task out of heartbeats from now on.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt to forget.
        attempt: Attempt,
    },
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

impl WireCommand {
    fn new(verb: &'static str, task: &TaskId, attempt: Attempt, drain_s: Option<f64>) -> Self {
        Self { verb, shard: task.to_string(), attempt, drain_s }
    }
}

impl From<&WorkerCommand> for WireCommand {
    fn from(command: &WorkerCommand) -> Self {
        match command {
            WorkerCommand::Start { task, attempt } => Self::new(START, task, *attempt, None),
            WorkerCommand::Stop { task, attempt, grace_s } => {
                Self::new("stop", task, *attempt, Some(*grace_s))
            }
            WorkerCommand::Forget { task, attempt } => Self::new("forget", task, *attempt, None),
        }
    }
}

/// The body of the answer to a heartbeat, with the leader's fencing token.
pub fn answer(fencing_token: FencingToken, commands: &[WorkerCommand]) -> String {
    #[derive(Serialize)]
    struct Answer {
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        #[serde(rename = "orders")]
        commands: Vec<WireCommand>,
    }
    let commands = commands.iter().map(WireCommand::from).collect();
    serde_json::to_string(&Answer { fencing_token, commands }).unwrap_or_default()
}

/// The body of commands sent directly to a worker. The worker ignores them if they name another epoch of it,
/// or a lower fencing token than it has seen.
pub fn command(fencing_token: FencingToken, worker_epoch: WorkerEpoch, commands: &[WorkerCommand]) -> String {
    #[derive(Serialize)]
    struct Command {
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        #[serde(rename = "tenure")]
        worker_epoch: WorkerEpoch,
        #[serde(rename = "orders")]
        commands: Vec<WireCommand>,
    }
    let commands = commands.iter().map(WireCommand::from).collect();
    serde_json::to_string(&Command { fencing_token, worker_epoch, commands }).unwrap_or_default()
}

/// Result of removing the starts of finished jobs from a direct command's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Filtered {
    /// There was nothing to remove.
    Unchanged,
    /// The body without these starts.
    Reduced(String),
    /// No command is left.
    Empty,
}

/// Removes the starts of jobs that are `finished` from a direct command's body.
pub fn without_starts(body: &str, finished: impl Fn(&JobId) -> bool) -> Filtered {
    // Most bodies contain no start; these are not parsed.
    if !body.contains("\"start\"") {
        return Filtered::Unchanged;
    }
    let Ok(mut command) = serde_json::from_str::<serde_json::Value>(body) else {
        return Filtered::Unchanged;
    };
    let Some(commands) = command["orders"].as_array_mut() else { return Filtered::Unchanged };
    let before = commands.len();
    commands.retain(|command| {
        let task = command["shard"].as_str().and_then(TaskId::parse);
        command["verb"] != START || !task.is_some_and(|task| finished(&task.job))
    });
    match commands.len() {
        0 if before > 0 => Filtered::Empty,
        left if left < before => Filtered::Reduced(command.to_string()),
        _ => Filtered::Unchanged,
    }
}

/// The answer that redirects a worker to the leader, or to the node assigned to receive its heartbeats.
/// Without either, the worker has to try another node.
pub fn redirect(node: Option<&NodeName>) -> String {
    #[derive(Serialize)]
    struct Redirect<'a> {
        #[serde(rename = "master", skip_serializing_if = "Option::is_none")]
        node: Option<&'a str>,
    }
    serde_json::to_string(&Redirect { node: node.map(NodeName::as_str) }).unwrap_or_default()
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
