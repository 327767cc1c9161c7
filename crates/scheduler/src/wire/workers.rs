//! Workers <-> controller nodes.

use crate::types::{Attempt, Fence, JobId, MachineId, NodeName, Session, TaskId, TypeName, Zone};
use pearford_homes::Stamped;
use pearford_recovery::{Ending, Said};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize)]
pub struct Report {
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
    pub session: Session,
    pub serial: u64,
    #[serde(default)]
    pub fence: Fence,
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

impl Report {
    pub fn stamped(&self) -> Stamped {
        Stamped { session: self.session, serial: self.serial, fence: self.fence }
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
    pub fn of(machine: &MachineId, at: Stamped, content: &[u8]) -> Option<Self> {
        let c: Content = postcard::from_bytes(content).ok()?;
        Some(Self {
            machine: machine.clone(),
            addr: c.addr,
            type_name: c.type_name,
            zone: c.zone,
            spot: c.spot,
            session: at.session,
            serial: at.serial,
            fence: at.fence,
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
    pub fn said(&self) -> Said {
        match self.phase {
            TaskPhase::Fetching | TaskPhase::Other => Said::Fetching,
            TaskPhase::Waiting => Said::Waiting,
            TaskPhase::Running => Said::Running,
            TaskPhase::Saving => Said::Saving,
            TaskPhase::Exited => Said::Ended(match self.cause {
                Some(Cause::Done) => Ending::Done,
                Some(Cause::Error) => Ending::Failed,
                Some(Cause::Stopped) => Ending::Stopped { saved: self.saved },
                Some(Cause::Peers | Cause::Alone) => Ending::GangBroke,
                Some(Cause::NoRoom) => Ending::NoRoom,
                Some(Cause::Busy | Cause::Unknown | Cause::Other) | None => Ending::Refused,
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
pub enum Order {
    Start { task: TaskId, attempt: Attempt },
    Stop { task: TaskId, attempt: Attempt, grace_s: f64 },
    Forget { task: TaskId, attempt: Attempt },
}

#[derive(Serialize)]
struct WireOrder {
    verb: &'static str,
    shard: String,
    #[serde(rename = "try")]
    attempt: Attempt,
    #[serde(skip_serializing_if = "Option::is_none")]
    drain_s: Option<f64>,
}

impl Order {
    fn to_wire(&self) -> WireOrder {
        let (verb, task, attempt, drain_s) = match self {
            Order::Start { task, attempt } => ("start", task, attempt, None),
            Order::Stop { task, attempt, grace_s } => ("stop", task, attempt, Some(*grace_s)),
            Order::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        WireOrder { verb, shard: task.to_string(), attempt: *attempt, drain_s }
    }
}

/// The answer to a report.
pub fn answer(fence: Fence, orders: &[Order]) -> String {
    #[derive(Serialize)]
    struct Answer {
        fence: Fence,
        orders: Vec<WireOrder>,
    }
    let orders = orders.iter().map(Order::to_wire).collect();
    serde_json::to_string(&Answer { fence, orders }).unwrap_or_default()
}

/// A direct command.
pub fn command(fence: Fence, session: Session, orders: &[Order]) -> String {
    #[derive(Serialize)]
    struct Command {
        fence: Fence,
        tenure: Session,
        orders: Vec<WireOrder>,
    }
    let orders = orders.iter().map(Order::to_wire).collect();
    serde_json::to_string(&Command { fence, tenure: session, orders }).unwrap_or_default()
}

/// What is left of a direct command without the starts of jobs that are over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Passed {
    AsItIs,
    Without(String),
    Nothing,
}

/// Takes out of a direct command the starts of jobs that `over` names.
pub fn without_starts(body: &str, over: impl Fn(&JobId) -> bool) -> Passed {
    if !body.contains("\"start\"") {
        return Passed::AsItIs;
    }
    let Ok(mut command) = serde_json::from_str::<serde_json::Value>(body) else { return Passed::AsItIs };
    let Some(orders) = command["orders"].as_array_mut() else { return Passed::AsItIs };
    let all = orders.len();
    orders.retain(|order| {
        let task = order["shard"].as_str().and_then(TaskId::parse);
        order["verb"] != "start" || !task.is_some_and(|task| over(&task.job))
    });
    match orders.len() {
        0 if all > 0 => Passed::Nothing,
        left if left < all => Passed::Without(command.to_string()),
        _ => Passed::AsItIs,
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
