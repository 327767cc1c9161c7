//! Bounds how long a node may renew workers' leases. A node answers a heartbeat with 200 only within this
//! bound.
//!
//! The tasks of a cancelled job must have ended within `cancel_s`, and the only way for a task to end without
//! any node's help is the expiry of its worker's lease. So a node renews a lease only if the lease would
//! expire in time for every cancellation that the node can't know of, and for every start that may still
//! arrive for a job whose cancellation it knows of. The argument is in `docs/design.md`, "Outages".
//!
//! The controller consults [`LeaseRenewal`] before it answers a heartbeat, as leader or as delegate.

use crate::checks::{DisabledCheck, SafetyChecks};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A leader sends starts only while its newest read of the job records is younger than this.
const MAX_READ_AGE_FOR_STARTS: Duration = Duration::from_millis(5_000);
/// A node whose newest read is younger than this counts as connected to the key-value store.
const RECENT_READ_AGE: Duration = Duration::from_millis(3_000);
/// Maximum number of machines listed in one message. If there are more, the message lists none and stands for
/// all machines.
const MAX_LISTED_MACHINES: usize = 256;

/// Sent by the leader with each delegation: the machines at which starts may still arrive that the leader can
/// neither revoke nor rule out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnacknowledgedStarts {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// Sequence number of the delegation with which it is sent.
    pub sequence: u64,
    /// Machines to which a start is in flight, or was sent without an answer in their current worker epoch.
    /// `None`: too many to list, so it may be any machine.
    pub machines: Option<Vec<MachineId>>,
    /// Those of them whose worker epochs are to end: they are being returned because of an unacknowledged
    /// start, or the leader's own read is too old to tell whether the jobs are cancelled.
    pub never_renew: Vec<MachineId>,
}

impl UnacknowledgedStarts {
    /// The message, without `machines` if there are too many to list.
    pub fn new(
        fencing_token: FencingToken,
        sequence: u64,
        machines: Vec<MachineId>,
        never_renew: Vec<MachineId>,
    ) -> Self {
        let machines = (machines.len() <= MAX_LISTED_MACHINES).then_some(machines);
        Self { fencing_token, sequence, machines, never_renew }
    }
}

/// The newest [`UnacknowledgedStarts`] that this node has received.
#[derive(Debug, Clone)]
struct AnnouncedStarts {
    fencing_token: FencingToken,
    sequence: u64,
    received_at: MonotonicTime,
    machines: Option<BTreeSet<MachineId>>,
    never_renew: BTreeSet<MachineId>,
}

/// Bounds on the age of a node's newest read of the job records.
#[derive(Debug, Clone, Copy)]
pub struct RenewalBounds {
    /// Leases may be renewed while the read is younger than this: `cancel_s` less the lease and a margin.
    pub answer_window: Duration,
    /// A leader may send starts while its read is younger than this.
    pub max_age_for_starts: Duration,
    /// A node whose read is younger than this counts as connected to the key-value store.
    pub recent_age: Duration,
}

impl RenewalBounds {
    /// The bounds that the service uses; `answer_window` follows from its settings.
    pub fn with_answer_window(answer_window: Duration) -> Self {
        Self { answer_window, max_age_for_starts: MAX_READ_AGE_FOR_STARTS, recent_age: RECENT_READ_AGE }
    }
}

/// Decides whether a node may renew leases.
#[derive(Debug, Clone)]
pub struct LeaseRenewal {
    bounds: RenewalBounds,
    /// When the newest successful read of the job records was started.
    last_read: Option<MonotonicTime>,
    announced: Option<AnnouncedStarts>,
    checks: SafetyChecks,
}

impl LeaseRenewal {
    /// For a node that has not read the job records yet: it may renew no lease.
    pub fn new(bounds: RenewalBounds) -> Self {
        Self { bounds, last_read: None, announced: None, checks: SafetyChecks::default() }
    }

    /// Disables a safety check, for tests.
    pub fn disable(&mut self, check: DisabledCheck) {
        self.checks.disable(check);
    }

    /// Records that a read of the job records, started at `started_at`, has updated this node's copy. The
    /// key-value store must have carried out the read after `started_at`, so that the copy is as of that time
    /// or later.
    pub fn records_read(&mut self, started_at: MonotonicTime, now: MonotonicTime) {
        let read_at = if self.checks.is_enabled(DisabledCheck::ReadStart) { started_at } else { now };
        self.last_read = self.last_read.max(Some(read_at));
    }

    /// Whether an answer that renews a lease stops the reported tasks of finished jobs. Always true except in
    /// tests.
    pub fn stops_finished_tasks(&self) -> bool {
        self.checks.is_enabled(DisabledCheck::Stops)
    }

    /// Records the leader's announcement of its unacknowledged starts. An announcement older than the known
    /// one is ignored.
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

    /// Whether this node's read is recent enough for a leader to send starts.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        !self.is_stale_for(Duration::from_millis(0), now)
    }

    /// Whether this node's read has been too old to send starts for at least `time`.
    pub fn is_stale_for(&self, time: Duration, now: MonotonicTime) -> bool {
        self.last_read.is_none_or(|last_read| now.since(last_read) >= self.bounds.max_age_for_starts + time)
    }

    /// Whether this node's read is so recent that the key-value store counts as reachable. While it is, the
    /// current leader can return a machine with an unacknowledged start.
    fn is_recent(&self, now: MonotonicTime) -> bool {
        self.last_read.is_some_and(|last_read| now.since(last_read) < self.bounds.recent_age)
    }

    /// Whether leases may be renewed on the basis of information as of `as_of`.
    fn within_answer_window(&self, as_of: MonotonicTime, now: MonotonicTime) -> bool {
        now.since(as_of) < self.bounds.answer_window + self.checks.disabled_margin()
    }

    /// Whether this node may renew leases at all.
    pub fn may_renew(&self, now: MonotonicTime) -> bool {
        match self.last_read {
            Some(last_read) => self.within_answer_window(last_read, now),
            None => !self.checks.is_enabled(DisabledCheck::FirstRead),
        }
    }

    /// Whether the leader may renew a machine's lease, during its leadership lease or while it keeps leading
    /// without the key-value store. `unacknowledged`: a start of this leader may still arrive at the machine.
    pub fn leader_may_renew(&self, unacknowledged: bool, now: MonotonicTime) -> bool {
        let start_may_arrive = unacknowledged && self.checks.is_enabled(DisabledCheck::UnacknowledgedStarts);
        self.may_renew(now) && (self.is_recent(now) || !start_may_arrive)
    }

    /// Whether this node may renew a machine's lease on behalf of the leader with `fencing_token`.
    /// `leaders_announce`: every version that may lead announces its unacknowledged starts. If there is no
    /// announcement of this leader, then this node has missed it.
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
        if !self.checks.is_enabled(DisabledCheck::UnacknowledgedStarts) {
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

    /// Whether the leader's announcement rules out that a start for a job cancelled too long ago arrives at a
    /// machine. Starts sent after the announcement are for jobs that were not yet cancelled
    /// `max_age_for_starts` before it.
    fn start_is_ruled_out(
        &self,
        machine: &MachineId,
        announced: &AnnouncedStarts,
        now: MonotonicTime,
    ) -> bool {
        let as_of = announced.received_at.before(self.bounds.max_age_for_starts);
        let listed = announced.machines.as_ref();
        listed.is_some_and(|machines| !machines.contains(machine)) && self.within_answer_window(as_of, now)
    }
}

#[cfg(test)]
mod tests;
