//! Queries that wait for a change: bounded in number and time, and woken a few at a time.

use super::names::NameHash;
use super::requests::Request;
use pearford_scheduler::types::{Duration, MonotonicTime, RequestId};
use std::collections::BTreeSet;

/// Answered in one step, so that a change that wakes many does not hold up the node.
const WOKEN_AT_ONCE: usize = 16;
/// Lists are told of changes this often at most: each is as long as there are names.
const LISTS_EVERY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Query {
    request: RequestId,
    asked: Request,
    /// The name whose changes it waits for; none: any.
    name: Option<NameHash>,
    until: MonotonicTime,
}

#[derive(Debug, Default)]
pub struct Queries {
    most: usize,
    waiting: Vec<Query>,
    /// When the first of them has waited long enough.
    next_overdue: MonotonicTime,
    /// Names that changed since the last look.
    changed: BTreeSet<NameHash>,
    any_changed: bool,
    next_lists: MonotonicTime,
}

impl Queries {
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Lets a query wait; false: too many do.
    pub fn wait(&mut self, request: RequestId, asked: Request, now: MonotonicTime) -> bool {
        if self.waiting.len() >= self.most {
            return false;
        }
        let until = now + asked.wait;
        self.next_overdue = if self.waiting.is_empty() { until } else { self.next_overdue.min(until) };
        let name = asked.ask.name(&asked.namespaces);
        self.waiting.push(Query { request, asked, name, until });
        true
    }

    pub fn changed(&mut self, name: NameHash) {
        self.any_changed = true;
        if !self.waiting.is_empty() {
            self.changed.insert(name);
        }
    }

    /// Goes through those that may have something new, or have waited long enough. `answer` says whether it
    /// has answered; it must if the query is overdue.
    pub fn wake(&mut self, now: MonotonicTime, mut answer: impl FnMut(RequestId, &Request, bool) -> bool) {
        let lists = self.any_changed && now >= self.next_lists;
        let idle = self.changed.is_empty() && !lists && now < self.next_overdue;
        if self.waiting.is_empty() || idle {
            return;
        }
        let (mut i, mut woken) = (0, 0);
        while i < self.waiting.len() {
            let query = &self.waiting[i];
            let overdue = now >= query.until;
            let new = query.name.as_ref().map_or(lists, |name| self.changed.contains(name));
            if !overdue && !new {
                i += 1;
                continue;
            }
            if woken >= WOKEN_AT_ONCE {
                return; // the rest with the next step: what has changed is kept until then
            }
            if answer(query.request, &query.asked, overdue) {
                self.waiting.swap_remove(i);
                woken += 1;
            } else {
                i += 1;
            }
        }
        self.next_overdue = self.waiting.iter().map(|q| q.until).min().unwrap_or(now);
        self.changed.clear();
        if lists {
            self.any_changed = false;
            self.next_lists = now + LISTS_EVERY;
        }
    }
}
