//! Starts against changes: while the state service takes fewer changes than tasks could start, arrays' tasks go where one
//! change carries most of them.

use super::field::Field;
use super::*;

/// Tasks that a machine is counted for at the most: a small task fits one many times.
const MOST_AT_ONCE: u32 = 64;

impl Master {
    /// How many further machines' records arrays' tasks may take in this look, if that is bounded: then what is asked in
    /// a look is either arrays or all else, in turn, since machines sent to a controller are there for all its asks.
    ///
    /// The bound is what this leader may write in a second. Placed at once wherever there was room, tasks waited up to
    /// 26 s for their machine's record, each with a change of its own, on machines that stood idle meanwhile (offshore
    /// deployment, steady: 0.69 changes a start, and the changes were spent all day).
    pub(super) fn spare_changes(&mut self, asks: &mut Vec<TaskAsk>) -> Option<usize> {
        let array = |ask: &TaskAsk| ask.shape == Shape::Array;
        let tasks: usize = asks.iter().filter(|a| array(a)).map(|a| a.tasks.len()).sum();
        let records = (self.writes.rate() as usize).saturating_sub(self.commit_pipeline.pressing());
        if tasks <= records {
            return None;
        }
        let others = asks.iter().any(|ask| !array(ask));
        self.arrays_looked = !others || !self.arrays_looked;
        let arrays = self.arrays_looked;
        asks.retain(|ask| array(ask) == arrays);
        arrays.then_some(records)
    }

    /// Leaves in the field machines whose record waits to be written anyway, and of the others as many as the asks need,
    /// at most `records`: cheap ones, if there is room enough on so many of them, else any; those first where one record
    /// has room for most tasks.
    pub(super) fn narrow(&self, field: &mut Field, asks: &[TaskAsk], records: usize) {
        let Some(resources) = asks.first().map(|ask| ask.resources) else { return };
        let mut needed: u32 = asks.iter().map(|ask| ask.tasks.len() as u32).sum();
        let cheap_will_do = asks.iter().all(|ask| ask.spot);
        let mut kept = vec![false; field.views.len()];
        let mut others = Vec::new();
        for (i, v) in field.views.iter().enumerate() {
            let slots = v.free.count_of(&resources).min(MOST_AT_ONCE);
            let cheap = v.spot || !cheap_will_do;
            if self.commit_pipeline.is_pressing(&assignments::key(&v.id)) {
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
