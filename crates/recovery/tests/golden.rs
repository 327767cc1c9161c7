//! Golden test of the phases: a metric shows a phase's number to operators, and decisions compare phases by
//! order.

use pearford_recovery::FailoverPhase;

#[test]
fn golden_numbers_of_phases() {
    let phases = [
        FailoverPhase::ReadingRecords,
        FailoverPhase::CollectingHeartbeats,
        FailoverPhase::Reconciling,
        FailoverPhase::Steady,
    ];
    assert_eq!(phases.map(|phase| phase as u8), [0, 1, 2, 3]);
    assert!(phases.is_sorted());
}
