use super::*;

#[test]
fn decimal_amounts_fill_a_machine_exactly() {
    let each = Resources { cpus: 0.1, gpus: 0.0, memory_gb: 0.3 };
    let machine = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 3.0 };
    let used = (0..10).fold(Resources::default(), |sum, _| sum.plus(&each));
    assert!(used.fits_in(&machine));
    assert_eq!(machine.count_of(&each), 10);
    assert_eq!(machine.minus(&machine), Resources::default());
    assert_eq!(each.times(2.0), Resources { cpus: 0.2, gpus: 0.0, memory_gb: 0.6 });
}

#[test]
fn count_of_empty_requests_is_bounded() {
    assert_eq!(Resources::default().count_of(&Resources::default()), 100_000);
}
