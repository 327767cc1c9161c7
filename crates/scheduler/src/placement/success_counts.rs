//! Counts of succeeded and failed tasks on each machine, so that placement prefers reliable machines.
//!
//! Every node receives the outcomes in the leader's broadcasts. The leader saves the counts in the key-value
//! store, in parts, and a new leader or node reads them from there.

use crate::types::{Kind, MachineId};
use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};

/// Number of keys that the saved counts are spread over, so that each value stays small and only changed
/// parts are written. Earlier versions wrote 16 parts and read any number of them.
pub const PARTS: u32 = 128;
/// Prefix of the saved counts in the key-value store.
pub const COUNTS_PREFIX: &str = "counts/";
/// Maximum number of parts written by one save; the next saves write the rest.
pub const PARTS_AT_ONCE: usize = 16;

/// Bytes of the braces around a part's JSON object.
const PART_OVERHEAD: usize = 2;
/// Bytes around a machine's id in a part: quotes, colon and comma.
const MACHINE_OVERHEAD: usize = 4;

/// The outcome of a task on a machine, where it indicates how reliable the machine is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementOutcome {
    /// The machine.
    pub machine: MachineId,
    /// The class of the task's job.
    pub kind: Kind,
    /// Whether the task succeeded.
    pub success: bool,
}

/// The parameters of a Beta distribution: successes + 1 and failures + 1. Stored as an array.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f32, f32)", into = "(f32, f32)")]
pub struct BetaCounts {
    /// Successes + 1.
    pub alpha: f32,
    /// Failures + 1.
    pub beta: f32,
}

impl Default for BetaCounts {
    /// The parameters without any outcome: every success rate is equally likely.
    fn default() -> Self {
        Self { alpha: 1.0, beta: 1.0 }
    }
}

impl BetaCounts {
    fn add(&mut self, success: bool) {
        if success {
            self.alpha += 1.0;
        } else {
            self.beta += 1.0;
        }
    }
}

impl From<(f32, f32)> for BetaCounts {
    fn from((alpha, beta): (f32, f32)) -> Self {
        Self { alpha, beta }
    }
}

impl From<BetaCounts> for (f32, f32) {
    fn from(counts: BetaCounts) -> Self {
        (counts.alpha, counts.beta)
    }
}

/// The counts of one machine. Stored as an array of both fields.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(from = "(BetaCounts, BTreeMap<Kind, BetaCounts>)")]
struct MachineCounts {
    /// Counts over all classes of jobs; used for a class without outcomes on the machine.
    all_kinds: BetaCounts,
    by_kind: BTreeMap<Kind, BetaCounts>,
}

impl From<(BetaCounts, BTreeMap<Kind, BetaCounts>)> for MachineCounts {
    fn from((all_kinds, by_kind): (BetaCounts, BTreeMap<Kind, BetaCounts>)) -> Self {
        Self { all_kinds, by_kind }
    }
}

impl Serialize for MachineCounts {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.all_kinds, &self.by_kind).serialize(serializer)
    }
}

/// Successes and failures for each machine and class of jobs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SuccessCounts {
    machines: BTreeMap<MachineId, MachineCounts>,
    /// Parts that have changed since they were last saved.
    #[serde(skip)]
    changed: BTreeSet<u32>,
    /// The part that the next save begins with, so that every changed part is saved eventually.
    #[serde(skip)]
    next_part: u32,
}

/// A part of the counts, to be saved.
#[derive(Debug, Clone, PartialEq)]
pub struct SavedPart {
    /// Number of the part, below [`PARTS`].
    pub number: u32,
    /// Its value in JSON.
    pub value: String,
}

/// A part that is being filled with the counts of machines.
struct PartBuilder<'a> {
    bytes: usize,
    machines: BTreeMap<&'a MachineId, &'a MachineCounts>,
}

impl<'a> PartBuilder<'a> {
    fn new() -> Self {
        Self { bytes: PART_OVERHEAD, machines: BTreeMap::new() }
    }

    fn add_if_it_fits(&mut self, id: &'a MachineId, counts: &'a MachineCounts, max_bytes: usize) {
        let value_size = serde_json::to_string(counts).map_or(0, |text| text.len());
        let size = value_size + id.as_str().len() + MACHINE_OVERHEAD;
        if self.bytes + size <= max_bytes {
            self.bytes += size;
            self.machines.insert(id, counts);
        }
    }
}

/// The part that holds a machine's counts. This is part of the stored format: all versions must agree on it.
fn part_of(machine: &MachineId) -> u32 {
    let hash = |hash: u32, byte: u8| hash.wrapping_mul(31).wrapping_add(u32::from(byte));
    machine.as_str().bytes().fold(0, hash) % PARTS
}

impl SuccessCounts {
    /// Counts an outcome.
    pub fn record(&mut self, outcome: &PlacementOutcome) {
        self.changed.insert(part_of(&outcome.machine));
        let machine = self.machines.entry(outcome.machine.clone()).or_default();
        machine.all_kinds.add(outcome.success);
        machine.by_kind.entry(outcome.kind.clone()).or_default().add(outcome.success);
    }

    /// The counts that apply to tasks of class `kind` on the machine.
    pub fn get(&self, machine: &MachineId, kind: &Kind) -> BetaCounts {
        let Some(machine) = self.machines.get(machine) else { return BetaCounts::default() };
        machine.by_kind.get(kind).copied().unwrap_or(machine.all_kinds)
    }

    /// Removes the counts of machines that are not `present`, so that the counts don't grow without bound.
    pub fn retain(&mut self, present: impl Fn(&MachineId) -> bool) {
        let changed = &mut self.changed;
        self.machines.retain(|id, _| {
            let is_present = present(id);
            if !is_present {
                changed.insert(part_of(id));
            }
            is_present
        });
    }

    /// Returns up to `max_parts` parts that have changed since they were last taken, each as a JSON value of
    /// at most `max_bytes`. The counts of machines that don't fit are left out.
    pub fn take_changed(&mut self, max_parts: usize, max_bytes: usize) -> Vec<SavedPart> {
        let mut parts: BTreeMap<u32, PartBuilder> =
            self.next_parts(max_parts).into_iter().map(|number| (number, PartBuilder::new())).collect();
        for (id, counts) in &self.machines {
            if let Some(part) = parts.get_mut(&part_of(id)) {
                part.add_if_it_fits(id, counts, max_bytes);
            }
        }
        let saved = parts.into_iter().map(|(number, part)| SavedPart {
            number,
            value: serde_json::to_string(&part.machines).unwrap_or_default(),
        });
        saved.collect()
    }

    /// Takes up to `max_parts` changed parts, starting after the last part of the previous save.
    fn next_parts(&mut self, max_parts: usize) -> Vec<u32> {
        let after = self.changed.range(self.next_part..);
        let before = self.changed.range(..self.next_part);
        let parts: Vec<u32> = after.chain(before).copied().take(max_parts).collect();
        self.next_part = parts.last().map_or(0, |part| part + 1);
        for part in &parts {
            self.changed.remove(part);
        }
        parts
    }

    /// Adds a saved part. Its counts replace known counts of the same machines.
    ///
    /// # Errors
    /// If `value` can't be read; nothing is added then.
    pub fn add_part(&mut self, value: &str) -> Result<(), serde_json::Error> {
        let machines: BTreeMap<MachineId, MachineCounts> = serde_json::from_str(value)?;
        self.machines.extend(machines);
        Ok(())
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
