//! Golden bytes of the saved counts.

use super::*;
use crate::golden_group;

/// Maximum size of a part's value, in bytes.
const LIMIT: usize = 16_000;

fn counts() -> SuccessCounts {
    let mut counts = SuccessCounts::default();
    for (machine, kind, success) in
        [("m-000231", "train", true), ("m-000231", "serve", false), ("m-000007", "serve", false)]
    {
        counts.record(&PlacementOutcome { machine: machine.into(), kind: kind.into(), success });
    }
    counts
}

#[test]
fn golden_saved_counts() {
    let mut group = golden_group!("counts_records.txt");
    for part in counts().take_changed(PARTS_AT_ONCE, LIMIT) {
        group.both_ways(&format!("{COUNTS_PREFIX}{}", part.number), part.value, |value| {
            let mut read = SuccessCounts::default();
            read.add_part(value).ok()?;
            read.changed.insert(part.number);
            read.take_changed(1, LIMIT).pop().map(|part| part.value)
        });
    }
    group.finish();
}
