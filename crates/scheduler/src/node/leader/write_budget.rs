//! Placement under a scarce write budget: while array jobs have more waiting tasks than the leader may write
//! records, their tasks are placed on the machines where one record write covers the most starts.

use super::Leader;
use super::candidates::Candidates;
use crate::assignments;
use crate::jobs::JobType;
use crate::placement::PlacementRequest;
use std::cmp::Reverse;

/// Upper bound on the tasks counted per machine: a small task fits a machine many times.
const MAX_SLOTS_PER_MACHINE: u32 = 64;

/// A machine whose record has no urgent write queued, so placing tasks there costs an additional write.
/// Ordered by preference, the most preferred first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CostlyMachine {
    /// Tasks that one write of the machine's record would start.
    slots: Reverse<u32>,
    /// The machine is on-demand although all requests allow spot machines.
    expensive: bool,
    /// Index among the candidates.
    index: usize,
}

/// While writes are scarce, scheduling passes alternate between array jobs and all other jobs.
#[derive(Debug, Default)]
pub(super) struct PassAlternation {
    /// The last of these passes was for array jobs.
    last_was_arrays: bool,
}

impl PassAlternation {
    /// Whether the next pass is for array jobs. `any_other`: other jobs wait too.
    fn next_is_arrays(&mut self, any_other: bool) -> bool {
        self.last_was_arrays = !any_other || !self.last_was_arrays;
        self.last_was_arrays
    }
}

impl Leader {
    /// Limits a pass to the write budget if array jobs have more waiting tasks than records can be written.
    /// Returns the number of additional machine records that a pass for array jobs may write; `None` if the
    /// pass is for other jobs or not limited.
    ///
    /// A limited pass is either for array jobs or for all other jobs, because a controller may use the
    /// machines of its round for all of its requests.
    ///
    /// The limit is the number of changes that this leader may write in a second. Without it, tasks are placed
    /// on any machine with free resources, and most starts need a record write of their own. The write budget
    /// is then always exhausted, and tasks wait up to 26 s for their machine's record while the machine is
    /// idle.
    pub(super) fn limit_requests_to_write_budget(
        &mut self,
        requests: &mut Vec<PlacementRequest>,
    ) -> Option<usize> {
        let is_array = |request: &PlacementRequest| request.job_type == JobType::Array;
        let array_tasks: usize =
            requests.iter().filter(|request| is_array(request)).map(|request| request.tasks.len()).sum();
        let records = (self.commits.writes_per_s() as usize).saturating_sub(self.commits.urgent_backlog());
        if array_tasks <= records {
            return None;
        }
        let any_other = requests.iter().any(|request| !is_array(request));
        let arrays = self.pass_alternation.next_is_arrays(any_other);
        requests.retain(|request| is_array(request) == arrays);
        arrays.then_some(records)
    }

    /// Keeps candidates whose record has an urgent write queued, and of the others as many as the requests
    /// need, at most `records`. Of the others, expensive machines are used only if the cheap ones do not have
    /// enough free resources; machines where one record write starts the most tasks come first.
    pub(super) fn limit_candidates_to_write_budget(
        &self,
        candidates: &mut Candidates,
        requests: &[PlacementRequest],
        records: usize,
    ) {
        let Some(resources) = requests.first().map(|request| request.resources) else { return };
        let mut needed: u32 = requests.iter().map(|request| request.tasks.len() as u32).sum();
        let spot_allowed = requests.iter().all(|request| request.spot);
        let mut kept = vec![false; candidates.machines.len()];
        let mut costly = Vec::new();
        for (index, view) in candidates.views().enumerate() {
            let slots = view.free.count_of(&resources).min(MAX_SLOTS_PER_MACHINE);
            let expensive = !view.spot && spot_allowed;
            if self.commits.is_urgent(&assignments::key(&view.id)) {
                kept[index] = true;
                needed = needed.saturating_sub(if expensive { 0 } else { slots });
            } else {
                costly.push(CostlyMachine { slots: Reverse(slots), expensive, index });
            }
        }
        costly.sort_unstable();
        let cheap = costly.iter().filter(|machine| !machine.expensive).take(records);
        if cheap.map(|machine| machine.slots.0).sum::<u32>() >= needed {
            costly.retain(|machine| !machine.expensive);
        }
        for machine in costly.into_iter().take(records) {
            if needed == 0 {
                break;
            }
            kept[machine.index] = true;
            needed = needed.saturating_sub(machine.slots.0);
        }
        candidates.keep(&kept);
    }
}

#[cfg(test)]
mod tests;
