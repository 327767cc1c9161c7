//! Resources that a machine's assignments use and leave free. The sums are stored, since scheduling passes
//! read them far more often than assignments change.

use super::machine::Machine;
use crate::assignments::MachineRecord;
use crate::types::{MonotonicTime, Resources, TeamName};
use std::collections::BTreeMap;

/// Resources that a team's assignments use on one machine.
#[derive(Debug)]
struct TeamUsage {
    team: TeamName,
    used: Resources,
}

/// Sums over a machine's assignments.
#[derive(Debug)]
pub(super) struct CapacitySums {
    /// Resources that the assignments leave free.
    free: Resources,
    /// Whether no assignment uses resources and the machine has no unknown tasks.
    is_idle: bool,
    /// Resources that each team uses, in the order of the teams' first assignments.
    by_team: Vec<TeamUsage>,
    /// Size of the assignments in the machine's record.
    record_bytes: usize,
}

impl CapacitySums {
    /// The sums of a machine without assignments.
    pub(super) fn of_empty_machine(total: Resources) -> Self {
        Self { free: total, is_idle: true, by_team: Vec::new(), record_bytes: 0 }
    }
}

impl Machine {
    /// Resources that the assignments leave free.
    pub fn free(&self) -> Resources {
        self.capacity_sums.free
    }

    /// Whether no assignment uses resources and there are no unknown tasks.
    pub fn is_empty(&self) -> bool {
        self.capacity_sums.is_idle
    }

    /// Whether its record has room for a further assignment of `bytes` within `limit` bytes.
    pub fn record_holds(&self, bytes: usize, limit: usize) -> bool {
        let record_bytes = self.capacity_sums.record_bytes + bytes;
        MachineRecord::can_hold(record_bytes, &self.type_name, &self.zone, limit)
    }

    /// Recomputes the sums from the assignments, and updates `used`, the resources that each team uses on all
    /// machines. Must be called after every change of the assignments or unknown tasks.
    pub fn recount(&mut self, used: &mut BTreeMap<TeamName, Resources>, now: MonotonicTime) {
        self.subtract_from(used);
        self.sum_up_assignments();
        self.add_to(used);
        self.capacity_sums.is_idle = self.capacity_sums.by_team.is_empty() && self.unknown_tasks.is_empty();
        if !self.capacity_sums.is_idle {
            self.empty_since = None;
        } else if self.empty_since.is_none() {
            self.empty_since = Some(now);
        }
    }

    fn subtract_from(&mut self, used: &mut BTreeMap<TeamName, Resources>) {
        for usage in std::mem::take(&mut self.capacity_sums.by_team) {
            if let Some(sum) = used.get_mut(&usage.team) {
                *sum = sum.minus(&usage.used);
            }
        }
    }

    fn sum_up_assignments(&mut self) {
        let sums = &mut self.capacity_sums;
        sums.free = self.total;
        sums.record_bytes = self.assignments.values().map(|assignment| assignment.bytes).sum();
        for assignment in self.assignments.values().filter(|assignment| assignment.occupies()) {
            let resources = assignment.resources;
            sums.free = sums.free.minus(&resources);
            match sums.by_team.iter_mut().find(|usage| usage.team == assignment.team) {
                Some(usage) => usage.used = usage.used.plus(&resources),
                None => sums.by_team.push(TeamUsage { team: assignment.team.clone(), used: resources }),
            }
        }
    }

    fn add_to(&self, used: &mut BTreeMap<TeamName, Resources>) {
        for usage in &self.capacity_sums.by_team {
            match used.get_mut(&usage.team) {
                Some(sum) => *sum = sum.plus(&usage.used),
                None => {
                    used.insert(usage.team.clone(), usage.used);
                }
            }
        }
    }
}
