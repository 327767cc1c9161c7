//! Nodes that can't reach one another, but the key-value store: what they report through it.
//!
//! A node that doesn't hear the leader writes a record of its own with the fencing token of that leader and
//! how many workers of each zone it answers. From it the leader learns two things that silence can't tell it:
//! that a zone it doesn't hear is alive, and that more workers are on the other side of a network partition,
//! where another node should lead. Nothing is proved by it: it only keeps machines from being returned, and
//! lets a leader resign.
//!
//! The controller drives [`IsolationReporter`] on every node, the leader reads into [`IsolationReports`].

use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Revision, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How often an isolated node writes its record, each time a write to the key-value store. Machines whose
/// leases ran out are forgotten as often.
const REPORT_INTERVAL: Duration = Duration::from_millis(5_000);
/// How long a record counts after it was read: one more may be late.
const REPORT_LIFETIME: Duration = Duration::from_millis(12_000);
/// How many times the leader's own workers another node must answer for the leader to resign: each change of
/// leader costs seconds, so a few more are no reason.
const OUTNUMBERED_FACTOR: f64 = 1.25;
/// By how many workers, at least, another node must have more than the leader.
const OUTNUMBERED_BY: u32 = 3;

/// What a node reports that doesn't hear the leader. Stored in the key-value store as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IsolationReport {
    /// Fencing token of the leader that the node doesn't hear.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// How many workers the node answers, by their zone.
    #[serde(rename = "heard")]
    pub workers_by_zone: BTreeMap<Zone, u32>,
}

/// Zone of a worker, and when this node answered it last.
#[derive(Debug)]
struct AnsweredWorker {
    zone: Zone,
    answered_at: MonotonicTime,
}

/// The part of every node: which workers it answers, and when to report so.
#[derive(Debug, Default)]
pub struct IsolationReporter {
    answered: BTreeMap<MachineId, AnsweredWorker>,
    /// Fencing token in the last report.
    reported_token: FencingToken,
    next_report_at: MonotonicTime,
    next_prune_at: MonotonicTime,
}

impl IsolationReporter {
    /// This node has answered the heartbeat of a worker, whose lease now lasts for `lease`.
    pub fn heartbeat_answered(
        &mut self,
        machine: &MachineId,
        zone: &Zone,
        lease: Duration,
        now: MonotonicTime,
    ) {
        self.answered.insert(machine.clone(), AnsweredWorker { zone: zone.clone(), answered_at: now });
        if now >= self.next_prune_at {
            self.next_prune_at = now + REPORT_INTERVAL;
            self.forget_expired(lease, now);
        }
    }

    /// The report to write now, if it is time for one. It counts the workers that this node has answered:
    /// those of its `own_zone`, and those of other zones since it is isolated, at `isolated_since`.
    /// `fencing_token` is that of the leader that this node doesn't hear.
    pub fn isolation_report(
        &mut self,
        fencing_token: FencingToken,
        isolated_since: MonotonicTime,
        own_zone: &Zone,
        lease: Duration,
        now: MonotonicTime,
    ) -> Option<IsolationReport> {
        if now < self.next_report_at && fencing_token == self.reported_token {
            return None;
        }
        // A worker whose lease this node has renewed counts, even while it tries other nodes that don't
        // answer.
        self.forget_expired(lease, now);
        self.reported_token = fencing_token;
        self.next_report_at = now + REPORT_INTERVAL;
        let mut workers_by_zone = BTreeMap::new();
        for worker in self.answered.values() {
            if worker.zone == *own_zone || worker.answered_at >= isolated_since {
                *workers_by_zone.entry(worker.zone.clone()).or_default() += 1;
            }
        }
        Some(IsolationReport { fencing_token, workers_by_zone })
    }

    fn forget_expired(&mut self, lease: Duration, now: MonotonicTime) {
        self.answered.retain(|_, worker| now.since(worker.answered_at) < lease);
    }
}

/// A report as the leader read it.
#[derive(Debug)]
struct StoredReport {
    /// Revision of the record in the key-value store.
    revision: Revision,
    /// When this revision was first read.
    read_at: MonotonicTime,
    report: IsolationReport,
}

/// The leader's part: the newest report of each node.
#[derive(Debug, Default)]
pub struct IsolationReports(BTreeMap<NodeName, StoredReport>);

impl IsolationReports {
    /// Takes in a report as read from the key-value store at `revision`. A revision that was read before, or
    /// an older one, changes nothing: it does not become younger by being read again.
    pub fn update(
        &mut self,
        node: NodeName,
        revision: Revision,
        report: IsolationReport,
        now: MonotonicTime,
    ) {
        if self.0.get(&node).is_none_or(|known| known.revision < revision) {
            self.0.insert(node, StoredReport { revision, read_at: now, report });
        }
    }

    fn recent(&self, now: MonotonicTime) -> impl Iterator<Item = &IsolationReport> {
        let stored_reports = self.0.values();
        stored_reports
            .filter(move |stored| now.since(stored.read_at) < REPORT_LIFETIME)
            .map(|stored| &stored.report)
    }

    /// Zones whose workers are answered by isolated nodes, whichever leader these name: their leases live on.
    pub fn live_zones(&self, now: MonotonicTime) -> BTreeSet<Zone> {
        self.recent(now).flat_map(|report| report.workers_by_zone.keys().cloned()).collect()
    }

    /// Whether an isolated node answers so many more workers than the leader with `fencing_token` that one on
    /// its side should lead. `own_workers` counts the leader's workers; it is called only where some node is
    /// isolated.
    pub fn is_outnumbered(
        &self,
        own_workers: impl FnOnce() -> u32,
        fencing_token: FencingToken,
        now: MonotonicTime,
    ) -> bool {
        let of_this_leader = self.recent(now).filter(|report| report.fencing_token == fencing_token);
        let counts = of_this_leader.map(|report| report.workers_by_zone.values().sum::<u32>());
        let most = counts.max().unwrap_or(0);
        if most < OUTNUMBERED_BY {
            return false;
        }
        let own = own_workers();
        most >= own + OUTNUMBERED_BY && f64::from(most) > f64::from(own) * OUTNUMBERED_FACTOR
    }
}

#[cfg(test)]
mod tests;
