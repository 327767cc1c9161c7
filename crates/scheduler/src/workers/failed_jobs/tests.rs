use super::*;

fn job(number: usize) -> JobId {
    format!("req-{number}").as_str().into()
}

fn at_s(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1000)
}

/// Guards against faulty machines that attract one task after the other because they are empty.
#[test]
fn machine_is_faulty_once_two_jobs_failed_there() {
    let mut failed = FailedJobs::default();
    failed.record(&job(1), at_s(1));
    failed.record(&job(1), at_s(2));
    assert!(!failed.is_faulty(at_s(2)), "the same job must not count twice");
    failed.record(&job(2), at_s(40));
    assert!(failed.is_faulty(at_s(40)));
    failed.remove(&job(2));
    assert!(!failed.is_faulty(at_s(40)), "a job that is at fault itself must not count");
    failed.record(&job(3), at_s(50));
    failed.clear();
    assert!(!failed.is_faulty(at_s(50)));
}

/// Guards against machines with room that no job may use until their last replica has ended.
#[test]
fn machine_is_tried_again_after_a_time_and_faulty_again_with_the_next_failure() {
    let mut failed = FailedJobs::default();
    (1..3).for_each(|number| failed.record(&job(number), at_s(10)));
    assert!(failed.is_faulty(at_s(69)));
    assert!(!failed.is_faulty(at_s(70)));
    failed.record(&job(3), at_s(71));
    assert!(failed.is_faulty(at_s(72)));
}

#[test]
fn remembers_a_bounded_number_of_jobs() {
    let mut failed = FailedJobs::default();
    (0..3 * MAX_FAILED_JOBS).for_each(|number| failed.record(&job(number), at_s(1)));
    assert_eq!(failed.jobs.len(), MAX_FAILED_JOBS);
}
