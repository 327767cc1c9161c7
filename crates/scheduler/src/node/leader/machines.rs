//! The machines that the leader knows, with totals that are kept as their assignments change.
//!
//! Scheduling asks for teams' totals far more often than assignments change, so the totals are kept
//! rather than summed up: whoever changes a machine's assignments calls [`Machines::recount`].

use crate::types::{Duration, MachineId, MonotonicTime, Resources, TaskId, TeamName, TypeName};
use crate::workers::Machine;
use std::collections::{BTreeMap, BTreeSet};

/// A returned machine's late heartbeats and listings are ignored for this long.
const TOMBSTONE_LIFE: Duration = Duration::from_millis(600_000);

/// All machines of the cluster, by id.
#[derive(Debug, Default)]
pub(super) struct Machines {
    by_id: BTreeMap<MachineId, Machine>,
    /// Resources that each team takes on all machines together.
    used: BTreeMap<TeamName, Resources>,
    /// Machines that report tasks without an assignment.
    with_unknown_tasks: BTreeSet<MachineId>,
    /// Machines whose stored record can't be read.
    unreadable: BTreeSet<MachineId>,
    /// When each machine was returned, for as long as that matters.
    tombstones: BTreeMap<MachineId, MonotonicTime>,
}

impl Machines {
    /// The machine, if it is known.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.by_id.get(id)
    }

    /// The machine to change; after a change of its assignments call [`Machines::recount`].
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

    /// All machines to change, by id; after a change of assignments call [`Machines::recount`].
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.by_id.values_mut()
    }

    /// How many machines are known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Adds a machine, in place of one with the same id.
    pub fn insert(&mut self, machine: Machine) {
        self.by_id.insert(machine.id.clone(), machine);
    }

    /// The machine with this id, added by `create` if it isn't known yet.
    pub fn get_or_insert_with(&mut self, id: &MachineId, create: impl FnOnce() -> Machine) -> &mut Machine {
        self.by_id.entry(id.clone()).or_insert_with(create)
    }

    /// Removes a machine that is proved gone, without the resources that its tasks took.
    pub fn remove(&mut self, id: &MachineId, now: MonotonicTime) -> Option<Machine> {
        let mut machine = self.by_id.remove(id)?;
        let assignments = std::mem::take(&mut machine.assignments);
        machine.recount(&mut self.used, now);
        machine.assignments = assignments;
        self.with_unknown_tasks.remove(id);
        Some(machine)
    }

    /// Brings the totals in line after a change of a machine's assignments.
    pub fn recount(&mut self, id: &MachineId, now: MonotonicTime) {
        let Some(machine) = self.by_id.get_mut(id) else { return };
        machine.recount(&mut self.used, now);
        if machine.unknown_tasks.is_empty() {
            self.with_unknown_tasks.remove(id);
        } else {
            self.with_unknown_tasks.insert(id.clone());
        }
    }

    /// Sets the size of each machine whose type `size_of` knows.
    pub fn resize(&mut self, size_of: impl Fn(&TypeName) -> Option<Resources>, now: MonotonicTime) {
        for machine in self.by_id.values_mut() {
            if let Some(total) = size_of(&machine.type_name) {
                machine.total = total;
                machine.recount(&mut self.used, now);
            }
        }
    }

    /// Resources that each team takes on all machines together.
    pub fn used_by_teams(&self) -> &BTreeMap<TeamName, Resources> {
        &self.used
    }

    /// Resources that `team` takes on all machines together.
    pub fn used_by(&self, team: &TeamName) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Whether some machine reports the task without having an assignment for it.
    pub fn any_reports_unknown(&self, task: &TaskId) -> bool {
        let machines = self.with_unknown_tasks.iter().filter_map(|id| self.by_id.get(id));
        machines.into_iter().any(|machine| machine.unknown_tasks.contains(task))
    }

    /// Notes that the machine's stored record can't be read, so what runs there is not known.
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

    /// Notes that the machine is returned: nothing about it counts from now on.
    pub fn mark_returned(&mut self, id: &MachineId, now: MonotonicTime) {
        self.unreadable.remove(id);
        self.tombstones.insert(id.clone(), now);
    }

    /// Whether the machine was returned.
    pub fn was_returned(&self, id: &MachineId) -> bool {
        self.tombstones.contains_key(id)
    }

    /// Forgets machines that were returned long ago.
    pub fn expire_tombstones(&mut self, now: MonotonicTime) {
        self.tombstones.retain(|_, returned_at| now.since(*returned_at) < TOMBSTONE_LIFE);
    }
}
