//! How often tasks succeeded on each machine, for placement to prefer machines that work.
//!
//! Every node learns the outcomes from the leader's broadcasts. The leader saves the counts in the key-value store,
//! in parts, and a new leader or node reads them from there.

use crate::types::{Kind, MachineId};
use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};

/// Keys that the saved counts are spread over, so that each value stays small and only what has
/// changed is written. Earlier versions used 16 and read any number.
pub const PARTS: u32 = 128;
/// Prefix of the saved counts in the key-value store.
pub const COUNTS_PREFIX: &str = "counts/";
/// Parts saved at a time; the rest follows the next time.
pub const PARTS_AT_ONCE: usize = 16;

/// Bytes of the braces around a part's JSON object.
const PART_OVERHEAD: usize = 2;
/// Bytes around a machine's id in a part: quotes, colon and comma.
const MACHINE_OVERHEAD: usize = 4;

/// What became of a task on a machine, as far as that tells something about the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementOutcome {
    /// The machine.
    pub machine: MachineId,
    /// The class of the task's job.
    pub kind: Kind,
    /// Whether the task ran as it should.
    pub success: bool,
}

/// The parameters of a Beta distribution: one more than the successes and the failures. Stored as an array.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f32, f32)", into = "(f32, f32)")]
pub struct BetaCounts {
    /// Successes and 1.
    pub alpha: f32,
    /// Failures and 1.
    pub beta: f32,
}

impl Default for BetaCounts {
    /// Nothing is known: every success rate is equally likely.
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

/// The counts of one machine. Stored as an array of both.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(from = "(BetaCounts, BTreeMap<Kind, BetaCounts>)")]
struct MachineCounts {
    /// Over all classes of jobs; used for a class that the machine has not run yet.
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
    /// Parts of the saved counts that have changed since they were saved.
    #[serde(skip)]
    changed: BTreeSet<u32>,
    /// Where the next save begins, so that each part has its turn.
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

/// A part being filled with machines.
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

/// The part that holds a machine. A stored format: all versions must agree on it.
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

    /// The counts to judge a machine by for tasks of `kind`.
    pub fn get(&self, machine: &MachineId, kind: &Kind) -> BetaCounts {
        let Some(machine) = self.machines.get(machine) else { return BetaCounts::default() };
        machine.by_kind.get(kind).copied().unwrap_or(machine.all_kinds)
    }

    /// Forgets machines that are gone, so that the counts don't outgrow the machines.
    pub fn retain(&mut self, present: impl Fn(&MachineId) -> bool) {
        let changed = &mut self.changed;
        self.machines.retain(|id, _| {
            let stays = present(id);
            if !stays {
                changed.insert(part_of(id));
            }
            stays
        });
    }

    /// The parts that have changed since they were last taken, at most `most`, each as a JSON
    /// value of at most `max_bytes`: machines that don't fit lose their counts.
    pub fn take_changed(&mut self, most: usize, max_bytes: usize) -> Vec<SavedPart> {
        let mut parts: BTreeMap<u32, PartBuilder> =
            self.next_parts(most).into_iter().map(|number| (number, PartBuilder::new())).collect();
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

    /// Takes up to `most` changed parts, starting where the last save ended.
    fn next_parts(&mut self, most: usize) -> Vec<u32> {
        let after = self.changed.range(self.next_part..);
        let before = self.changed.range(..self.next_part);
        let parts: Vec<u32> = after.chain(before).copied().take(most).collect();
        self.next_part = parts.last().map_or(0, |part| part + 1);
        for part in &parts {
            self.changed.remove(part);
        }
        parts
    }

    /// Takes in a saved part.
    ///
    /// # Errors
    /// If `value` can't be read; then nothing has changed.
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
