//! Reports through the key-value store by nodes that can reach it, but not the leader.
//!
//! A node that receives no delegations from the leader writes a record with that leader's fencing token and
//! the number of workers that it answers in each zone. The leader learns two things from such records that
//! missing messages can't tell it: that a zone from which it receives nothing is alive, and that more workers
//! are on the other side of a network partition, where another node should lead. The reports prove nothing
//! about tasks: they only prevent machines from being returned, and let a leader resign.
//!
//! The controller drives an [`IsolationReporter`] on every node. The leader collects the reports in
//! [`IsolationReports`].

use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Revision, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which an isolated node writes its record; each time is a write to the key-value store. Workers
/// whose leases have expired are removed at the same interval.
const REPORT_INTERVAL: Duration = Duration::from_millis(5_000);
/// How long a record is valid after it was read: two report intervals and a margin, so that one report may be
/// missed.
const REPORT_LIFETIME: Duration = Duration::from_millis(12_000);
/// The leader resigns only if another node answers more than this many times the leader's workers. Each
/// change of leader takes seconds, so a small difference does not justify one.
const OUTNUMBERED_FACTOR: f64 = 1.25;
/// The leader resigns only if another node answers at least this many workers more than the leader.
const MIN_OUTNUMBERED_BY: u32 = 3;

/// Report of a node that receives no delegations from the leader. Stored in the key-value store as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IsolationReport {
    /// Fencing token of the leader that does not reach the node.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// How many workers the node answers, by zone.
    #[serde(rename = "heard")]
    pub workers_by_zone: BTreeMap<Zone, u32>,
}

/// A worker's zone, and when this node last answered its heartbeat.
#[derive(Debug)]
struct AnsweredWorker {
    zone: Zone,
    answered_at: MonotonicTime,
}

/// The part of every node: tracks which workers the node answers, and makes its reports.
#[derive(Debug, Default)]
pub struct IsolationReporter {
    answered_workers: BTreeMap<MachineId, AnsweredWorker>,
    /// Fencing token in the last report.
    reported_token: FencingToken,
    next_report_at: MonotonicTime,
    next_prune_at: MonotonicTime,
}

impl IsolationReporter {
    /// Records that this node has answered the heartbeat of a worker, whose lease now lasts for `lease`.
    pub fn heartbeat_answered(
        &mut self,
        machine: &MachineId,
        zone: &Zone,
        lease: Duration,
        now: MonotonicTime,
    ) {
        self.answered_workers
            .insert(machine.clone(), AnsweredWorker { zone: zone.clone(), answered_at: now });
        if now >= self.next_prune_at {
            self.next_prune_at = now + REPORT_INTERVAL;
            self.remove_expired(lease, now);
        }
    }

    /// The report to write, if one is due. It counts the workers with unexpired leases that this node has
    /// answered: all of its `own_zone`, and those of other zones that it has answered since `isolated_since`,
    /// when it became isolated. `fencing_token` is that of the leader that does not reach this node.
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
        // A worker counts until the lease that this node has renewed expires, even if it has since sent
        // heartbeats to other nodes without an answer.
        self.remove_expired(lease, now);
        self.reported_token = fencing_token;
        self.next_report_at = now + REPORT_INTERVAL;
        let mut workers_by_zone = BTreeMap::new();
        for worker in self.answered_workers.values() {
            if worker.zone == *own_zone || worker.answered_at >= isolated_since {
                *workers_by_zone.entry(worker.zone.clone()).or_default() += 1;
            }
        }
        Some(IsolationReport { fencing_token, workers_by_zone })
    }

    fn remove_expired(&mut self, lease: Duration, now: MonotonicTime) {
        self.answered_workers.retain(|_, worker| now.since(worker.answered_at) < lease);
    }
}

/// A report that the leader has read.
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
    /// Records a report that was read from the key-value store at `revision`. It is ignored unless its
    /// revision is newer than that of the known report: reading the same revision again must not extend the
    /// report's validity.
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

    fn valid_reports(&self, now: MonotonicTime) -> impl Iterator<Item = &IsolationReport> {
        let stored_reports = self.0.values();
        stored_reports
            .filter(move |stored| now.since(stored.read_at) < REPORT_LIFETIME)
            .map(|stored| &stored.report)
    }

    /// Zones whose workers are answered by isolated nodes, whichever leader's fencing token these report. The
    /// leases of these workers continue to be renewed.
    pub fn live_zones(&self, now: MonotonicTime) -> BTreeSet<Zone> {
        self.valid_reports(now).flat_map(|report| report.workers_by_zone.keys().cloned()).collect()
    }

    /// Whether an isolated node answers so many more workers than the leader with `fencing_token` that a node
    /// on its side of the partition should lead. `own_workers` counts the leader's workers; it is called only
    /// if an isolated node answers enough workers to matter.
    pub fn is_outnumbered(
        &self,
        own_workers: impl FnOnce() -> u32,
        fencing_token: FencingToken,
        now: MonotonicTime,
    ) -> bool {
        let of_this_leader = self.valid_reports(now).filter(|report| report.fencing_token == fencing_token);
        let counts = of_this_leader.map(|report| report.workers_by_zone.values().sum::<u32>());
        let largest = counts.max().unwrap_or(0);
        if largest < MIN_OUTNUMBERED_BY {
            return false;
        }
        let own = own_workers();
        largest >= own + MIN_OUTNUMBERED_BY && f64::from(largest) > f64::from(own) * OUTNUMBERED_FACTOR
    }
}

#[cfg(test)]
mod tests;
