//! The leader's state of a job: which of its tasks are done, placed or waiting.

use super::failure_history::FailureHistory;
use super::record::OpenJob;
use super::spec::{JobType, Priority};
use crate::types::{Attempt, MachineId, MonotonicTime, NodeName};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Tasks recorded in one progress key: a JSON array of 64 words, well below the store's limit for a value.
pub const TASKS_PER_CHUNK: u32 = 4096;

/// Tasks in one word of a [`TaskSet`].
const TASKS_PER_WORD: u32 = u64::BITS;
const WORDS_PER_CHUNK: usize = (TASKS_PER_CHUNK / TASKS_PER_WORD) as usize;

/// A set of task indices, as a bit map.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Whether the set has `task`.
    pub fn contains(&self, task: u32) -> bool {
        self.words.get(word_of(task)).is_some_and(|word| word & bit_of(task) != 0)
    }

    /// Adds `task`. Returns false if the set already has it.
    pub fn insert(&mut self, task: u32) -> bool {
        let index = word_of(task);
        if self.words.len() <= index {
            self.words.resize(index + 1, 0);
        }
        let word = &mut self.words[index];
        let added = *word & bit_of(task) == 0;
        *word |= bit_of(task);
        self.count += u32::from(added);
        added
    }

    /// Number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The words of a chunk as a JSON value; words beyond the last task are omitted.
    pub fn chunk_value(&self, chunk: u32) -> String {
        let start = (chunk as usize * WORDS_PER_CHUNK).min(self.words.len());
        let end = (start + WORDS_PER_CHUNK).min(self.words.len());
        serde_json::to_string(&self.words[start..end]).unwrap_or_default()
    }

    /// Adds the words of a chunk.
    ///
    /// # Errors
    /// If `value` is not a JSON array of words; nothing is added then.
    pub fn add_chunk(&mut self, chunk: u32, value: &str) -> Result<(), serde_json::Error> {
        let words: Vec<u64> = serde_json::from_str(value)?;
        for (index, word) in words.into_iter().take(WORDS_PER_CHUNK).enumerate() {
            let first_task = chunk * TASKS_PER_CHUNK + index as u32 * TASKS_PER_WORD;
            for bit in (0..TASKS_PER_WORD).filter(|bit| word >> bit & 1 == 1) {
                self.insert(first_task + bit);
            }
        }
        Ok(())
    }
}

fn word_of(task: u32) -> usize {
    (task / TASKS_PER_WORD) as usize
}

fn bit_of(task: u32) -> u64 {
    1 << (task % TASKS_PER_WORD)
}

/// Why tasks of a job wait, for operators. `Display` gives the text of the waiting report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitingReason {
    /// No scheduling pass has considered the job yet.
    New,
    /// Jobs that it depends on are not done.
    Dependencies,
    /// Tasks of the gang's last attempt may still run.
    GangStillPlaced,
    /// Its team is at its resource limit.
    TeamAtLimit,
    /// No machine has enough free resources.
    NoCapacity,
    /// Machines are being moved to the partition of its controller.
    PartitionMove,
    /// Other tasks are being preempted for it.
    Preempting,
}

impl fmt::Display for WaitingReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl WaitingReason {
    /// The text of the waiting report.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitingReason::New => "new",
            WaitingReason::Dependencies => "jobs that it needs are not done",
            WaitingReason::GangStillPlaced => "the gang's last attempt is not off its machines yet",
            WaitingReason::TeamAtLimit => "its team is at its limit",
            WaitingReason::NoCapacity => "no machine has room for it",
            WaitingReason::PartitionMove => "machines move to its controller's block",
            WaitingReason::Preempting => "others are making room for it",
        }
    }
}

/// The leader's state of an open job.
#[derive(Debug, Clone)]
pub struct JobState {
    /// The job, as recorded.
    pub job: Arc<OpenJob>,
    /// Its own priority, or the higher one of a job that depends on it.
    pub priority: Priority,
    done: TaskSet,
    /// The machine of each task that has an assignment. An entry is removed only when the task is known to
    /// have left the machine.
    placed: BTreeMap<u32, MachineId>,
    /// Number of tasks neither done nor placed, cached because every round needs it.
    waiting: u32,
    /// Number of its tasks in the scheduling round in progress.
    pub tasks_in_round: u32,
    /// The node whose controller currently places its tasks.
    pub assigned_node: NodeName,
    /// Capacity version at the last failed placement; placement is retried only once the version has changed.
    pub failed_capacity_version: u64,
    /// Earliest time of its next placement, set after failures and refusals.
    pub not_before: MonotonicTime,
    /// The gang's current attempt.
    pub attempt: Option<Attempt>,
    /// When this leader added the job.
    pub known_since: MonotonicTime,
    /// Its failures since one of its tasks was last done.
    pub failures: FailureHistory,
    /// Until then no more tasks are preempted for it: either preempted tasks are still stopping, or the last
    /// search found none to preempt.
    pub preempting_until: Option<MonotonicTime>,
    /// Number of replicas that wait for preempted tasks to leave machines that have their image.
    pub awaiting_preemption: u32,
    /// Why it waits, for operators.
    pub reason: WaitingReason,
    /// All tasks are done, and the write that records this is pending.
    pub finishing: bool,
    /// One of its tasks was reported as running during this leadership.
    pub started: bool,
    /// No task below this index waits. Shortens scans of large arrays.
    first_maybe_waiting: u32,
}

impl JobState {
    /// The initial state of a job, without known progress or assignments.
    pub fn new(job: Arc<OpenJob>, now: MonotonicTime) -> Self {
        Self {
            assigned_node: job.assigned_node.clone(),
            waiting: job.spec.tasks,
            priority: job.spec.priority,
            job,
            done: TaskSet::default(),
            placed: BTreeMap::new(),
            tasks_in_round: 0,
            failed_capacity_version: 0,
            not_before: MonotonicTime::default(),
            attempt: None,
            known_since: now,
            failures: FailureHistory::default(),
            preempting_until: None,
            awaiting_preemption: 0,
            reason: WaitingReason::New,
            finishing: false,
            started: false,
            first_maybe_waiting: 0,
        }
    }

    /// Whether its tasks must run together.
    pub fn is_gang(&self) -> bool {
        self.job.spec.job_type == JobType::Gang
    }

    /// Whether all tasks are done.
    pub fn all_done(&self) -> bool {
        self.done.count() >= self.job.spec.tasks
    }

    /// The tasks that are done.
    pub fn done(&self) -> &TaskSet {
        &self.done
    }

    /// The machine of each task that has an assignment, by task index.
    pub fn placed(&self) -> &BTreeMap<u32, MachineId> {
        &self.placed
    }

    /// Records that the task has an assignment on `machine`.
    pub fn place(&mut self, index: u32, machine: MachineId) {
        if self.placed.insert(index, machine).is_none() && !self.done.contains(index) {
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Records that the task no longer has an assignment on `machine`. Has no effect if it is placed
    /// elsewhere.
    pub fn unplace(&mut self, index: u32, machine: &MachineId) {
        if self.placed.get(&index) != Some(machine) {
            return;
        }
        self.placed.remove(&index);
        if !self.done.contains(index) {
            self.waiting += 1;
            self.first_maybe_waiting = self.first_maybe_waiting.min(index);
        }
    }

    /// Records that the task is done.
    pub fn mark_done(&mut self, index: u32) {
        if self.done.insert(index) && !self.placed.contains_key(&index) {
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Adds the progress recorded in a chunk.
    ///
    /// # Errors
    /// If `value` can't be read; nothing is added then.
    pub fn add_chunk(&mut self, chunk: u32, value: &str) -> Result<(), serde_json::Error> {
        let result = self.done.add_chunk(chunk, value);
        self.waiting = self.recount();
        result
    }

    /// Computes [`JobState::waiting_count`] from the sets of tasks instead of returning the cached number.
    pub fn recount(&self) -> u32 {
        let placed_undone = self.placed.keys().filter(|index| !self.done.contains(**index)).count() as u32;
        self.job.spec.tasks.saturating_sub(self.done.count() + placed_undone)
    }

    /// Number of tasks that are neither done nor placed.
    pub fn waiting_count(&self) -> u32 {
        self.waiting
    }

    /// Up to `limit` tasks that are neither done nor placed, lowest index first.
    pub fn waiting(&mut self, limit: usize) -> Vec<u32> {
        let tasks = self.job.spec.tasks;
        while self.first_maybe_waiting < tasks && !self.is_waiting(self.first_maybe_waiting) {
            self.first_maybe_waiting += 1;
        }
        let limit = limit.min(self.waiting as usize);
        (self.first_maybe_waiting..tasks).filter(|index| self.is_waiting(*index)).take(limit).collect()
    }

    fn is_waiting(&self, index: u32) -> bool {
        !self.done.contains(index) && !self.placed.contains_key(&index)
    }
}

#[cfg(test)]
mod tests;
