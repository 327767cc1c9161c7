//! The ledger: which task may be on which machine.
//!
//! An entry is written durably before its start order leaves, and it leaves only by proof that
//! the task is gone. Quota, room and zone count every entry, also of lost and stopping tasks.

mod commit_pipeline;

pub use commit_pipeline::{CommitBatch, CommitPipeline, CommitPriority, CommittedKeys};

use crate::types::{
    Attempt, Image, MachineId, MonotonicTime, Resources, TaskId, TeamName, TypeName, WorkerEpoch, Zone,
};
use pearford_recovery::RecordedState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of machine records in the state service.
pub const PREFIX: &str = "m/";
/// Entries a machine may hold: keeps its record within the smallest value limit we expect.
pub const MAX_ASSIGNMENTS: usize = 128;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssignmentState {
    /// Not durable yet: no order may leave.
    Planned,
    /// Durable; the start may be sent.
    Ready,
    /// The start went out in the answer to the report with this session and serial.
    Sent {
        worker_epoch: WorkerEpoch,
        serial: u64,
    },
    /// The start is on its way straight to the worker, whose answer is awaited.
    Direct,
    /// Read from the record of an earlier leader: may or may not be there.
    Inherited,
    /// Reported as fetching or waiting for its gang.
    Preparing,
    Running,
    Saving,
    /// Reported as done; waits until that is recorded. No longer on the machine.
    Done,
}

impl AssignmentState {
    /// As the table of verdicts knows it.
    pub fn recorded_state(&self) -> RecordedState {
        match self {
            Self::Planned => RecordedState::Planned,
            Self::Ready => RecordedState::Ready,
            Self::Sent { .. } => RecordedState::Sent,
            Self::Direct => RecordedState::Direct,
            Self::Inherited => RecordedState::Inherited,
            Self::Preparing | Self::Running | Self::Saving => RecordedState::Listed,
            Self::Done => RecordedState::Done,
        }
    }

    /// Whether a start that has left had run, if it ever ran, when the worker made this report. One in doubt has the
    /// last serial of its session.
    pub fn is_before(&self, worker_epoch: WorkerEpoch, serial: u64) -> bool {
        matches!(self, Self::Sent { worker_epoch: s, serial: n } if (worker_epoch, serial) > (*s, *n))
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    pub grace_s: f64,
    pub since: MonotonicTime,
    /// Whether a direct command for it has left.
    pub sent: bool,
}

#[derive(Debug, Clone)]
pub struct Assignment {
    pub attempt: Attempt,
    pub team: TeamName,
    pub resources: Resources,
    pub state: AssignmentState,
    pub stop: Option<Stop>,
    /// When the task was last seen to begin to run.
    pub running_since: Option<MonotonicTime>,
    pub planned_at: MonotonicTime,
    /// Whether the task was seen to have its image.
    pub has_image: bool,
    /// A gang's task whose image is there already: it starts once the others have theirs, or it
    /// would give up waiting for them after `gang_wait_s`.
    pub after_fetches: bool,
    /// What it takes in its machine's record.
    pub bytes: usize,
}

impl Assignment {
    pub fn new(
        task: &TaskId,
        attempt: Attempt,
        team: TeamName,
        resources: Resources,
        state: AssignmentState,
        now: MonotonicTime,
    ) -> Self {
        let bytes = assignment_bytes(task, attempt, &team, &resources);
        Self {
            attempt,
            team,
            resources,
            state,
            stop: None,
            running_since: None,
            planned_at: now,
            has_image: false,
            after_fetches: false,
            bytes,
        }
    }

    /// Whether the task may be on the machine.
    pub fn occupies(&self) -> bool {
        self.state != AssignmentState::Done
    }
    pub fn is_running(&self) -> bool {
        matches!(self.state, AssignmentState::Running | AssignmentState::Saving)
    }
    /// Whether no order for it can have reached the worker.
    pub fn unsent(&self) -> bool {
        matches!(self.state, AssignmentState::Planned | AssignmentState::Ready)
    }
}

/// A machine's durable record. The entries carry what they take, so that quota can be counted
/// even for tasks whose job is over.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "f")]
    pub type_name: TypeName,
    #[serde(rename = "z")]
    pub zone: Zone,
    #[serde(rename = "s")]
    pub spot: bool,
    #[serde(rename = "a", default)]
    pub addr: Option<String>,
    #[serde(rename = "n", default)]
    pub worker_epoch: WorkerEpoch,
    #[serde(rename = "t", default)]
    pub assignments: Vec<(TaskId, Attempt, TeamName, Resources)>,
    /// Images there and their sizes: a new leader that didn't know them would have them fetched
    /// anew on other machines.
    #[serde(rename = "i", default)]
    pub images: Vec<(Image, f64)>,
}

/// A machine's record without entries, images and the names of its type and zone, at the most.
const FRAME_BYTES: usize = 120;

/// What a task's entry takes in its machine's record.
pub fn assignment_bytes(task: &TaskId, attempt: Attempt, team: &TeamName, resources: &Resources) -> usize {
    serde_json::to_string(&(task, attempt, team, resources)).map_or(usize::MAX / 1024, |t| t.len() + 1)
}

impl MachineRecord {
    /// Whether a leader can have stored it.
    pub fn is_possible(&self) -> bool {
        let amount = |v: f64| (0.0..=1e12).contains(&v);
        self.assignments.iter().all(|(_, _, _, resources)| {
            amount(resources.cpus) && amount(resources.gpus) && amount(resources.memory_gb)
        })
    }

    /// The record as it is stored, within `limit` bytes: images are given up first, those used longest
    /// ago before others. `None` if its entries alone take more: what is stored already then names
    /// them all, since nothing is placed beyond what can be stored, and stays until some have left.
    pub fn to_value(&self, limit: usize) -> Option<String> {
        let mut value = serde_json::to_string(self).ok()?;
        if value.len() <= limit {
            return Some(value);
        }
        let mut fitting = self.clone();
        while value.len() > limit {
            if fitting.images.is_empty() {
                return None;
            }
            fitting.images.remove(0);
            value = serde_json::to_string(&fitting).ok()?;
        }
        Some(value)
    }

    /// Whether the record of a machine of this type and zone can hold entries that take `bytes`.
    pub fn holds(bytes: usize, type_name: &TypeName, zone: &Zone, limit: usize) -> bool {
        bytes + FRAME_BYTES + type_name.as_str().len() + zone.as_str().len() <= limit
    }
}

pub fn key(id: &MachineId) -> String {
    format!("{PREFIX}{id}")
}

/// What a team's tasks take now.
pub fn used_by_team<'a>(assignments: impl Iterator<Item = &'a Assignment>) -> BTreeMap<TeamName, Resources> {
    let mut used: BTreeMap<TeamName, Resources> = BTreeMap::new();
    for e in assignments.filter(|e| e.occupies()) {
        match used.get_mut(&e.team) {
            Some(resources) => *resources = resources.plus(&e.resources),
            None => {
                used.insert(e.team.clone(), e.resources);
            }
        }
    }
    used
}

/// How many tasks of `resources` a team at `used` may still take.
pub fn fitting(team: &crate::settings::Team, used: &Resources, resources: &Resources) -> u32 {
    let of = |max: Option<f64>, used: f64, each: f64| match max {
        Some(max) if each > 0.0 => ((max - used + 1e-6) / each).max(0.0) as u32,
        _ => u32::MAX,
    };
    of(team.max_gpus, used.gpus, resources.gpus).min(of(team.max_cpus, used.cpus, resources.cpus))
}

/// Whether a team at `used` may take `more`.
pub fn within_limit(team: &crate::settings::Team, used: &Resources, more: &Resources) -> bool {
    let ok = |max: Option<f64>, used: f64, more: f64| max.is_none_or(|m| used + more <= m + 1e-6);
    ok(team.max_gpus, used.gpus, more.gpus) && ok(team.max_cpus, used.cpus, more.cpus)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
