//! Starts against writes: while the key-value store takes fewer changes than tasks could start,
//! arrays' tasks go where one change carries most of them.

use super::Leader;
use super::candidates::Candidates;
use crate::assignments;
use crate::jobs::JobType;
use crate::placement::PlacementRequest;
use std::cmp::Reverse;

/// Tasks that a machine is counted for at the most: a small task fits one many times.
const MAX_TASKS_COUNTED: u32 = 64;

/// A machine whose record is not about to be written anyway. Ordered as they are preferred.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CostlyMachine {
    /// Tasks that one record's write would start.
    slots: Reverse<u32>,
    /// It isn't spot, though spot would do.
    expensive: bool,
    /// Its place among the candidates.
    index: usize,
}

/// While writes are scarce, scheduling passes are for arrays and for all else in turn.
#[derive(Debug, Default)]
pub(super) struct PassAlternation {
    /// The last such pass was for arrays.
    last_was_arrays: bool,
}

impl PassAlternation {
    /// Whether the next pass is for arrays; `any_other`: something else waits too.
    fn next_is_arrays(&mut self, any_other: bool) -> bool {
        self.last_was_arrays = !any_other || !self.last_was_arrays;
        self.last_was_arrays
    }
}

impl Leader {
    /// How many further machines' records arrays' tasks may take in this pass, if that is bounded:
    /// then a pass is either for arrays or for all else, in turn, since machines sent to a
    /// controller are there for all its requests.
    ///
    /// The bound is what this leader may write in a second. Placed at once wherever there were free
    /// resources, tasks waited up to 26 s for their machine's record, each with a change of its own,
    /// on machines that stood idle meanwhile (offshore deployment, steady: 0.69 changes a start, and
    /// the changes were spent all day).
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

    /// Keeps candidates whose record waits to be written anyway, and of the others as many as the
    /// requests need, at most `records`: cheap ones, if enough of them have free resources, else any;
    /// those first where one record starts most tasks.
    pub(super) fn limit_candidates_to_write_budget(
        &self,
        candidates: &mut Candidates,
        requests: &[PlacementRequest],
        records: usize,
    ) {
        let Some(resources) = requests.first().map(|request| request.resources) else { return };
        let mut needed: u32 = requests.iter().map(|request| request.tasks.len() as u32).sum();
        let spot_will_do = requests.iter().all(|request| request.spot);
        let mut kept = vec![false; candidates.machines.len()];
        let mut others = Vec::new();
        for (index, view) in candidates.views().enumerate() {
            let slots = view.free.count_of(&resources).min(MAX_TASKS_COUNTED);
            let expensive = !view.spot && spot_will_do;
            if self.commits.is_urgent(&assignments::key(&view.id)) {
                kept[index] = true;
                needed = needed.saturating_sub(if expensive { 0 } else { slots });
            } else {
                others.push(CostlyMachine { slots: Reverse(slots), expensive, index });
            }
        }
        others.sort_unstable();
        let cheap = others.iter().filter(|machine| !machine.expensive).take(records);
        if cheap.map(|machine| machine.slots.0).sum::<u32>() >= needed {
            others.retain(|machine| !machine.expensive);
        }
        for machine in others.into_iter().take(records) {
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
