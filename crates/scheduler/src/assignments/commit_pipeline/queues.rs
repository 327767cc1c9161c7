//! Queues of keys to write, by priority, and the order in which a batch takes them.

use std::collections::VecDeque;

/// Urgency of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommitPriority {
    /// Only saves work for a later reader: written while no other change waits, or if the write budget is
    /// ample.
    Background,
    /// Other work waits for it, but no user does: gets a reserved share regardless of the urgent backlog.
    Normal,
    /// The start of a task or a job's terminal status waits for it.
    Urgent,
    /// The start of a service's replica waits for it: a delay affects the users of that service directly.
    Critical,
}

/// Number of priorities.
const PRIORITIES: usize = 4;

/// Shares of a batch for changes that aren't urgent.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchShares {
    /// Number of normal changes that are taken before all others.
    pub(super) reserved_for_normal: usize,
    /// Whether normal and background changes fill the space that urgent ones leave.
    pub(super) fill_with_deferred: bool,
}

/// Queued keys, one queue per priority.
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

    /// The next key for a batch that already has `taken` changes.
    pub(super) fn pop_next(&mut self, taken: usize, shares: BatchShares) -> Option<String> {
        if taken < shares.reserved_for_normal
            && let Some(key) = self.pop(CommitPriority::Normal)
        {
            return Some(key);
        }
        // Critical and urgent changes alternate, so that a backlog of critical ones doesn't starve other
        // starts.
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

    /// Number of queued keys.
    pub(super) fn len(&self) -> usize {
        self.urgent_len() + self.deferred_len()
    }

    /// Number of keys queued with priority urgent or critical.
    pub(super) fn urgent_len(&self) -> usize {
        self.queue(CommitPriority::Critical).len() + self.queue(CommitPriority::Urgent).len()
    }

    /// Number of keys queued with priority normal or background.
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
