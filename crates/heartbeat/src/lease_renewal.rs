//! Until when a node may renew workers' leases: the bound behind every 200 that answers a heartbeat.
//!
//! The tasks of a cancelled job must be gone within `cancel_s`, and the only end of a task that needs no node
//! is the expiry of its worker's lease. So a lease is renewed only while it ends in time for every
//! cancellation that this node can't know of, and for every start that may still arrive for a job whose
//! cancellation it does know of. The argument is in the design document, section "Outages".
//!
//! The controller asks [`LeaseRenewal`] before it answers a heartbeat, as leader or as delegate.

use crate::checks::{DisabledCheck, SafetyChecks};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How old a leader's read of the job records may be for starts to leave.
const MAX_READ_AGE_FOR_STARTS: Duration = Duration::from_millis(5_000);
/// A node whose read is as young has not lost the key-value store.
const RECENT_READ_AGE: Duration = Duration::from_millis(3_000);
/// Most machines that are named in one message. If there are more, a start may be on its way to any machine.
const MAX_NAMED_MACHINES: usize = 256;

/// Sent by the leader with each delegation: where starts may still arrive that it can neither call back nor
/// rule out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnacknowledgedStarts {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// Sequence number of the delegation that it goes with.
    pub sequence: u64,
    /// Machines to which a start is on its way, or was sent without an answer in their present worker epoch.
    /// `None`: too many to be named.
    pub machines: Option<Vec<MachineId>>,
    /// Those of them whose worker epochs are to end: they are being returned for an unacknowledged start, or
    /// the leader's own read is too old to tell whether the jobs are cancelled.
    pub never_renew: Vec<MachineId>,
}

impl UnacknowledgedStarts {
    /// The message, with `machines` left out if there are too many to be named.
    pub fn new(
        fencing_token: FencingToken,
        sequence: u64,
        machines: Vec<MachineId>,
        never_renew: Vec<MachineId>,
    ) -> Self {
        let machines = (machines.len() <= MAX_NAMED_MACHINES).then_some(machines);
        Self { fencing_token, sequence, machines, never_renew }
    }
}

/// The newest [`UnacknowledgedStarts`], as received.
#[derive(Debug, Clone)]
struct AnnouncedStarts {
    fencing_token: FencingToken,
    sequence: u64,
    received_at: MonotonicTime,
    machines: Option<BTreeSet<MachineId>>,
    never_renew: BTreeSet<MachineId>,
}

/// The ages of a node's newest read of the job records that decide what it may do.
#[derive(Debug, Clone, Copy)]
pub struct RenewalBounds {
    /// How old the read may be for leases to be renewed: `cancel_s` less the lease and a margin.
    pub answer_window: Duration,
    /// How old a leader's read may be for starts to leave.
    pub max_age_for_starts: Duration,
    /// A node whose read is as young has not lost the key-value store.
    pub recent_age: Duration,
}

impl RenewalBounds {
    /// The service's bounds; `answer_window` follows from its settings.
    pub fn with_answer_window(answer_window: Duration) -> Self {
        Self { answer_window, max_age_for_starts: MAX_READ_AGE_FOR_STARTS, recent_age: RECENT_READ_AGE }
    }
}

/// Decides on one node whether leases may be renewed.
#[derive(Debug, Clone)]
pub struct LeaseRenewal {
    bounds: RenewalBounds,
    /// When the newest read of the job records that was answered had been begun.
    last_read: Option<MonotonicTime>,
    announced: Option<AnnouncedStarts>,
    checks: SafetyChecks,
}

impl LeaseRenewal {
    /// A node that has not read the job records yet: it renews nothing.
    pub fn new(bounds: RenewalBounds) -> Self {
        Self { bounds, last_read: None, announced: None, checks: SafetyChecks::default() }
    }

    /// Switches a safety check off, for tests.
    pub fn disable(&mut self, check: DisabledCheck) {
        self.checks.disable(check);
    }

    /// A read of the job records that was begun at `began` has brought this node's copy up to date. To be
    /// called only for a read that the key-value store carried out after `began`: its answer is as of then or
    /// later.
    pub fn records_read(&mut self, began: MonotonicTime, now: MonotonicTime) {
        let from = if self.checks.performs(DisabledCheck::ReadStart) { began } else { now };
        self.last_read = self.last_read.max(Some(from));
    }

    /// Whether an answer that renews a lease stops the listed tasks of finished jobs: always, save in tests.
    pub fn stops_finished_tasks(&self) -> bool {
        self.checks.performs(DisabledCheck::Stops)
    }

    /// The leader announces where its starts may still arrive. An older announcement, however late, changes
    /// nothing.
    pub fn unacknowledged_starts_received(&mut self, starts: UnacknowledgedStarts, now: MonotonicTime) {
        let UnacknowledgedStarts { fencing_token, sequence, machines, never_renew } = starts;
        let known = self.announced.as_ref().map(|known| (known.fencing_token, known.sequence));
        if known.is_some_and(|known| (fencing_token, sequence) <= known) {
            return;
        }
        self.announced = Some(AnnouncedStarts {
            fencing_token,
            sequence,
            received_at: now,
            machines: machines.map(|machines| machines.into_iter().collect()),
            never_renew: never_renew.into_iter().collect(),
        });
    }

    /// Whether this node's read is young enough for starts to leave.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        !self.is_stale_for(Duration::from_millis(0), now)
    }

    /// Whether this node's read has been too old for starts for at least `time`.
    pub fn is_stale_for(&self, time: Duration, now: MonotonicTime) -> bool {
        self.last_read.is_none_or(|last_read| now.since(last_read) >= self.bounds.max_age_for_starts + time)
    }

    /// Whether this node's read is so young that it has not lost the key-value store: then whoever leads can
    /// still return a machine with an unacknowledged start.
    fn is_recent(&self, now: MonotonicTime) -> bool {
        self.last_read.is_some_and(|last_read| now.since(last_read) < self.bounds.recent_age)
    }

    /// Whether leases may be renewed by what was known at `known_at`.
    fn within_answer_window(&self, known_at: MonotonicTime, now: MonotonicTime) -> bool {
        now.since(known_at) < self.bounds.answer_window + self.checks.skipped_margin()
    }

    /// Whether this node may renew leases at all.
    pub fn may_renew(&self, now: MonotonicTime) -> bool {
        match self.last_read {
            Some(last_read) => self.within_answer_window(last_read, now),
            None => !self.checks.performs(DisabledCheck::FirstRead),
        }
    }

    /// Whether the leader may renew a machine's lease, during its leadership lease or while it holds on
    /// without the key-value store. `unacknowledged`: a start of its own may still arrive there.
    pub fn leader_may_renew(&self, unacknowledged: bool, now: MonotonicTime) -> bool {
        let start_may_arrive = unacknowledged && self.checks.performs(DisabledCheck::UnacknowledgedStarts);
        self.may_renew(now) && (self.is_recent(now) || !start_may_arrive)
    }

    /// Whether this node may renew a machine's lease in the name of the leader with `fencing_token`.
    /// `leaders_announce`: every version that may lead announces its unacknowledged starts, so a leader that
    /// has announced none is one that this node has not heard.
    pub fn delegate_may_renew(
        &self,
        machine: &MachineId,
        fencing_token: FencingToken,
        leaders_announce: bool,
        now: MonotonicTime,
    ) -> bool {
        if !self.may_renew(now) {
            return false;
        }
        if !self.checks.performs(DisabledCheck::UnacknowledgedStarts) {
            return true;
        }
        let announced = self.announced.as_ref().filter(|known| known.fencing_token == fencing_token);
        match announced {
            Some(announced) if announced.never_renew.contains(machine) => false,
            _ if self.is_recent(now) => true,
            Some(announced) => self.start_is_ruled_out(machine, announced, now),
            None => !leaders_announce,
        }
    }

    /// Whether no start for a job cancelled too long ago may arrive at a machine, by the leader's
    /// announcement. What the leader sent after it was for jobs not cancelled `fresh` before it.
    fn start_is_ruled_out(
        &self,
        machine: &MachineId,
        announced: &AnnouncedStarts,
        now: MonotonicTime,
    ) -> bool {
        let known_at = announced.received_at.before(self.bounds.max_age_for_starts);
        let named = announced.machines.as_ref();
        named.is_some_and(|machines| !machines.contains(machine)) && self.within_answer_window(known_at, now)
    }
}

#[cfg(test)]
mod tests;
