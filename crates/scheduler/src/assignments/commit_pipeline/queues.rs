//! The keys that wait to be written, by priority, and the order in which a batch takes them.

use std::collections::VecDeque;

/// How soon a change is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommitPriority {
    /// Saves a later reader some work: written while nothing else is, or while the write budget is ample.
    Background,
    /// Something waits for it, but not users: gets its share however much is urgent.
    Normal,
    /// A start or a job's terminal status waits for it.
    Urgent,
    /// The start of a service's replica waits for it, which users of that service notice at once.
    Critical,
}

/// Number of priorities.
const PRIORITIES: usize = 4;

/// What a batch takes besides urgent changes.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchShares {
    /// Changes that are taken from normal ones before anything else.
    pub(super) reserved_for_normal: usize,
    /// Whether normal and background changes fill what urgent ones leave.
    pub(super) fill_with_deferred: bool,
}

/// Keys that wait, each at most once per priority.
#[derive(Debug, Default)]
pub(super) struct CommitQueues {
    by_priority: [VecDeque<String>; PRIORITIES],
}

impl CommitQueues {
    pub(super) fn push_back(&mut self, priority: CommitPriority, key: String) {
        self.queue_mut(priority).push_back(key);
    }

    pub(super) fn push_front(&mut self, priority: CommitPriority, key: String) {
        self.queue_mut(priority).push_front(key);
    }

    /// The key that goes next into a batch which already holds `taken` changes.
    pub(super) fn pop_next(&mut self, taken: usize, shares: BatchShares) -> Option<String> {
        if taken < shares.reserved_for_normal
            && let Some(key) = self.pop(CommitPriority::Normal)
        {
            return Some(key);
        }
        // However many replicas wait, every second change goes to other starts, so that none starves.
        if taken.is_multiple_of(2)
            && let Some(key) = self.pop(CommitPriority::Critical)
        {
            return Some(key);
        }
        let urgent = self.pop(CommitPriority::Urgent).or_else(|| self.pop(CommitPriority::Critical));
        if urgent.is_some() || !shares.fill_with_deferred {
            return urgent;
        }
        self.pop(CommitPriority::Normal).or_else(|| self.pop(CommitPriority::Background))
    }

    /// Number of keys that wait.
    pub(super) fn len(&self) -> usize {
        self.urgent_len() + self.deferred_len()
    }

    /// Number of keys that wait with priority urgent or critical.
    pub(super) fn urgent_len(&self) -> usize {
        self.queue(CommitPriority::Critical).len() + self.queue(CommitPriority::Urgent).len()
    }

    /// Number of keys that wait with priority normal or background.
    pub(super) fn deferred_len(&self) -> usize {
        self.queue(CommitPriority::Normal).len() + self.queue(CommitPriority::Background).len()
    }

    fn pop(&mut self, priority: CommitPriority) -> Option<String> {
        self.queue_mut(priority).pop_front()
    }

    fn queue(&self, priority: CommitPriority) -> &VecDeque<String> {
        &self.by_priority[priority as usize]
    }

    fn queue_mut(&mut self, priority: CommitPriority) -> &mut VecDeque<String> {
        &mut self.by_priority[priority as usize]
    }
}
