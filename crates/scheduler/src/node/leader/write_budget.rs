//! Starts against changes: while the state service takes fewer changes than tasks could start, arrays' tasks go where one
//! change carries most of them.

use super::candidates::Field;
use super::*;

/// Tasks that a machine is counted for at the most: a small task fits one many times.
const MOST_AT_ONCE: u32 = 64;

impl Leader {
    /// How many further machines' records arrays' tasks may take in this look, if that is bounded: then what is asked in
    /// a look is either arrays or all else, in turn, since machines sent to a controller are there for all its asks.
    ///
    /// The bound is what this leader may write in a second. Placed at once wherever there was room, tasks waited up to
    /// 26 s for their machine's record, each with a change of its own, on machines that stood idle meanwhile (offshore
    /// deployment, steady: 0.69 changes a start, and the changes were spent all day).
    pub(super) fn spare_changes(&mut self, requests: &mut Vec<PlacementRequest>) -> Option<usize> {
        let array = |request: &PlacementRequest| request.job_type == JobType::Array;
        let tasks: usize = requests.iter().filter(|a| array(a)).map(|a| a.tasks.len()).sum();
        let records = (self.writes.rate() as usize).saturating_sub(self.commit_pipeline.urgent_backlog());
        if tasks <= records {
            return None;
        }
        let others = requests.iter().any(|request| !array(request));
        self.arrays_scheduled = !others || !self.arrays_scheduled;
        let arrays = self.arrays_scheduled;
        requests.retain(|request| array(request) == arrays);
        arrays.then_some(records)
    }

    /// Leaves in the field machines whose record waits to be written anyway, and of the others as many as the asks need,
    /// at most `records`: cheap ones, if there is room enough on so many of them, else any; those first where one record
    /// has room for most tasks.
    pub(super) fn narrow(&self, field: &mut Field, requests: &[PlacementRequest], records: usize) {
        let Some(resources) = requests.first().map(|request| request.resources) else { return };
        let mut needed: u32 = requests.iter().map(|request| request.tasks.len() as u32).sum();
        let cheap_will_do = requests.iter().all(|request| request.spot);
        let mut kept = vec![false; field.views.len()];
        let mut others = Vec::new();
        for (i, v) in field.views.iter().enumerate() {
            let slots = v.free.count_of(&resources).min(MOST_AT_ONCE);
            let cheap = v.spot || !cheap_will_do;
            if self.commit_pipeline.is_urgent(&assignments::key(&v.id)) {
                kept[i] = true;
                needed = needed.saturating_sub(if cheap { slots } else { 0 });
            } else {
                others.push((Reverse(slots), !cheap, i));
            }
        }
        others.sort_unstable();
        let cheap = others.iter().filter(|(_, dear, _)| !dear).take(records);
        if cheap.map(|(Reverse(slots), ..)| slots).sum::<u32>() >= needed {
            others.retain(|(_, dear, _)| !dear);
        }
        for (Reverse(slots), _, i) in others.into_iter().take(records) {
            if needed == 0 {
                break;
            }
            kept[i] = true;
            needed = needed.saturating_sub(slots);
        }
        field.keep(&kept);
    }
}

#[cfg(test)]
mod tests;
