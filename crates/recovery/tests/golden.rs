//! Numbers and orders that others rely on: operators read a phase as a number, and decisions compare phases.

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
