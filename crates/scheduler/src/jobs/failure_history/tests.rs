use super::*;

fn machine(number: u32) -> MachineId {
    format!("m-{number}").as_str().into()
}

/// Guards against machines that count as faulty because of a job that fails everywhere.
#[test]
fn job_that_fails_on_two_machines_and_never_worked_is_at_fault() {
    let mut failures = FailureHistory::default();
    assert_eq!(failures.record_failure(&machine(0), || false), FailureCause::Machine);
    let exonerated = vec![machine(0)];
    assert_eq!(failures.record_failure(&machine(1), || false), FailureCause::Job { exonerated });
    let again = failures.record_failure(&machine(2), || false);
    assert_eq!(again, FailureCause::Job { exonerated: Vec::new() });
    assert_eq!(failures.consecutive(), 3);
}

/// Guards against faulty machines that stay in use because a job failed on two of them.
#[test]
fn failures_of_a_job_that_works_elsewhere_count_against_its_machines() {
    let mut failures = FailureHistory::default();
    for number in 0..JOB_FAULT_THRESHOLD - 1 {
        assert_eq!(failures.record_failure(&machine(number), || true), FailureCause::Machine);
    }
    assert_eq!(failures.record_failure(&machine(9), || true), FailureCause::Unknown);
    assert_eq!(failures.exonerate_machines().len(), 3);
}

/// Guards against faulty machines that stay in use because several tasks of one job failed on them.
#[test]
fn repeated_failures_on_one_machine_neither_exonerate_it_nor_count_for_ever() {
    let mut failures = FailureHistory::default();
    for _ in 1..JOB_FAULT_THRESHOLD {
        assert_eq!(failures.record_failure(&machine(0), || false), FailureCause::Machine);
    }
    assert_eq!(failures.record_failure(&machine(0), || false), FailureCause::Unknown);
    assert_eq!(failures.exonerate_machines(), [machine(0)]);
}

#[test]
fn success_clears_the_history() {
    let mut failures = FailureHistory::default();
    failures.record_failure(&machine(0), || false);
    failures.record_failure(&machine(1), || false);
    failures.record_success();
    assert_eq!(failures.consecutive(), 0);
    assert_eq!(failures.record_failure(&machine(1), || false), FailureCause::Machine);
}
