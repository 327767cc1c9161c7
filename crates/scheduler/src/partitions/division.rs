//! The leader's division of the machines into partitions, one for each live controller. Used by the leader's
//! scheduling rounds.
//!
//! Partitions are disjoint: two controllers never propose placements on the same machine in a round.

use crate::types::{Duration, MachineId, MonotonicTime, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// Scale of [`load`], which is an integer so that ties are exact.
const LOAD_SCALE: u64 = 1000;

/// The machines that are leased to one controller.
#[derive(Debug, Clone)]
pub struct Partition {
    /// Tells this lease from others; messages about a round name it.
    pub id: u64,
    /// The machines inside which the controller proposes placements.
    pub machines: BTreeSet<MachineId>,
    /// When the lease ends.
    pub until: MonotonicTime,
}

/// The leader's division of the machines. A machine is in one partition at most.
#[derive(Debug, Default)]
pub struct Partitions {
    partitions: BTreeMap<NodeName, Partition>,
    /// The controller in whose partition each machine is; rounds look it up machine by machine.
    owners: BTreeMap<MachineId, NodeName>,
    last_id: u64,
}

impl Partitions {
    /// The partition of a controller.
    pub fn get(&self, node: &NodeName) -> Option<&Partition> {
        self.partitions.get(node)
    }

    /// The controller in whose partition a machine is.
    pub fn owner(&self, machine: &MachineId) -> Option<&NodeName> {
        self.owners.get(machine)
    }

    /// Whether the machines have to be divided again: a lease has ended, or the set of live controllers changed.
    pub fn needs_division(&self, live: &BTreeSet<NodeName>, now: MonotonicTime) -> bool {
        self.partitions.len() != live.len()
            || self.partitions.iter().any(|(node, partition)| !live.contains(node) || now >= partition.until)
    }

    /// Divides `machines` again among the controllers in `waiting_tasks`, in proportion to the number of tasks that
    /// wait at each, and leases the partitions for `lease`. Machines stay where they are as far as the shares
    /// allow, so that a controller's rounds meet machines that it knows.
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

    /// Up to `share` of the machines that `node` had, of those in `available`.
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

    /// Removes a machine from the partition that it is in, if any.
    pub fn remove(&mut self, machine: &MachineId) {
        if let Some(owner) = self.owners.remove(machine)
            && let Some(partition) = self.partitions.get_mut(&owner)
        {
            partition.machines.remove(machine);
        }
    }

    /// Moves machines to the partition of `node`: for work that fits no partition, such as a gang larger than any
    /// of them.
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

/// A controller's weight in the division: never 0, so that each gets machines.
fn weight(waiting_tasks: u32) -> u32 {
    waiting_tasks + 1
}

/// The number of machines, rounded up, that corresponds to `weight` out of `total_weight`.
fn share_of(machines: usize, weight: u32, total_weight: u32) -> usize {
    (machines as f64 * f64::from(weight) / f64::from(total_weight.max(1))).ceil() as usize
}

/// Machines in a partition relative to the controller's weight.
fn load(partition: &Partition, weight: u32) -> u64 {
    (partition.machines.len() as u64 * LOAD_SCALE) / u64::from(weight)
}

/// Adds each machine to the partition with the lowest load at that moment.
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
