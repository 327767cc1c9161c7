//! Blocking queries: reads that wait for a change, bounded in number and time, and woken a few in one step.

use super::endpoints::ReadRequest;
use super::names::NameHash;
use pearford_scheduler::types::{Duration, MonotonicTime, RequestId};
use std::collections::BTreeSet;

/// Queries answered in one step, so that a change that wakes many does not hold up the node.
const MAX_WOKEN_PER_STEP: usize = 16;
/// Time between wakes of queries for lists, at least: each list goes through all names.
const LIST_WAKE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct BlockingQuery {
    request: RequestId,
    read: ReadRequest,
    /// The job whose changes it waits for; none if any job's change may matter.
    name: Option<NameHash>,
    /// When it is answered, changed or not.
    deadline: MonotonicTime,
}

/// The blocking queries of a node.
#[derive(Debug, Default)]
pub struct BlockingQueries {
    max_waiting: usize,
    waiting: Vec<BlockingQuery>,
    /// The earliest deadline of those that wait.
    next_deadline: MonotonicTime,
    /// Names that changed since queries were last woken.
    changed: BTreeSet<NameHash>,
    /// Whether any name changed since lists were last woken.
    any_changed: bool,
    /// When lists may be woken again.
    next_list_wake: MonotonicTime,
}

impl BlockingQueries {
    /// No queries, of which at most `max_waiting` may wait.
    pub fn new(max_waiting: usize) -> Self {
        Self { max_waiting, ..Self::default() }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Lets a query wait. Returns false, and forgets it, if too many do.
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

    /// Takes in that a name, or a native job that runs a part of it, has changed.
    pub fn changed(&mut self, name: NameHash) {
        self.any_changed = true;
        if !self.waiting.is_empty() {
            self.changed.insert(name);
        }
    }

    /// Goes through the queries that may have something new or are past their deadline. `answer` is given whether
    /// the query is overdue and returns whether it has answered; it must answer an overdue one.
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
                return; // The others follow in the next step: what has changed is kept until then.
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
