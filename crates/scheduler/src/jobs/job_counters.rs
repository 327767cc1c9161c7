//! Counters of accepted, started and done jobs by class and team. They show operators which class or team is
//! starved under overload.

use super::spec::JobSpec;
use crate::types::{Kind, TeamName};
use std::collections::BTreeMap;

/// Maximum number of pairs of class and team that are counted separately. Users choose the names of classes,
/// so the number of metric series needs a bound.
const MAX_SERIES: usize = 256;

/// A point in a job's life at which it is counted.
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

    /// The part of the metric's name that denotes the milestone.
    fn metric_name(self) -> &'static str {
        match self {
            JobMilestone::Accepted => "accepted",
            JobMilestone::Started => "started",
            JobMilestone::Done => "done",
        }
    }
}

/// The class and team of one set of counters. Metrics are written in this order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    kind: Kind,
    team: TeamName,
}

/// Number of jobs that reached each milestone.
#[derive(Debug, Clone, Copy, Default)]
struct MilestoneCounts([u64; JobMilestone::ALL.len()]);

impl MilestoneCounts {
    fn get(&self, milestone: JobMilestone) -> u64 {
        self.0[milestone as usize]
    }

    fn increment(&mut self, milestone: JobMilestone) {
        self.0[milestone as usize] += 1;
    }

    fn add(&mut self, other: &MilestoneCounts) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count += added;
        }
    }
}

/// Counters of jobs by class, team and milestone.
#[derive(Debug, Clone, Default)]
pub struct JobCounters {
    counts: BTreeMap<Series, MilestoneCounts>,
    /// Counts of all pairs beyond [`MAX_SERIES`].
    others: MilestoneCounts,
}

impl JobCounters {
    /// Counts a job that reached `milestone`.
    pub fn count(&mut self, milestone: JobMilestone, spec: &JobSpec) {
        let series = Series { kind: spec.kind.clone(), team: spec.team.clone() };
        self.counts_of(series).increment(milestone);
    }

    fn counts_of(&mut self, series: Series) -> &mut MilestoneCounts {
        if self.counts.len() < MAX_SERIES || self.counts.contains_key(&series) {
            self.counts.entry(series).or_default()
        } else {
            &mut self.others
        }
    }

    /// Adds the counts of `other`, for example those of one leadership.
    pub fn add(&mut self, other: JobCounters) {
        for (series, counts) in other.counts {
            self.counts_of(series).add(&counts);
        }
        self.others.add(&other.others);
    }

    /// Appends a line for each nonzero counter, in the Prometheus text format.
    pub fn metrics(&self, lines: &mut Vec<String>) {
        for milestone in JobMilestone::ALL {
            let name = milestone.metric_name();
            for (Series { kind, team }, counts) in &self.counts {
                let count = counts.get(milestone);
                if count > 0 {
                    lines.push(format!("pearford_jobs_{name}{{class=\"{kind}\",team=\"{team}\"}} {count}"));
                }
            }
            let count = self.others.get(milestone);
            if count > 0 {
                lines.push(format!("pearford_jobs_{name}{{class=\"\",team=\"\"}} {count}"));
            }
        }
    }
}

#[cfg(test)]
mod tests;
