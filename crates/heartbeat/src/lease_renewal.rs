//! Until when a node may renew workers' leases: the bound behind every 200 that answers a report.
//!
//! A cancelled job's tasks must be gone within `cancel_s`, and the only end that needs nobody is a lease's. So a lease
//! is renewed only as long as it ends in time for every cancellation that this node can't know of, and for every start
//! that may still arrive of a job whose cancellation it does know of. The argument is in the design ("Outages").

use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How old a leader's look at the job records may be for starts to leave.
const FRESH: Duration = Duration::from_millis(5_000);
/// A node with a look as young has not lost the state service.
const RECENT: Duration = Duration::from_millis(3_000);
/// Machines that are named in one message; if there are more, none counts as free of doubt.
const NAMED: usize = 256;

/// From the leader, with each delegation: where starts may still arrive that it can neither call back nor disprove.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnacknowledgedStarts {
    pub fencing_token: FencingToken,
    /// Of the delegation that it goes with.
    pub sequence: u64,
    /// Machines to which a start is on its way, or has been sent without an answer in their present session; `None`:
    /// too many to be named.
    pub machines: Option<Vec<MachineId>>,
    /// Those of them whose sessions are to end: they are being returned for it, or the leader's own look is too old to
    /// tell whether the jobs are cancelled.
    pub never_renew: Vec<MachineId>,
}

impl UnacknowledgedStarts {
    pub fn new(
        fencing_token: FencingToken,
        sequence: u64,
        machines: Vec<MachineId>,
        never_renew: Vec<MachineId>,
    ) -> Self {
        let machines = (machines.len() <= NAMED).then_some(machines);
        Self { fencing_token, sequence, machines, never_renew }
    }
}

#[derive(Debug, Clone)]
struct AnnouncedStarts {
    fencing_token: FencingToken,
    sequence: u64,
    at: MonotonicTime,
    machines: Option<BTreeSet<MachineId>>,
    never_renew: BTreeSet<MachineId>,
}

/// Guards that tests take out, to prove that what checks them can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledCheck {
    /// The margin for drift and for what is under way.
    Margin(Duration),
    /// A look counts from when it was begun, not from its answer.
    ReadStart,
    /// A node that has not looked yet renews nothing.
    FirstRead,
    /// Where a start may still arrive, nothing is renewed without the state service.
    UnacknowledgedStarts,
    /// An answer that renews a lease stops what it lists of jobs that are over.
    Stops,
}

/// By what a node goes.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// `cancel_s` less the lease and a margin.
    pub hold: Duration,
    /// How old a leader's look may be for starts to leave.
    pub fresh: Duration,
    /// With a look as young a node has not lost the state service.
    pub recent: Duration,
}

impl Bounds {
    pub fn of(hold: Duration) -> Self {
        Self { hold, fresh: FRESH, recent: RECENT }
    }
}

/// One node's part.
#[derive(Debug, Clone)]
pub struct LeaseRenewal {
    bounds: Bounds,
    /// Beginning of the newest look at the job records that was answered.
    last_read: Option<MonotonicTime>,
    announced: Option<AnnouncedStarts>,
    out: Option<DisabledCheck>,
}

impl LeaseRenewal {
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, last_read: None, announced: None, out: None }
    }

    /// Takes a guard out, for tests.
    pub fn disable(&mut self, without: DisabledCheck) {
        self.out = Some(without);
    }

    /// A look at the job records that began at `began` has brought the copy up to date. Only one that the state service
    /// carried out after `began`: what it answers is as of then or later.
    pub fn records_read(&mut self, began: MonotonicTime, now: MonotonicTime) {
        let from = if self.out == Some(DisabledCheck::ReadStart) { now } else { began };
        self.last_read = self.last_read.max(Some(from));
    }

    /// Whether an answer that renews a lease stops what it lists of jobs that are over: always.
    pub fn stops(&self) -> bool {
        self.out != Some(DisabledCheck::Stops)
    }

    /// The leader tells where it has starts in doubt. An older word, however late, changes nothing.
    pub fn unacknowledged_starts_received(
        &mut self,
        unacknowledged_starts: UnacknowledgedStarts,
        now: MonotonicTime,
    ) {
        let UnacknowledgedStarts { fencing_token, sequence, machines, never_renew } = unacknowledged_starts;
        if self.announced.as_ref().is_some_and(|t| (fencing_token, sequence) <= (t.fencing_token, t.sequence))
        {
            return;
        }
        let machines = machines.map(|m| m.into_iter().collect());
        let never_renew = never_renew.into_iter().collect();
        self.announced = Some(AnnouncedStarts { fencing_token, sequence, at: now, machines, never_renew });
    }

    /// Whether starts may leave by this node's look.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        !self.is_blind_for(Duration::from_millis(0), now)
    }

    /// Whether its look has been too old for starts for so long already.
    pub fn is_blind_for(&self, time: Duration, now: MonotonicTime) -> bool {
        self.last_read.is_none_or(|last_read| now.since(last_read) >= self.bounds.fresh + time)
    }

    /// Whether this node's look is so young that it has not lost the state service: whoever leads can still return a
    /// machine where a start is in doubt.
    fn is_recent(&self, now: MonotonicTime) -> bool {
        self.last_read.is_some_and(|last_read| now.since(last_read) < self.bounds.recent)
    }

    fn within(&self, from: MonotonicTime, now: MonotonicTime) -> bool {
        let more = match self.out {
            Some(DisabledCheck::Margin(margin)) => margin,
            _ => Duration::from_millis(0),
        };
        now.since(from) < Duration::from_millis(self.bounds.hold.0 + more.0)
    }

    /// Whether it may renew leases at all.
    pub fn allows(&self, now: MonotonicTime) -> bool {
        match self.last_read {
            Some(last_read) => self.within(last_read, now),
            None => self.out == Some(DisabledCheck::FirstRead),
        }
    }

    /// Whether the leader, in its tenure or holding on, may renew a machine's lease. `unacknowledged`: a start of its own may
    /// still arrive there.
    pub fn leader_may_renew(&self, unacknowledged: bool, now: MonotonicTime) -> bool {
        self.allows(now)
            && (self.is_recent(now)
                || !unacknowledged
                || self.out == Some(DisabledCheck::UnacknowledgedStarts))
    }

    /// Whether this node may renew a machine's lease in the name of the leader with `fencing_token`. `tells`: every version
    /// that may lead tells its doubts, so that a leader which has told none is one that this node has not heard.
    pub fn delegate_may_renew(
        &self,
        machine: &MachineId,
        fencing_token: FencingToken,
        tells: bool,
        now: MonotonicTime,
    ) -> bool {
        if !self.allows(now) {
            return false;
        }
        if self.out == Some(DisabledCheck::UnacknowledgedStarts) {
            return true;
        }
        match self.announced.as_ref().filter(|t| t.fencing_token == fencing_token) {
            Some(announced) if announced.never_renew.contains(machine) => false,
            _ if self.is_recent(now) => true,
            // What was sent after the leader's last word was not cancelled `fresh` before that.
            Some(announced) => {
                let clear = announced.machines.as_ref().is_some_and(|m| !m.contains(machine));
                clear && self.within(announced.at.before(self.bounds.fresh), now)
            }
            None => !tells,
        }
    }
}

#[cfg(test)]
mod tests;
