//! Isolated nodes: those that reach the key-value store but not the leader. They report there how many
//! workers of each zone they answer. This module also keeps the leader's list of unreachable zones.

use super::{Leader, StepContext};
use crate::node::outbox::{LeaderRequest, Pending};
use crate::types::{Duration, MonotonicTime, Zone};
use crate::wire::state::{Pair, StoreReply, StoreRequest};
use crate::workers::Machine;
use pearford_heartbeat::{IsolationReport, IsolationReports};
use std::collections::{BTreeMap, BTreeSet};

/// Key prefix of isolated nodes' reports.
pub(in crate::node) const PREFIX: &str = "apart/";
/// How often the reports are read while some peer is not live.
const READ_INTERVAL: Duration = Duration::from_millis(2000);
/// Maximum number of reports per read.
const MAX_REPORTS: u32 = 100;
/// Heartbeat intervals within which every reachable worker has sent a heartbeat, with some slack.
const CONTACT_INTERVALS: f64 = 1.25;
/// Additional time for a new leader to receive the heartbeats that come through other nodes.
const DIGEST_DELAY: Duration = Duration::from_millis(1000);

/// The isolated nodes' reports, and the zones that the leader considers unreachable.
#[derive(Debug)]
pub(super) struct ZoneIsolation {
    reports: IsolationReports,
    next_read: MonotonicTime,
    unreachable_zones: BTreeSet<Zone>,
    /// When each zone was last found unreachable while an isolated node answered its workers.
    last_partitioned_at: BTreeMap<Zone, MonotonicTime>,
}

impl ZoneIsolation {
    /// No zone is unreachable, and the first read of reports may begin at once.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            reports: IsolationReports::default(),
            next_read: now,
            unreachable_zones: BTreeSet::new(),
            last_partitioned_at: BTreeMap::new(),
        }
    }

    /// Whether the zone is unreachable.
    pub fn is_zone_unreachable(&self, zone: &Zone) -> bool {
        self.unreachable_zones.contains(zone)
    }

    /// Zones whose workers' leases are renewed by isolated nodes.
    pub fn zones_served_by_isolated_nodes(&self, now: MonotonicTime) -> BTreeSet<Zone> {
        self.reports.live_zones(now)
    }

    /// When the zone was last found unreachable while an isolated node answered its workers.
    pub fn last_partitioned_at(&self, zone: &Zone) -> Option<MonotonicTime> {
        self.last_partitioned_at.get(zone).copied()
    }

    /// Sets the zones that are unreachable now. `served`: those whose workers' leases are renewed by isolated
    /// nodes.
    pub fn set_unreachable_zones(
        &mut self,
        unreachable: &BTreeSet<Zone>,
        served: &BTreeSet<Zone>,
        now: MonotonicTime,
    ) {
        for zone in unreachable.intersection(served) {
            self.last_partitioned_at.insert(zone.clone(), now);
        }
        self.unreachable_zones.clone_from(unreachable);
    }

    /// Adds a report that was read.
    ///
    /// # Errors
    /// The report can't be parsed.
    fn add_report(&mut self, node: &str, pair: &Pair, now: MonotonicTime) -> Result<(), serde_json::Error> {
        let report = serde_json::from_str::<IsolationReport>(&pair.value)?;
        self.reports.update(node.into(), pair.revision, report, now);
        Ok(())
    }

    /// Drops all reports, for the simulation.
    #[cfg(any(test, feature = "simulation"))]
    pub fn clear_reports(&mut self) {
        self.reports = IsolationReports::default();
    }
}

impl Leader {
    /// Reads isolated nodes' reports while some peer is not live.
    pub(super) fn read_isolation_reports(&mut self, context: &mut StepContext) {
        if context.now < self.isolation.next_read
            || context.peers.live(context.now).len() >= context.peers.names().len()
        {
            return;
        }
        self.isolation.next_read = context.now + READ_INTERVAL;
        let request = StoreRequest::Range { prefix: PREFIX, after: None, limit: MAX_REPORTS };
        context
            .outbox
            .request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::IsolationReports));
    }

    /// Processes the reply to a read of isolated nodes' reports.
    pub(super) fn isolation_reports_read(&mut self, context: &mut StepContext, reply: StoreReply) {
        let StoreReply::Pairs { pairs, .. } = reply else { return };
        for pair in pairs {
            let Some(node) = pair.key.strip_prefix(PREFIX) else { continue };
            // A report from before this leadership may be outdated. When a report that was a minute old was
            // accepted, it delayed the return of a completely unreachable zone's machines by 20 s.
            if pair.revision.0 <= self.fencing_token.0 {
                continue;
            }
            if let Err(error) = self.isolation.add_report(node, &pair, context.now) {
                tracing::error!(key = pair.key, %error, "isolated node's report can't be read; ignoring it");
            }
        }
    }

    /// Whether an isolated node answers so many more workers than this leader that a node on its side should
    /// lead: while the network partition lasts, this leader can place tasks only on the smaller side.
    pub(super) fn is_outnumbered(&self, now: MonotonicTime) -> bool {
        let interval = Duration::from_secs_f64(self.settings.workers.report_s).times(CONTACT_INTERVALS);
        // A new leader has not yet received the heartbeats of the workers on its own side. When it compared
        // the numbers too early, each new leader resigned in turn. As no node campaigns for some time after
        // it resigned, the cluster had no leader for 14 s during a network partition.
        if now.since(self.since) < interval + DIGEST_DELAY {
            return false;
        }
        let is_in_contact = |machine: &&Machine| {
            machine.has_reported() && machine.last_heartbeat.is_some_and(|at| now.since(at) <= interval)
        };
        let count_own_workers = || self.machines.iter().filter(is_in_contact).count() as u32;
        self.isolation.reports.is_outnumbered(count_own_workers, self.fencing_token, now)
    }
}

#[cfg(test)]
mod golden;
