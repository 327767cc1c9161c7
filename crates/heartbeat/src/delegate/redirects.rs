//! Records which workers this node has redirected to other nodes, when and for what reason.
//!
//! Used by the [`Delegate`](super::Delegate). A worker that returns after a redirect got no answer from the
//! other nodes, and is answered here. The rate of redirects to assigned nodes is limited.

use pearford_types::{Duration, MachineId, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// If a worker returns within this time, its assigned node did not answer it.
const RETURN_WINDOW: Duration = Duration::from_millis(30_000);
/// Period over which [`MAX_MOVES`] counts.
const MOVE_PERIOD: Duration = Duration::from_millis(1000);
/// Maximum number of workers redirected to their assigned nodes per [`MOVE_PERIOD`], so that they never all
/// move at once.
pub(super) const MAX_MOVES: u32 = 60;

/// Why a worker is redirected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RedirectReason {
    /// Its machine is assigned to that node.
    AssignedTo(NodeName),
    /// This node has received no delegation since that time; another one may reach the leader.
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

/// Number of workers redirected to their assigned nodes in the current period.
#[derive(Debug, Clone, Default)]
struct MoveCount {
    period_start: MonotonicTime,
    moves: u32,
}

/// The redirects of this node.
#[derive(Debug, Clone, Default)]
pub(super) struct Redirects {
    last: BTreeMap<MachineId, Redirect>,
    move_count: MoveCount,
}

impl Redirects {
    /// Whether the worker was already redirected for the same reason, so that its return means that no other
    /// node answered it.
    ///
    /// A redirect to the assigned node does not count once this node has lost the leader: the worker may be
    /// here because the assigned node has lost the leader too, and must try the other nodes until it finds one
    /// that reaches the leader. If it did count, nodes from which the leader receives nothing would answer the
    /// workers, and the leader would declare their machines lost.
    pub(super) fn has_returned(
        &self,
        machine: &MachineId,
        reason: &RedirectReason,
        now: MonotonicTime,
    ) -> bool {
        let Some(last) = self.last.get(machine) else { return false };
        match reason {
            RedirectReason::LeaderUnreachable { since } => last.unreachable_since == Some(*since),
            RedirectReason::AssignedTo(_) => {
                last.unreachable_since.is_none() && now.since(last.at) < RETURN_WINDOW
            }
        }
    }

    /// Counts a worker that is to be redirected to its assigned node. Returns false if the limit of this
    /// period is exceeded and the worker may not be redirected.
    pub(super) fn count_move(&mut self, now: MonotonicTime) -> bool {
        if now.since(self.move_count.period_start) >= MOVE_PERIOD {
            self.move_count = MoveCount { period_start: now, moves: 0 };
        }
        self.move_count.moves += 1;
        self.move_count.moves <= MAX_MOVES
    }

    /// Records the redirect of a worker.
    pub(super) fn record(&mut self, machine: MachineId, reason: &RedirectReason, now: MonotonicTime) {
        let redirect = Redirect { at: now, unreachable_since: reason.unreachable_since() };
        self.last.insert(machine, redirect);
    }

    /// Removes old redirects, except those for the reason that the leader has been unreachable since
    /// `last_delegation_at`: while it still is, the workers may return at any time.
    pub(super) fn prune(&mut self, last_delegation_at: Option<MonotonicTime>, now: MonotonicTime) {
        let still_unreachable = |redirect: &Redirect| {
            redirect.unreachable_since.is_some() && redirect.unreachable_since == last_delegation_at
        };
        self.last.retain(|_, redirect| now.since(redirect.at) < RETURN_WINDOW || still_unreachable(redirect));
    }
}
