//! The machines that the leader knows, with totals that are updated as their assignments change.
//!
//! Scheduling reads the teams' totals far more often than assignments change, so the totals are stored rather
//! than summed up at each read: code that changes a machine's assignments must call [`Machines::recount`].

use crate::types::{Duration, MachineId, MonotonicTime, Resources, TaskId, TeamName, TypeName};
use crate::workers::Machine;
use std::collections::{BTreeMap, BTreeSet};

/// How long late heartbeats and cloud listings of a returned machine are ignored.
const TOMBSTONE_LIFETIME: Duration = Duration::from_millis(600_000);

/// All machines of the cluster, by id.
#[derive(Debug, Default)]
pub(super) struct Machines {
    by_id: BTreeMap<MachineId, Machine>,
    /// Resources that each team uses on all machines together.
    used: BTreeMap<TeamName, Resources>,
    /// Machines that report tasks without an assignment.
    with_unknown_tasks: BTreeSet<MachineId>,
    /// Machines whose stored record can't be read.
    unreadable: BTreeSet<MachineId>,
    /// When each machine was returned; kept for `TOMBSTONE_LIFETIME`.
    tombstones: BTreeMap<MachineId, MonotonicTime>,
}

impl Machines {
    /// The machine, if it is known.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.by_id.get(id)
    }

    /// Mutable access to the machine. Call [`Machines::recount`] after a change of its assignments.
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.by_id.get_mut(id)
    }

    /// Whether the machine is known.
    pub fn contains(&self, id: &MachineId) -> bool {
        self.by_id.contains_key(id)
    }

    /// All ids, in order.
    pub fn ids(&self) -> impl Iterator<Item = &MachineId> {
        self.by_id.keys()
    }

    /// All machines, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.by_id.values()
    }

    /// Mutable access to all machines, by id. Call [`Machines::recount`] after a change of assignments.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.by_id.values_mut()
    }

    /// How many machines are known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Adds a machine; replaces one with the same id.
    pub fn insert(&mut self, machine: Machine) {
        self.by_id.insert(machine.id.clone(), machine);
    }

    /// The machine with this id, added by `create` if it isn't known yet.
    pub fn get_or_insert_with(&mut self, id: &MachineId, create: impl FnOnce() -> Machine) -> &mut Machine {
        self.by_id.entry(id.clone()).or_insert_with(create)
    }

    /// Removes a machine that is proved gone, and its tasks' resources from the totals. The returned machine
    /// still has its assignments.
    pub fn remove(&mut self, id: &MachineId, now: MonotonicTime) -> Option<Machine> {
        let mut machine = self.by_id.remove(id)?;
        let assignments = std::mem::take(&mut machine.assignments);
        machine.recount(&mut self.used, now);
        machine.assignments = assignments;
        self.with_unknown_tasks.remove(id);
        Some(machine)
    }

    /// Updates the totals after a change of a machine's assignments.
    pub fn recount(&mut self, id: &MachineId, now: MonotonicTime) {
        let Some(machine) = self.by_id.get_mut(id) else { return };
        machine.recount(&mut self.used, now);
        if machine.unknown_tasks.is_empty() {
            self.with_unknown_tasks.remove(id);
        } else {
            self.with_unknown_tasks.insert(id.clone());
        }
    }

    /// Sets the total resources of each machine for whose type `size_of` returns them.
    pub fn resize(&mut self, size_of: impl Fn(&TypeName) -> Option<Resources>, now: MonotonicTime) {
        for machine in self.by_id.values_mut() {
            if let Some(total) = size_of(&machine.type_name) {
                machine.total = total;
                machine.recount(&mut self.used, now);
            }
        }
    }

    /// Resources that each team uses on all machines together.
    pub fn used_by_teams(&self) -> &BTreeMap<TeamName, Resources> {
        &self.used
    }

    /// Resources that `team` uses on all machines together.
    pub fn used_by(&self, team: &TeamName) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Whether some machine reports the task without having an assignment for it.
    pub fn any_reports_unknown(&self, task: &TaskId) -> bool {
        let machines = self.with_unknown_tasks.iter().filter_map(|id| self.by_id.get(id));
        machines.into_iter().any(|machine| machine.unknown_tasks.contains(task))
    }

    /// Marks the machine's stored record as unreadable: it is unknown what runs on the machine.
    pub fn mark_unreadable(&mut self, id: MachineId) {
        self.unreadable.insert(id);
    }

    /// Whether the machine's stored record can't be read.
    pub fn is_unreadable(&self, id: &MachineId) -> bool {
        self.unreadable.contains(id)
    }

    /// Whether some machine's stored record can't be read.
    pub fn any_unreadable(&self) -> bool {
        !self.unreadable.is_empty()
    }

    /// Marks the machine as returned: later heartbeats and listings of it are ignored.
    pub fn mark_returned(&mut self, id: &MachineId, now: MonotonicTime) {
        self.unreadable.remove(id);
        self.tombstones.insert(id.clone(), now);
    }

    /// Whether the machine was returned.
    pub fn was_returned(&self, id: &MachineId) -> bool {
        self.tombstones.contains_key(id)
    }

    /// Removes expired tombstones.
    pub fn expire_tombstones(&mut self, now: MonotonicTime) {
        self.tombstones.retain(|_, returned_at| now.since(*returned_at) < TOMBSTONE_LIFETIME);
    }
}
