use super::*;

#[test]
fn series_are_bounded_and_every_job_is_counted() {
    let mut job_counters = JobCounters::default();
    let mut spec = crate::jobs::tests::spec();
    for i in 0..MAX_SERIES + 40 {
        spec.kind = format!("c{i}").as_str().into();
        job_counters.count(JobMilestone::Accepted, &spec);
    }
    let mut all = JobCounters::default();
    all.add(job_counters.clone());
    all.add(job_counters);
    let mut lines = Vec::new();
    all.metrics(&mut lines);
    assert_eq!(lines.len(), MAX_SERIES + 1);
    assert_eq!(lines.last().map(String::as_str), Some("pearford_jobs_accepted{class=\"\",team=\"\"} 80"));
    assert!(lines[0].ends_with(" 2"), "{}", lines[0]);
}
