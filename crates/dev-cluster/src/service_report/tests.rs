use super::*;

fn line(s: u32, what: &str, job: u32, class: &str, team: &str) -> String {
    format!(
        "  12.0 n1 2026-09-30T23:{:02}:{:02}.5Z  INFO {what} job=req-{job} class={class} team={team}",
        s / 60,
        s % 60
    )
}

/// A day on which one team's jobs are started and another's, of the same class, are not.
#[test]
fn a_starved_team_fails_the_day_though_its_class_does_not() {
    let mut log = Vec::new();
    for job in 0..40u32 {
        let team = if job % 4 == 0 { "blue" } else { "red" };
        log.push(line(job, "accepted", job, "a", team));
        if team == "red" || job == 0 {
            // Told again by the next leader.
            (0..2).for_each(|n| log.push(line(60 + job + n, "started", job, "a", team)));
        }
    }
    log.push(line(50, "accepted", 100, "a", "blue"));
    log.push("1.0 n0 2026-09-30T23:00:55.0Z  INFO withdrawn job=req-100".into());
    log.push(line(190, "accepted", 101, "a", "blue"));
    log.push(line(200, "done", 1, "a", "red"));
    log.push("no line of ours".into());
    let served = ServiceReport::of(log.iter().map(String::as_str));
    assert_eq!(served.failures(), ["blue"]);
    assert_eq!(served.classes["a"], Share { jobs: 40, started: 31, done: 1, withdrawn: 1, late: 1 });
    assert_eq!(served.teams["blue"], Share { jobs: 10, started: 1, done: 0, withdrawn: 1, late: 1 });
    assert!(served.to_string().contains("team blue: 10 jobs, 1 started (0.10)"));
}
