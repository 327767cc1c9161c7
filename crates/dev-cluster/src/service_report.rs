//! What a day served, by class and by team, from the lines that nodes log: `accepted`, `started`, `done`, `withdrawn`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A job accepted so shortly before the log ends could not be served any more, in seconds.
pub const TOO_LATE_S: f64 = 60.0;
/// Less than this part served of a class or a team fails the day.
const HALF: f64 = 0.5;

#[derive(Debug)]
struct Job {
    class: String,
    team: String,
    accepted_s: f64,
}

/// Jobs of a class or a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Accepted, and neither withdrawn unserved nor too late.
    pub jobs: usize,
    pub started: usize,
    pub done: usize,
    /// Withdrawn before they had started.
    pub withdrawn: usize,
    /// Accepted too late to be served.
    pub late: usize,
}

impl Share {
    /// The part that was served: what has started, since services are never done.
    pub fn served(&self) -> f64 {
        if self.jobs == 0 { 1.0 } else { self.started as f64 / self.jobs as f64 }
    }

    pub fn fails(&self) -> bool {
        self.served() < HALF
    }
}

#[derive(Debug, Default)]
pub struct ServiceReport {
    pub classes: BTreeMap<String, Share>,
    pub teams: BTreeMap<String, Share>,
}

/// A line's time in seconds (of its month), what it says, and its fields.
fn read(line: &str) -> Option<(f64, &str, BTreeMap<&str, &str>)> {
    let stamp = line.split_whitespace().find(|word| word.ends_with('Z') && word.contains('T'))?;
    let (date, clock) = stamp.strip_suffix('Z')?.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut seconds = day * 86_400.0;
    for (part, unit) in clock.split(':').zip([3_600.0, 60.0, 1.0]) {
        seconds += part.parse::<f64>().ok()? * unit;
    }
    let said = &line[line.find(" INFO ")? + 6..];
    let mut words = said.split_whitespace();
    let what = words.next()?;
    Some((seconds, what, words.filter_map(|word| word.split_once('=')).collect()))
}

impl ServiceReport {
    /// Counts the jobs of a day's lines. Each may come from several nodes, and more than once after a take-over.
    pub fn of<'a>(lines: impl Iterator<Item = &'a str>) -> Self {
        let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
        let (mut stages, mut ends_s) = (BTreeMap::<String, BTreeSet<String>>::new(), 0.0f64);
        for (at_s, what, fields) in lines.filter_map(read) {
            ends_s = ends_s.max(at_s);
            let Some(id) = fields.get("job") else { continue };
            match (what, fields.get("class"), fields.get("team")) {
                ("accepted", Some(class), Some(team)) => {
                    let (class, team) = ((*class).to_string(), (*team).to_string());
                    jobs.insert((*id).to_string(), Job { class, team, accepted_s: at_s });
                }
                ("started" | "done" | "withdrawn", ..) => {
                    stages.entry((*id).to_string()).or_default().insert(what.to_string());
                }
                _ => {}
            }
        }
        let mut out = Self::default();
        for (id, job) in jobs {
            let reached = |stage: &str| stages.get(&id).is_some_and(|s| s.contains(stage));
            let (done, withdrawn) = (reached("done"), reached("withdrawn"));
            let started = reached("started") || done;
            for share in [
                out.classes.entry(job.class.clone()).or_default(),
                out.teams.entry(job.team.clone()).or_default(),
            ] {
                match started {
                    false if withdrawn => share.withdrawn += 1,
                    false if ends_s - job.accepted_s < TOO_LATE_S => share.late += 1,
                    started => {
                        share.jobs += 1;
                        share.started += usize::from(started);
                        share.done += usize::from(done);
                    }
                }
            }
        }
        out
    }

    /// Classes and teams of which less than half was served.
    pub fn failures(&self) -> Vec<&str> {
        let all = self.classes.iter().chain(&self.teams);
        all.filter(|(_, share)| share.fails()).map(|(name, _)| name.as_str()).collect()
    }
}

impl fmt::Display for ServiceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = self.classes.iter().map(|c| ("class", c)).chain(self.teams.iter().map(|t| ("team", t)));
        for (kind, (name, s)) in all {
            let failed = if s.fails() { "  LESS THAN HALF" } else { "" };
            writeln!(
                f,
                "{kind} {name}: {} jobs, {} started ({:.2}), {} done; left out: {} withdrawn before, {} too late{failed}",
                s.jobs,
                s.started,
                s.served(),
                s.done,
                s.withdrawn,
                s.late
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
