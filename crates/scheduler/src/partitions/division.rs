//! The leader's division of the machines into partitions, one for each live controller. Used by the leader's
//! scheduling rounds.
//!
//! Partitions are disjoint, so that two controllers never propose placements on the same machine in a round.

use crate::types::{Duration, MachineId, MonotonicTime, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// Scale of [`load`], which is an integer so that equal loads compare as equal.
const LOAD_SCALE: u64 = 1000;

/// The machines that are leased to one controller.
#[derive(Debug, Clone)]
pub struct Partition {
    /// Identifies this lease in the messages of a round.
    pub id: u64,
    /// The machines on which the controller proposes placements.
    pub machines: BTreeSet<MachineId>,
    /// When the lease ends.
    pub until: MonotonicTime,
}

/// The leader's division of the machines. A machine is in one partition at most.
#[derive(Debug, Default)]
pub struct Partitions {
    partitions: BTreeMap<NodeName, Partition>,
    /// The controller whose partition contains each machine: an index for the lookups of scheduling rounds.
    owners: BTreeMap<MachineId, NodeName>,
    last_id: u64,
}

impl Partitions {
    /// The partition of a controller.
    pub fn get(&self, node: &NodeName) -> Option<&Partition> {
        self.partitions.get(node)
    }

    /// The controller whose partition contains a machine.
    pub fn owner(&self, machine: &MachineId) -> Option<&NodeName> {
        self.owners.get(machine)
    }

    /// Whether the machines have to be divided again: a lease has expired, or the set of live controllers
    /// changed.
    pub fn needs_division(&self, live: &BTreeSet<NodeName>, now: MonotonicTime) -> bool {
        self.partitions.len() != live.len()
            || self.partitions.iter().any(|(node, partition)| !live.contains(node) || now >= partition.until)
    }

    /// Divides `machines` again among the controllers in `waiting_tasks`, in proportion to the number of
    /// waiting tasks of each, and leases the partitions for `lease`. As far as the shares allow, machines
    /// stay in their partition, so that a controller's successive rounds cover the same machines.
    pub fn divide(
        &mut self,
        machines: &BTreeSet<MachineId>,
        waiting_tasks: &BTreeMap<NodeName, u32>,
        lease: Duration,
        now: MonotonicTime,
    ) {
        let total_weight: u32 = waiting_tasks.values().map(|waiting| weight(*waiting)).sum();
        let mut unassigned = machines.clone();
        let mut partitions: BTreeMap<NodeName, Partition> = BTreeMap::new();
        for (node, waiting) in waiting_tasks {
            let share = share_of(machines.len(), weight(*waiting), total_weight);
            let kept = self.machines_kept(node, &unassigned, share);
            unassigned.retain(|machine| !kept.contains(machine));
            self.last_id += 1;
            let partition = Partition { id: self.last_id, machines: kept, until: now + lease };
            partitions.insert(node.clone(), partition);
        }
        distribute(unassigned, waiting_tasks, &mut partitions);
        self.owners = owners_of(&partitions);
        self.partitions = partitions;
    }

    /// Up to `share` machines of the present partition of `node` that are in `available`.
    fn machines_kept(
        &self,
        node: &NodeName,
        available: &BTreeSet<MachineId>,
        share: usize,
    ) -> BTreeSet<MachineId> {
        let Some(partition) = self.partitions.get(node) else { return BTreeSet::new() };
        partition.machines.intersection(available).take(share).cloned().collect()
    }

    /// Adds a machine that is in no partition to the smallest one.
    pub fn add(&mut self, machine: &MachineId) {
        if self.owners.contains_key(machine) {
            return;
        }
        let smallest = self.partitions.iter_mut().min_by_key(|(_, partition)| partition.machines.len());
        if let Some((node, partition)) = smallest {
            partition.machines.insert(machine.clone());
            self.owners.insert(machine.clone(), node.clone());
        }
    }

    /// Removes a machine from its partition, if any.
    pub fn remove(&mut self, machine: &MachineId) {
        if let Some(owner) = self.owners.remove(machine)
            && let Some(partition) = self.partitions.get_mut(&owner)
        {
            partition.machines.remove(machine);
        }
    }

    /// Moves machines to the partition of `node`, for a job that fits into no partition, such as a gang that
    /// is larger than each of them.
    pub fn transfer(&mut self, node: &NodeName, machines: impl IntoIterator<Item = MachineId>) {
        for machine in machines {
            self.remove(&machine);
            if let Some(partition) = self.partitions.get_mut(node) {
                partition.machines.insert(machine.clone());
                self.owners.insert(machine, node.clone());
            }
        }
    }
}

/// A controller's weight in the division. It is at least 1, so that every controller gets machines.
fn weight(waiting_tasks: u32) -> u32 {
    waiting_tasks + 1
}

/// The number of machines, rounded up, for `weight` out of `total_weight`.
fn share_of(machines: usize, weight: u32, total_weight: u32) -> usize {
    (machines as f64 * f64::from(weight) / f64::from(total_weight.max(1))).ceil() as usize
}

/// Number of machines in a partition relative to the controller's weight.
fn load(partition: &Partition, weight: u32) -> u64 {
    (partition.machines.len() as u64 * LOAD_SCALE) / u64::from(weight)
}

/// Adds each machine to the partition that has the lowest load at that point.
fn distribute(
    machines: BTreeSet<MachineId>,
    waiting_tasks: &BTreeMap<NodeName, u32>,
    partitions: &mut BTreeMap<NodeName, Partition>,
) {
    for machine in machines {
        let least_loaded = partitions.iter_mut().min_by_key(|(node, partition)| {
            let waiting = waiting_tasks.get(*node).copied().unwrap_or(0);
            load(partition, weight(waiting))
        });
        let Some((_, partition)) = least_loaded else { break };
        partition.machines.insert(machine);
    }
}

fn owners_of(partitions: &BTreeMap<NodeName, Partition>) -> BTreeMap<MachineId, NodeName> {
    partitions
        .iter()
        .flat_map(|(node, partition)| {
            partition.machines.iter().map(|machine| (machine.clone(), node.clone()))
        })
        .collect()
}

#[cfg(test)]
mod tests;
