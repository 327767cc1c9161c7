//! How many jobs of each class and team were accepted, started and done, for operators: a class or a team that gets
//! nothing under overload shows here first.

use super::JobSpec;
use crate::types::{Kind, TeamName};
use std::collections::BTreeMap;

/// Pairs of class and team that are told apart; classes are named by users.
const MOST: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Accepted,
    Started,
    Done,
}

const STAGES: [(Stage, &str); 3] =
    [(Stage::Accepted, "accepted"), (Stage::Started, "started"), (Stage::Done, "done")];

#[derive(Debug, Clone, Default)]
pub struct Served {
    counts: BTreeMap<(Kind, TeamName), [u64; 3]>,
    /// What came when there were too many to tell apart.
    others: [u64; 3],
}

impl Served {
    pub fn count(&mut self, stage: Stage, spec: &JobSpec) {
        self.counts_of((spec.kind.clone(), spec.team.clone()))[stage as usize] += 1;
    }

    fn counts_of(&mut self, key: (Kind, TeamName)) -> &mut [u64; 3] {
        match self.counts.len() < MOST || self.counts.contains_key(&key) {
            true => self.counts.entry(key).or_default(),
            false => &mut self.others,
        }
    }

    /// Takes over what was counted under a leadership that is over.
    pub fn add(&mut self, other: Served) {
        for (key, n) in other.counts {
            let counts = self.counts_of(key);
            (0..3).for_each(|i| counts[i] += n[i]);
        }
        (0..3).for_each(|i| self.others[i] += other.others[i]);
    }

    pub fn metrics(&self, lines: &mut Vec<String>) {
        for (stage, name) in STAGES {
            let i = stage as usize;
            for ((class, team), n) in self.counts.iter().filter(|(_, n)| n[i] > 0) {
                lines.push(format!("pearford_jobs_{name}{{class=\"{class}\",team=\"{team}\"}} {}", n[i]));
            }
            if self.others[i] > 0 {
                lines.push(format!("pearford_jobs_{name}{{class=\"\",team=\"\"}} {}", self.others[i]));
            }
        }
    }
}

#[cfg(test)]
mod tests;
