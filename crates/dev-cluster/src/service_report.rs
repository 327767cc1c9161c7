//! What share of the jobs of each class and each team was served on a day, from the lines that controllers log:
//! `accepted`, `started`, `done`, and `cancelled` or `withdrawn`, which mean the same.
//!
//! `pearford-service-report` prints it.

mod log_line;
#[cfg(test)]
mod tests;

use log_line::{JobEvent, LogLine};
use std::collections::BTreeMap;
use std::fmt;

/// A job accepted so shortly before the log ends could not be served any more, in seconds.
pub const MIN_SERVICE_TIME_S: f64 = 60.0;
/// A class or a team of which less than this share was served fails the day.
const MIN_SERVED_SHARE: f64 = 0.5;

/// A job, by all lines about it. Each may come from several nodes, and more than once after a failover.
#[derive(Debug, Default)]
struct Job {
    /// Absent if the log has lines about the job, but not that it was accepted.
    acceptance: Option<Acceptance>,
    started: bool,
    done: bool,
    cancelled: bool,
}

#[derive(Debug)]
struct Acceptance {
    class: String,
    team: String,
    at_s: f64,
}

/// Jobs of a class or a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Accepted, and neither cancelled before they started nor too late.
    pub jobs: usize,
    /// Those of `jobs` that have started.
    pub started: usize,
    /// Those of `jobs` that are done.
    pub done: usize,
    /// Cancelled before they had started; not among `jobs`.
    pub cancelled: usize,
    /// Accepted too late to be served; not among `jobs`.
    pub late: usize,
}

impl Share {
    /// The share that was served, from 0 to 1: what has started, since services are never done.
    pub fn served(&self) -> f64 {
        if self.jobs == 0 { 1.0 } else { self.started as f64 / self.jobs as f64 }
    }

    /// Whether less than half was served.
    pub fn fails(&self) -> bool {
        self.served() < MIN_SERVED_SHARE
    }

    /// Counts a job that was accepted `remaining_s` seconds before the log's end.
    fn count(&mut self, job: &Job, remaining_s: f64) {
        let started = job.started || job.done;
        if !started && job.cancelled {
            self.cancelled += 1;
        } else if !started && remaining_s < MIN_SERVICE_TIME_S {
            self.late += 1;
        } else {
            self.jobs += 1;
            self.started += usize::from(started);
            self.done += usize::from(job.done);
        }
    }
}

/// What was served on a day.
#[derive(Debug, Default)]
pub struct ServiceReport {
    /// By the jobs' class.
    pub classes: BTreeMap<String, Share>,
    /// By the jobs' team.
    pub teams: BTreeMap<String, Share>,
}

impl ServiceReport {
    /// Counts the jobs of a day's log lines, in any order. Other lines are passed over.
    pub fn from_log<'a>(lines: impl Iterator<Item = &'a str>) -> Self {
        let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
        let mut end_s = 0.0f64;
        for line in lines.filter_map(LogLine::parse) {
            end_s = end_s.max(line.at_s);
            record(&mut jobs, &line);
        }
        let mut report = Self::default();
        for job in jobs.values() {
            let Some(acceptance) = &job.acceptance else { continue };
            let remaining_s = end_s - acceptance.at_s;
            report.classes.entry(acceptance.class.clone()).or_default().count(job, remaining_s);
            report.teams.entry(acceptance.team.clone()).or_default().count(job, remaining_s);
        }
        report
    }

    /// Classes and teams of which less than half was served.
    pub fn failures(&self) -> Vec<&str> {
        let all = self.classes.iter().chain(&self.teams);
        all.filter(|(_, share)| share.fails()).map(|(name, _)| name.as_str()).collect()
    }
}

/// Notes what a line says of a job.
fn record(jobs: &mut BTreeMap<String, Job>, line: &LogLine) {
    let Some(id) = line.field("job") else { return };
    let Some(event) = line.event else { return };
    let job = jobs.entry(id.to_string()).or_default();
    match event {
        JobEvent::Accepted => {
            if let (Some(class), Some(team)) = (line.field("class"), line.field("team")) {
                let (class, team) = (class.to_string(), team.to_string());
                job.acceptance = Some(Acceptance { class, team, at_s: line.at_s });
            }
        }
        JobEvent::Started => job.started = true,
        JobEvent::Done => job.done = true,
        JobEvent::Cancelled => job.cancelled = true,
    }
}

impl fmt::Display for ServiceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, share) in &self.classes {
            writeln!(formatter, "class {class}: {share}")?;
        }
        for (team, share) in &self.teams {
            writeln!(formatter, "team {team}: {share}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Share {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { jobs, started, done, cancelled, late } = self;
        let served = self.served();
        let failed = if self.fails() { "  LESS THAN HALF" } else { "" };
        write!(
            formatter,
            "{jobs} jobs, {started} started ({served:.2}), {done} done; \
             left out: {cancelled} withdrawn before, {late} too late{failed}"
        )
    }
}
