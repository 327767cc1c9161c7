//! The ledger: which task may be on which machine.
//!
//! An entry is written durably before its start order leaves, and it leaves only by proof that
//! the task is gone. Quota, room and zone count every entry, also of lost and stopping tasks.

mod journal;

pub use journal::{Batch, Haste, Journal, Settled};

use crate::types::{Attempt, Image, MachineId, Room, Session, TaskId, TeamName, Time, TypeName, Zone};
use pearford_recovery::Stored;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of machine records in the state service.
pub const PREFIX: &str = "m/";
/// Entries a machine may hold: keeps its record within the smallest value limit we expect.
pub const MAX_ENTRIES: usize = 128;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EntryState {
    /// Not durable yet: no order may leave.
    Planned,
    /// Durable; the start may be sent.
    Ready,
    /// The start went out in the answer to the report with this session and serial.
    Sent {
        session: Session,
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

impl EntryState {
    /// As the table of verdicts knows it.
    pub fn stored(&self) -> Stored {
        match self {
            Self::Planned => Stored::Planned,
            Self::Ready => Stored::Ready,
            Self::Sent { .. } => Stored::Sent,
            Self::Direct => Stored::Direct,
            Self::Inherited => Stored::Inherited,
            Self::Preparing | Self::Running | Self::Saving => Stored::Listed,
            Self::Done => Stored::Done,
        }
    }

    /// Whether a start that has left had run, if it ever ran, when the worker made this report. One in doubt has the
    /// last serial of its session.
    pub fn is_before(&self, session: Session, serial: u64) -> bool {
        matches!(self, Self::Sent { session: s, serial: n } if (session, serial) > (*s, *n))
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    pub grace_s: f64,
    pub since: Time,
    /// Whether a direct command for it has left.
    pub told: bool,
}

#[derive(Debug, Clone)]
pub struct Entry {
    pub attempt: Attempt,
    pub team: TeamName,
    pub room: Room,
    pub state: EntryState,
    pub stop: Option<Stop>,
    /// When the task was last seen to begin to run.
    pub running_since: Option<Time>,
    pub planned_at: Time,
    /// Whether the task was seen to have its image.
    pub has_image: bool,
    /// A gang's task whose image is there already: it starts once the others have theirs, or it
    /// would give up waiting for them after `gang_wait_s`.
    pub after_fetches: bool,
    /// What it takes in its machine's record.
    pub bytes: usize,
}

impl Entry {
    pub fn new(
        task: &TaskId,
        attempt: Attempt,
        team: TeamName,
        room: Room,
        state: EntryState,
        now: Time,
    ) -> Self {
        let bytes = entry_bytes(task, attempt, &team, &room);
        Self {
            attempt,
            team,
            room,
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
    pub fn counts(&self) -> bool {
        self.state != EntryState::Done
    }
    pub fn is_running(&self) -> bool {
        matches!(self.state, EntryState::Running | EntryState::Saving)
    }
    /// Whether no order for it can have reached the worker.
    pub fn unsent(&self) -> bool {
        matches!(self.state, EntryState::Planned | EntryState::Ready)
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
    pub session: Session,
    #[serde(rename = "t", default)]
    pub entries: Vec<(TaskId, Attempt, TeamName, Room)>,
    /// Images there and their sizes: a new leader that didn't know them would have them fetched
    /// anew on other machines.
    #[serde(rename = "i", default)]
    pub images: Vec<(Image, f64)>,
}

/// A machine's record without entries, images and the names of its type and zone, at the most.
const FRAME_BYTES: usize = 120;

/// What a task's entry takes in its machine's record.
pub fn entry_bytes(task: &TaskId, attempt: Attempt, team: &TeamName, room: &Room) -> usize {
    serde_json::to_string(&(task, attempt, team, room)).map_or(usize::MAX / 1024, |t| t.len() + 1)
}

impl MachineRecord {
    /// Whether a leader can have stored it.
    pub fn is_possible(&self) -> bool {
        let amount = |v: f64| (0.0..=1e12).contains(&v);
        self.entries
            .iter()
            .all(|(_, _, _, room)| amount(room.cpus) && amount(room.gpus) && amount(room.memory_gb))
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
pub fn used_by_team<'a>(entries: impl Iterator<Item = &'a Entry>) -> BTreeMap<TeamName, Room> {
    let mut used: BTreeMap<TeamName, Room> = BTreeMap::new();
    for e in entries.filter(|e| e.counts()) {
        match used.get_mut(&e.team) {
            Some(room) => *room = room.plus(&e.room),
            None => {
                used.insert(e.team.clone(), e.room);
            }
        }
    }
    used
}

/// How many tasks of `room` a team at `used` may still take.
pub fn fitting(team: &crate::settings::Team, used: &Room, room: &Room) -> u32 {
    let of = |max: Option<f64>, used: f64, each: f64| match max {
        Some(max) if each > 0.0 => ((max - used + 1e-6) / each).max(0.0) as u32,
        _ => u32::MAX,
    };
    of(team.max_gpus, used.gpus, room.gpus).min(of(team.max_cpus, used.cpus, room.cpus))
}

/// Whether a team at `used` may take `more`.
pub fn within_limit(team: &crate::settings::Team, used: &Room, more: &Room) -> bool {
    let ok = |max: Option<f64>, used: f64, more: f64| max.is_none_or(|m| used + more <= m + 1e-6);
    ok(team.max_gpus, used.gpus, more.gpus) && ok(team.max_cpus, used.cpus, more.cpus)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
