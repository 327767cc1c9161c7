//! Which workers this node has sent to other nodes, when and for what reason.
//!
//! Used by the [`Delegate`](super::Delegate): a worker that comes back found nobody there and is answered
//! here, and workers are moved to the nodes that they are assigned to a few at a time.

use pearford_types::{Duration, MachineId, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// A worker that comes back within this time found that its assigned node does not answer.
const COMES_BACK_WITHIN: Duration = Duration::from_millis(30_000);
/// Period over which [`MAX_MOVES`] counts.
const MOVE_PERIOD: Duration = Duration::from_millis(1000);
/// Workers that are sent to their assigned nodes within [`MOVE_PERIOD`], so that they never move all at once.
pub(super) const MAX_MOVES: u32 = 60;

/// Why a worker is sent to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RedirectReason {
    /// Its machine is assigned to that node.
    AssignedTo(NodeName),
    /// This node has not heard the leader since that time; another one may reach it.
    LeaderUnreachable { since: MonotonicTime },
}

impl RedirectReason {
    fn unreachable_since(&self) -> Option<MonotonicTime> {
        match self {
            RedirectReason::AssignedTo(_) => None,
            RedirectReason::LeaderUnreachable { since } => Some(*since),
        }
    }
}

/// The last redirect of a worker.
#[derive(Debug, Clone, Copy)]
struct Redirect {
    at: MonotonicTime,
    /// Since when the leader was unreachable, if that was the reason.
    unreachable_since: Option<MonotonicTime>,
}

/// How many workers have been sent to their assigned nodes since the period began.
#[derive(Debug, Clone, Default)]
struct MoveCount {
    period_began: MonotonicTime,
    moves: u32,
}

/// The redirects of this node.
#[derive(Debug, Clone, Default)]
pub(super) struct Redirects {
    last: BTreeMap<MachineId, Redirect>,
    move_count: MoveCount,
}

impl Redirects {
    /// Whether the worker was sent elsewhere for the same reason before, and so found nobody there.
    ///
    /// A worker that was sent to its assigned node, and is now here because that node has lost the leader
    /// too, was not: it must go on until it meets the leader. (Otherwise 440 machines were answered by nodes
    /// that the leader did not hear, and given up; simulated fleet "andina", fault "apart".)
    pub(super) fn came_back(&self, machine: &MachineId, reason: &RedirectReason, now: MonotonicTime) -> bool {
        let Some(last) = self.last.get(machine) else { return false };
        match reason {
            RedirectReason::LeaderUnreachable { since } => last.unreachable_since == Some(*since),
            RedirectReason::AssignedTo(_) => {
                last.unreachable_since.is_none() && now.since(last.at) < COMES_BACK_WITHIN
            }
        }
    }

    /// Counts one more worker that is to move to its assigned node; false: too many have within this period.
    pub(super) fn may_move(&mut self, now: MonotonicTime) -> bool {
        if now.since(self.move_count.period_began) >= MOVE_PERIOD {
            self.move_count = MoveCount { period_began: now, moves: 0 };
        }
        self.move_count.moves += 1;
        self.move_count.moves <= MAX_MOVES
    }

    /// A worker is sent elsewhere.
    pub(super) fn record(&mut self, machine: MachineId, reason: &RedirectReason, now: MonotonicTime) {
        let redirect = Redirect { at: now, unreachable_since: reason.unreachable_since() };
        self.last.insert(machine, redirect);
    }

    /// Forgets what happened long ago, but for redirects of workers that may still come back because the
    /// leader has been unreachable since `last_delegation_at`.
    pub(super) fn prune(&mut self, last_delegation_at: Option<MonotonicTime>, now: MonotonicTime) {
        let still_unreachable = |redirect: &Redirect| {
            redirect.unreachable_since.is_some() && redirect.unreachable_since == last_delegation_at
        };
        self.last
            .retain(|_, redirect| now.since(redirect.at) < COMES_BACK_WITHIN || still_unreachable(redirect));
    }
}
