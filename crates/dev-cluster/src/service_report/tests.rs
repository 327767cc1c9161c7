use super::*;

fn line(second: u32, event: &str, job: u32, class: &str, team: &str) -> String {
    format!(
        "  12.0 n1 2026-09-30T23:{:02}:{:02}.5Z  INFO {event} job=req-{job} class={class} team={team}",
        second / 60,
        second % 60
    )
}

/// A log in which one team's jobs start, and those of another team with the same class don't. One job is
/// cancelled, which is logged as the event `cancellation`.
fn report_with_starved_team(cancellation: &str) -> ServiceReport {
    let mut log = Vec::new();
    for job in 0..40u32 {
        let team = if job % 4 == 0 { "blue" } else { "red" };
        log.push(line(job, "accepted", job, "a", team));
        if team == "red" || job == 0 {
            // A new leader logs the event again.
            (0..2).for_each(|n| log.push(line(60 + job + n, "started", job, "a", team)));
        }
    }
    log.push(line(50, "accepted", 100, "a", "blue"));
    log.push(format!("1.0 n0 2026-09-30T23:00:55.0Z  INFO {cancellation} job=req-100"));
    log.push(line(190, "accepted", 101, "a", "blue"));
    log.push(line(200, "done", 1, "a", "red"));
    log.push("no line of a controller".into());
    ServiceReport::from_log(log.iter().map(String::as_str))
}

fn assert_only_the_starved_team_fails(report: &ServiceReport) {
    assert_eq!(report.failures(), ["blue"]);
    assert_eq!(report.classes["a"], JobCounts { jobs: 40, started: 31, done: 1, cancelled: 1, late: 1 });
    assert_eq!(report.teams["blue"], JobCounts { jobs: 10, started: 1, done: 0, cancelled: 1, late: 1 });
}

#[test]
fn starved_team_fails_although_its_class_does_not() {
    let report = report_with_starved_team("withdrawn");
    assert_only_the_starved_team_fails(&report);
    assert!(report.to_string().contains("team blue: 10 jobs, 1 started (0.10)"));
}

#[test]
fn cancelled_and_withdrawn_events_are_counted_alike() {
    let withdrawn = report_with_starved_team("withdrawn");
    let cancelled = report_with_starved_team("cancelled");
    assert_only_the_starved_team_fails(&cancelled);
    assert_eq!(cancelled.to_string(), withdrawn.to_string());
}

#[test]
fn report_lines_contain_all_counts() {
    let report = report_with_starved_team("cancelled");
    let expected = "class a: 40 jobs, 31 started (0.78), 1 done; left out: 1 withdrawn before, 1 too late\n\
        team blue: 10 jobs, 1 started (0.10), 0 done; left out: 1 withdrawn before, 1 too late  LESS THAN HALF\n\
        team red: 30 jobs, 30 started (1.00), 1 done; left out: 0 withdrawn before, 0 too late\n";
    assert_eq!(report.to_string(), expected);
}
