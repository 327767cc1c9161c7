//! A job as its leader sees it: which tasks are done, which are placed, which wait.

use super::{JobType, OpenJob, Priority};
use crate::types::{Attempt, MachineId, MonotonicTime, NodeName};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tasks kept in one progress key: 64 words of JSON, well below any value limit.
pub const CHUNK: u32 = 4096;

/// A set of task indices.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    pub fn has(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
    }
    /// Adds `i`; false if it was there.
    pub fn add(&mut self, i: u32) -> bool {
        let word = i as usize / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let new = self.words[word] >> (i % 64) & 1 == 0;
        self.words[word] |= 1 << (i % 64);
        self.count += u32::from(new);
        new
    }
    pub fn count(&self) -> u32 {
        self.count
    }
    /// The words of chunk `n` as a JSON value.
    pub fn chunk_value(&self, n: u32) -> String {
        let per = CHUNK as usize / 64;
        let from = (n as usize * per).min(self.words.len());
        let to = (from + per).min(self.words.len());
        serde_json::to_string(&self.words[from..to]).unwrap_or_default()
    }
    /// Adds the words of chunk `n`.
    pub fn add_chunk(&mut self, n: u32, value: &str) -> Result<(), serde_json::Error> {
        let words: Vec<u64> = serde_json::from_str(value)?;
        for (w, word) in words.into_iter().enumerate().take(CHUNK as usize / 64) {
            for bit in (0..64).filter(|b| word >> b & 1 == 1) {
                self.add(n * CHUNK + w as u32 * 64 + bit);
            }
        }
        Ok(())
    }
}

#[derive(Debug, Clone)]
pub struct JobState {
    pub job: Arc<OpenJob>,
    /// Its own priority, or a higher one of a job that needs it.
    pub priority: Priority,
    done: TaskSet,
    /// Where the ledger has a task that isn't proved gone.
    placed: BTreeMap<u32, MachineId>,
    /// Tasks neither done nor placed, kept as a sum: it is asked for at every round.
    open: u32,
    /// Tasks in a round now under way.
    pub offered: u32,
    /// Whose controller places it now.
    pub home: NodeName,
    /// Room version at which placing failed last; nothing has changed until it moves on.
    pub tried: u64,
    pub not_before: MonotonicTime,
    pub attempt: Option<Attempt>,
    /// Since when this leader knows it.
    pub seen: MonotonicTime,
    /// Failures in a row that speak of the job as much as of its machines.
    pub errors: u32,
    /// Others have been stopped for it, and should be gone by then.
    pub preempting_until: Option<MonotonicTime>,
    /// Replicas that wait for room being made where their image is.
    pub promised: u32,
    /// Why it waits, for operators.
    pub reason: &'static str,
    /// First time that all tasks were done, while that waits to be written.
    pub finishing: bool,
    /// A task of it has been seen to run under this leader.
    pub started: bool,
    /// Lowest index that may still wait; keeps scans of large arrays short.
    low: u32,
}

impl JobState {
    pub fn new(job: Arc<OpenJob>, now: MonotonicTime) -> Self {
        Self {
            home: job.home.clone(),
            open: job.spec.tasks,
            priority: job.spec.priority,
            job,
            done: TaskSet::default(),
            placed: BTreeMap::new(),
            offered: 0,
            tried: 0,
            not_before: MonotonicTime::default(),
            attempt: None,
            seen: now,
            errors: 0,
            preempting_until: None,
            promised: 0,
            reason: "new",
            finishing: false,
            started: false,
            low: 0,
        }
    }

    pub fn is_gang(&self) -> bool {
        self.job.spec.job_type == JobType::Gang
    }

    pub fn all_done(&self) -> bool {
        self.done.count() >= self.job.spec.tasks
    }

    pub fn done(&self) -> &TaskSet {
        &self.done
    }

    pub fn placed(&self) -> &BTreeMap<u32, MachineId> {
        &self.placed
    }

    pub fn place(&mut self, index: u32, machine: MachineId) {
        if self.placed.insert(index, machine).is_none() && !self.done.has(index) {
            self.open = self.open.saturating_sub(1);
        }
    }

    /// The task is off `machine`, if that is where it was.
    pub fn unplace(&mut self, index: u32, machine: &MachineId) {
        if self.placed.get(&index) == Some(machine) {
            self.placed.remove(&index);
            if !self.done.has(index) {
                self.open += 1;
                self.low = self.low.min(index);
            }
        }
    }

    pub fn mark_done(&mut self, index: u32) {
        if self.done.add(index) && !self.placed.contains_key(&index) {
            self.open = self.open.saturating_sub(1);
        }
    }

    /// Takes in progress recorded earlier.
    pub fn add_chunk(&mut self, n: u32, value: &str) -> Result<(), serde_json::Error> {
        let read = self.done.add_chunk(n, value);
        self.open = self.recount();
        read
    }

    /// `waiting_count` from the ground up.
    pub fn recount(&self) -> u32 {
        let placed_undone = self.placed.keys().filter(|i| !self.done.has(**i)).count() as u32;
        self.job.spec.tasks.saturating_sub(self.done.count() + placed_undone)
    }

    pub fn waiting_count(&self) -> u32 {
        self.open
    }

    /// Up to `most` tasks that are neither done nor placed.
    pub fn waiting(&mut self, most: usize) -> Vec<u32> {
        let tasks = self.job.spec.tasks;
        while self.low < tasks && (self.done.has(self.low) || self.placed.contains_key(&self.low)) {
            self.low += 1;
        }
        let most = most.min(self.open as usize);
        (self.low..tasks).filter(|i| !self.done.has(*i) && !self.placed.contains_key(i)).take(most).collect()
    }
}

#[cfg(test)]
mod tests;
