//! Blocking queries: reads that wait for a change. Their number and their wait are bounded, and each step
//! answers a bounded number of them.

use super::endpoints::ReadRequest;
use super::names::NameHash;
use pearford_scheduler::types::{Duration, MonotonicTime, RequestId};
use std::collections::BTreeSet;

/// Maximum number of queries answered in one step, so that a change that many queries wait for does not block
/// the node.
const MAX_WOKEN_PER_STEP: usize = 16;
/// Minimum time between evaluations of waiting list queries: each list iterates over all names.
const LIST_WAKE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct BlockingQuery {
    request: RequestId,
    read: ReadRequest,
    /// The job whose changes it waits for; none if it waits for changes of any job.
    name: Option<NameHash>,
    /// When it is answered even without a change.
    deadline: MonotonicTime,
}

/// The blocking queries of a node.
#[derive(Debug, Default)]
pub struct BlockingQueries {
    max_waiting: usize,
    waiting: Vec<BlockingQuery>,
    /// The earliest deadline of the waiting queries.
    next_deadline: MonotonicTime,
    /// Names that changed since the last complete pass over the queries.
    changed: BTreeSet<NameHash>,
    /// Whether any name changed since list queries were last evaluated.
    any_changed: bool,
    /// The earliest time of the next evaluation of list queries.
    next_list_wake: MonotonicTime,
}

impl BlockingQueries {
    /// Creates an empty set that accepts at most `max_waiting` queries.
    pub fn new(max_waiting: usize) -> Self {
        Self { max_waiting, ..Self::default() }
    }

    /// Number of waiting queries.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a waiting query. Returns false and drops the query if `max_waiting` queries wait already.
    pub fn wait(&mut self, request: RequestId, read: ReadRequest, now: MonotonicTime) -> bool {
        if self.waiting.len() >= self.max_waiting {
            return false;
        }
        let deadline = now + read.wait;
        self.next_deadline =
            if self.waiting.is_empty() { deadline } else { self.next_deadline.min(deadline) };
        let name = read.endpoint.job(&read.namespaces);
        self.waiting.push(BlockingQuery { request, read, name, deadline });
        true
    }

    /// Records that a name, or a native job that runs a part of it, has changed.
    pub fn changed(&mut self, name: NameHash) {
        self.any_changed = true;
        if !self.waiting.is_empty() {
            self.changed.insert(name);
        }
    }

    /// Evaluates the queries whose name changed or whose deadline has passed. `answer` gets whether the query
    /// is overdue and returns whether it answered the query; it must answer an overdue one.
    pub fn wake(
        &mut self,
        now: MonotonicTime,
        mut answer: impl FnMut(RequestId, &ReadRequest, bool) -> bool,
    ) {
        let wake_lists = self.any_changed && now >= self.next_list_wake;
        let idle = self.changed.is_empty() && !wake_lists && now < self.next_deadline;
        if self.waiting.is_empty() || idle {
            return;
        }
        let mut index = 0;
        let mut woken = 0;
        while index < self.waiting.len() {
            let query = &self.waiting[index];
            let overdue = now >= query.deadline;
            let changed = query.name.as_ref().map_or(wake_lists, |name| self.changed.contains(name));
            if !overdue && !changed {
                index += 1;
                continue;
            }
            if woken >= MAX_WOKEN_PER_STEP {
                return; // The other queries follow in the next step; `changed` is kept until then.
            }
            if answer(query.request, &query.read, overdue) {
                self.waiting.swap_remove(index);
                woken += 1;
            } else {
                index += 1;
            }
        }
        self.next_deadline = self.waiting.iter().map(|query| query.deadline).min().unwrap_or(now);
        self.changed.clear();
        if wake_lists {
            self.any_changed = false;
            self.next_list_wake = now + LIST_WAKE_INTERVAL;
        }
    }
}
