use super::*;

#[test]
fn every_changed_part_is_saved_within_the_size_limit() {
    let mut counts = SuccessCounts::default();
    for i in 0..500 {
        counts.record(&PlacementOutcome {
            machine: format!("m-{i}").as_str().into(),
            kind: "k".into(),
            success: true,
        });
    }
    let mut restored = SuccessCounts::default();
    for _ in 0..PARTS {
        let parts = counts.take_changed(PARTS_AT_ONCE, 1024);
        assert!(parts.len() <= PARTS_AT_ONCE && parts.iter().all(|part| part.value.len() <= 1024));
        parts.iter().for_each(|part| restored.add_part(&part.value).expect("readable"));
    }
    assert_eq!(restored.machines, counts.machines, "every changed part is saved");
    assert!(counts.take_changed(99, 1024).is_empty(), "unchanged parts are not written again");
    counts.record(&PlacementOutcome { machine: "m-3".into(), kind: "k".into(), success: true });
    let mut restored = SuccessCounts::default();
    for part in counts.take_changed(99, 99_999) {
        restored.add_part(&part.value).expect("readable");
    }
    assert_eq!(restored.get(&"m-3".into(), &"k".into()), BetaCounts { alpha: 3.0, beta: 1.0 });
}
