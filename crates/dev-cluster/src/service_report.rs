//! Computes the share of jobs of each class and each team that were served, from the events that controllers
//! log: `accepted`, `started`, `done`, and `cancelled` or `withdrawn`, which mean the same.
//!
//! `pearford-service-report` prints the result.

mod log_line;
#[cfg(test)]
mod tests;

use log_line::{JobEvent, LogLine};
use std::collections::BTreeMap;
use std::fmt;

/// A job accepted less than this many seconds before the end of the log is not counted unless it was started.
pub const MIN_SERVICE_TIME_S: f64 = 60.0;
/// A class or a team fails if less than this share of its jobs was served.
const MIN_SERVED_SHARE: f64 = 0.5;

/// The events of a job. Several nodes may log the same event, and a new leader logs it again after a
/// failover.
#[derive(Debug, Default)]
struct Job {
    /// Absent if the log does not contain the acceptance of the job.
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

/// Numbers of jobs of a class or a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Accepted jobs, without those in `cancelled` and `late`.
    pub jobs: usize,
    /// Those of `jobs` that have started.
    pub started: usize,
    /// Those of `jobs` that are done.
    pub done: usize,
    /// Jobs cancelled before they started; not included in `jobs`.
    pub cancelled: usize,
    /// Jobs accepted too late to be served; not included in `jobs`.
    pub late: usize,
}

impl JobCounts {
    /// The share of `jobs` that was served, from 0 to 1. A started job counts as served, since services are
    /// never done.
    pub fn served(&self) -> f64 {
        if self.jobs == 0 { 1.0 } else { self.started as f64 / self.jobs as f64 }
    }

    /// Whether less than half of the jobs were served.
    pub fn fails(&self) -> bool {
        self.served() < MIN_SERVED_SHARE
    }

    /// Adds a job that was accepted `remaining_s` seconds before the end of the log.
    fn add(&mut self, job: &Job, remaining_s: f64) {
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

/// The jobs that were served, by class and by team.
#[derive(Debug, Default)]
pub struct ServiceReport {
    /// The numbers of jobs of each class.
    pub classes: BTreeMap<String, JobCounts>,
    /// The numbers of jobs of each team.
    pub teams: BTreeMap<String, JobCounts>,
}

impl ServiceReport {
    /// Counts the jobs in log lines, which may be in any order. Unrelated lines are ignored.
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
            report.classes.entry(acceptance.class.clone()).or_default().add(job, remaining_s);
            report.teams.entry(acceptance.team.clone()).or_default().add(job, remaining_s);
        }
        report
    }

    /// Classes and teams of which less than half of the jobs were served.
    pub fn failures(&self) -> Vec<&str> {
        let all = self.classes.iter().chain(&self.teams);
        all.filter(|(_, counts)| counts.fails()).map(|(name, _)| name.as_str()).collect()
    }
}

/// Records a line's event for its job.
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
        for (class, counts) in &self.classes {
            writeln!(formatter, "class {class}: {counts}")?;
        }
        for (team, counts) in &self.teams {
            writeln!(formatter, "team {team}: {counts}")?;
        }
        Ok(())
    }
}

impl fmt::Display for JobCounts {
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
