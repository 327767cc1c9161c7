//! The durable record of a machine: its type and zone, its assignments and its cached images.

use crate::types::{Attempt, Image, MachineId, Resources, TaskId, TeamName, TypeName, WorkerEpoch, Zone};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Prefix of the keys of machine records in the key-value store.
pub const PREFIX: &str = "m/";
/// Most assignments of a machine: keeps its record within the smallest value limit expected of a store.
pub const MAX_ASSIGNMENTS: usize = 128;

/// Upper bound, in bytes, of a record without its assignments, its images and the names of its type and zone.
const BASE_BYTES: usize = 120;
/// Size assumed for an assignment that can't be serialised: too large for any record, yet sums don't
/// overflow.
const UNSERIALISABLE_BYTES: usize = usize::MAX / 1024;
/// Upper bound of a valid amount of resources in a stored record.
const MAX_AMOUNT: f64 = 1e12;

/// The key of a machine's record in the key-value store.
pub fn key(id: &MachineId) -> String {
    format!("{PREFIX}{id}")
}

/// An assignment as stored: a JSON array of task, attempt, team and resources, in this order. The resources
/// are stored so that quotas can be counted even for tasks whose job has finished.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedAssignment {
    /// The task.
    pub task: TaskId,
    /// Number of this start of the task.
    pub attempt: Attempt,
    /// The team whose quota the assignment counts against.
    pub team: TeamName,
    /// Resources that the task takes on the machine.
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

/// Bytes that an assignment takes in its machine's record: its [`RecordedAssignment`] and a comma.
pub fn assignment_bytes(task: &TaskId, attempt: Attempt, team: &TeamName, resources: &Resources) -> usize {
    serde_json::to_string(&(task, attempt, team, resources))
        .map_or(UNSERIALISABLE_BYTES, |text| text.len() + 1)
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
    /// Whether it is a spot instance, which the cloud may preempt.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The worker's address, if it has sent a heartbeat.
    #[serde(rename = "a", default)]
    pub addr: Option<String>,
    /// The worker epoch of the last heartbeat.
    #[serde(rename = "n", default)]
    pub worker_epoch: WorkerEpoch,
    /// The tasks that may be on the machine.
    #[serde(rename = "t", default)]
    pub assignments: Vec<RecordedAssignment>,
    /// Images on the machine, least recently used first. Without them a new leader would place tasks on
    /// machines that have to fetch the same images again.
    #[serde(rename = "i", default)]
    pub images: Vec<CachedImage>,
}

impl MachineRecord {
    /// Whether all amounts of resources are in the range that a leader stores.
    pub fn has_valid_amounts(&self) -> bool {
        let is_amount = |amount: f64| (0.0..=MAX_AMOUNT).contains(&amount);
        self.assignments.iter().map(|assignment| &assignment.resources).all(|resources| {
            is_amount(resources.cpus) && is_amount(resources.gpus) && is_amount(resources.memory_gb)
        })
    }

    /// The value to store, of at most `limit` bytes: images are dropped as needed, the least recently used
    /// first. `None` if the record is too long even without images. The value that is already stored is kept
    /// then until assignments are removed; it lists them all, since no task is placed whose assignment
    /// doesn't fit into the record.
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

    /// Whether the record of a machine of this type and zone, with assignments of `bytes` in total, fits into
    /// a value of `limit` bytes.
    pub fn can_hold(bytes: usize, type_name: &TypeName, zone: &Zone, limit: usize) -> bool {
        bytes + BASE_BYTES + type_name.as_str().len() + zone.as_str().len() <= limit
    }
}

#[cfg(test)]
mod tests;
