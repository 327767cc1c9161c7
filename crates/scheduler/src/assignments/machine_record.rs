//! The durable record of a machine: its identity, its assignments and the images it has.

use crate::types::{Attempt, Image, MachineId, Resources, TaskId, TeamName, TypeName, WorkerEpoch, Zone};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Prefix of machine records' keys in the key-value store.
pub const PREFIX: &str = "m/";
/// Assignments that a machine may hold: keeps its record within the smallest value limit we expect.
pub const MAX_ASSIGNMENTS: usize = 128;

/// Upper bound, in bytes, of a record without assignments, images and the names of its type and zone.
const FRAME_BYTES: usize = 120;
/// Size assumed of an assignment that can't be serialised: no record holds it, and sums of it don't overflow.
const UNWRITABLE_BYTES: usize = usize::MAX / 1024;
/// Upper bound of an amount of resources that a leader stores.
const MAX_AMOUNT: f64 = 1e12;

/// The key of a machine's record in the key-value store.
pub fn key(id: &MachineId) -> String {
    format!("{PREFIX}{id}")
}

/// An assignment as stored: a JSON array of task, attempt, team and resources, in this order. It carries what
/// the task takes, so that quotas can be counted even for tasks whose job has finished.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedAssignment {
    /// The task.
    pub task: TaskId,
    /// The start of the task that this is.
    pub attempt: Attempt,
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// What the task takes of the machine.
    pub resources: Resources,
}

impl Serialize for RecordedAssignment {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.task, self.attempt, &self.team, &self.resources).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RecordedAssignment {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (task, attempt, team, resources) = Deserialize::deserialize(deserializer)?;
        Ok(Self { task, attempt, team, resources })
    }
}

/// An image on a machine, stored as a JSON array of its name and its size.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedImage {
    /// The image.
    pub image: Image,
    /// Its size in gigabytes.
    pub size_gb: f64,
}

impl Serialize for CachedImage {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.image, self.size_gb).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for CachedImage {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (image, size_gb) = Deserialize::deserialize(deserializer)?;
        Ok(Self { image, size_gb })
    }
}

/// Bytes that an assignment takes in its machine's record, as a [`RecordedAssignment`] and a comma.
pub fn assignment_bytes(task: &TaskId, attempt: Attempt, team: &TeamName, resources: &Resources) -> usize {
    serde_json::to_string(&(task, attempt, team, resources)).map_or(UNWRITABLE_BYTES, |text| text.len() + 1)
}

/// A machine's durable record, stored as JSON under [`key`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The machine's type.
    #[serde(rename = "f")]
    pub type_name: TypeName,
    /// The zone that the machine is in.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Whether it is a spot instance, which the cloud may take back.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The worker's address, if it has sent a heartbeat.
    #[serde(rename = "a", default)]
    pub addr: Option<String>,
    /// The worker's run at its last heartbeat.
    #[serde(rename = "n", default)]
    pub worker_epoch: WorkerEpoch,
    /// The tasks that may be on the machine.
    #[serde(rename = "t", default)]
    pub assignments: Vec<RecordedAssignment>,
    /// Images on the machine, those used longest ago first: a new leader that didn't know them would have them
    /// fetched again on other machines.
    #[serde(rename = "i", default)]
    pub images: Vec<CachedImage>,
}

impl MachineRecord {
    /// Whether a leader can have stored it: all amounts are in the range of real ones.
    pub fn has_valid_amounts(&self) -> bool {
        let is_amount = |amount: f64| (0.0..=MAX_AMOUNT).contains(&amount);
        self.assignments.iter().map(|assignment| &assignment.resources).all(|resources| {
            is_amount(resources.cpus) && is_amount(resources.gpus) && is_amount(resources.memory_gb)
        })
    }

    /// The record as it is stored, within `limit` bytes: images are left out first, beginning with those used
    /// longest ago. `None` if the assignments alone take more. The value already stored then names them all,
    /// since nothing is placed beyond what can be stored, and it stays until some have left.
    pub fn to_value(&self, limit: usize) -> Option<String> {
        let mut value = serde_json::to_string(self).ok()?;
        if value.len() <= limit {
            return Some(value);
        }
        let mut shortened = self.clone();
        while value.len() > limit {
            if shortened.images.is_empty() {
                return None;
            }
            shortened.images.remove(0);
            value = serde_json::to_string(&shortened).ok()?;
        }
        Some(value)
    }

    /// Whether the record of a machine of this type and zone can hold assignments of `bytes` within a value of
    /// `limit` bytes.
    pub fn can_hold(bytes: usize, type_name: &TypeName, zone: &Zone, limit: usize) -> bool {
        bytes + FRAME_BYTES + type_name.as_str().len() + zone.as_str().len() <= limit
    }
}

#[cfg(test)]
mod tests;
