//! How many jobs of each class and team were accepted, started and done, for operators: a class or a team that is
//! starved under overload shows here first.

use super::spec::JobSpec;
use crate::types::{Kind, TeamName};
use std::collections::BTreeMap;

/// Most pairs of class and team that are counted separately: users choose the names of classes, and metrics have
/// to stay bounded.
const MAX_SERIES: usize = 256;

/// What happened to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobMilestone {
    /// Its record was stored.
    Accepted,
    /// Its first task ran.
    Started,
    /// All its tasks are done.
    Done,
}

impl JobMilestone {
    const ALL: [JobMilestone; 3] = [JobMilestone::Accepted, JobMilestone::Started, JobMilestone::Done];

    /// Its part of the metric's name.
    fn metric_name(self) -> &'static str {
        match self {
            JobMilestone::Accepted => "accepted",
            JobMilestone::Started => "started",
            JobMilestone::Done => "done",
        }
    }
}

/// What is counted separately. Metrics come in this order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    kind: Kind,
    team: TeamName,
}

/// Number of jobs that reached each stage.
#[derive(Debug, Clone, Copy, Default)]
struct StageCounts([u64; JobMilestone::ALL.len()]);

impl StageCounts {
    fn get(&self, stage: JobMilestone) -> u64 {
        self.0[stage as usize]
    }

    fn increment(&mut self, stage: JobMilestone) {
        self.0[stage as usize] += 1;
    }

    fn add(&mut self, other: &StageCounts) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count += added;
        }
    }
}

/// Counters of jobs by class, team and stage.
#[derive(Debug, Clone, Default)]
pub struct JobCounters {
    counts: BTreeMap<Series, StageCounts>,
    /// Jobs of the pairs beyond `MAX_SERIES`.
    others: StageCounts,
}

impl JobCounters {
    /// Counts a job that reached `stage`.
    pub fn count(&mut self, stage: JobMilestone, spec: &JobSpec) {
        let series = Series { kind: spec.kind.clone(), team: spec.team.clone() };
        self.counts_of(series).increment(stage);
    }

    fn counts_of(&mut self, series: Series) -> &mut StageCounts {
        if self.counts.len() < MAX_SERIES || self.counts.contains_key(&series) {
            self.counts.entry(series).or_default()
        } else {
            &mut self.others
        }
    }

    /// Adds what was counted during a leadership that has ended.
    pub fn add(&mut self, other: JobCounters) {
        for (series, counts) in other.counts {
            self.counts_of(series).add(&counts);
        }
        self.others.add(&other.others);
    }

    /// Appends a line for each counter that isn't 0, in the text format of Prometheus.
    pub fn metrics(&self, lines: &mut Vec<String>) {
        for stage in JobMilestone::ALL {
            let name = stage.metric_name();
            for (Series { kind, team }, counts) in &self.counts {
                let count = counts.get(stage);
                if count > 0 {
                    lines.push(format!("pearford_jobs_{name}{{class=\"{kind}\",team=\"{team}\"}} {count}"));
                }
            }
            let count = self.others.get(stage);
            if count > 0 {
                lines.push(format!("pearford_jobs_{name}{{class=\"\",team=\"\"}} {count}"));
            }
        }
    }
}

#[cfg(test)]
mod tests;
