//! Isolated nodes: those that the leader can't reach while they reach the key-value store. They
//! report there whose workers' heartbeats they answer; zones that are cut off are kept here too.

use super::{Leader, StepContext};
use crate::node::outbox::{LeaderRequest, Pending};
use crate::types::{Duration, MonotonicTime, Zone};
use crate::wire::state::{Pair, StoreReply, StoreRequest};
use crate::workers::Machine;
use pearford_heartbeat::{IsolationReport, IsolationReports};
use std::collections::{BTreeMap, BTreeSet};

/// Key prefix of isolated nodes' reports.
pub(in crate::node) const PREFIX: &str = "apart/";
/// How often the reports are read while some node isn't heard.
const READ_INTERVAL: Duration = Duration::from_millis(2000);
/// Reports read at a time, at most.
const MAX_REPORTS: u32 = 100;
/// Report intervals after which each worker has been heard once, with some slack.
const HEARD_WITHIN_INTERVALS: f64 = 1.25;
/// After the first heartbeats, until others have come by way of other nodes as well.
const SETTLE_TIME: Duration = Duration::from_millis(1000);

/// What isolated nodes report, and which zones are cut off as far as this node can tell.
#[derive(Debug)]
pub(super) struct ZoneIsolation {
    reports: IsolationReports,
    next_read: MonotonicTime,
    cut_zones: BTreeSet<Zone>,
    /// When each zone was last found cut off with a node inside that answers its workers.
    partitioned_until: BTreeMap<Zone, MonotonicTime>,
}

impl ZoneIsolation {
    /// No zone is cut off, and the first read may begin at once.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            reports: IsolationReports::default(),
            next_read: now,
            cut_zones: BTreeSet::new(),
            partitioned_until: BTreeMap::new(),
        }
    }

    /// Whether the zone is cut off.
    pub fn is_zone_unreachable(&self, zone: &Zone) -> bool {
        self.cut_zones.contains(zone)
    }

    /// Zones whose workers' leases are renewed by isolated nodes.
    pub fn zones_alive(&self, now: MonotonicTime) -> BTreeSet<Zone> {
        self.reports.live_zones(now)
    }

    /// When the zone was last found cut off with a node inside that answers its workers.
    pub fn partitioned_until(&self, zone: &Zone) -> Option<MonotonicTime> {
        self.partitioned_until.get(zone).copied()
    }

    /// Notes the zones that are cut off now; `alive` as [`ZoneIsolation::zones_alive`] gives them.
    pub fn set_cut_zones(&mut self, cut_zones: &BTreeSet<Zone>, alive: &BTreeSet<Zone>, now: MonotonicTime) {
        for zone in cut_zones.intersection(alive) {
            self.partitioned_until.insert(zone.clone(), now);
        }
        self.cut_zones.clone_from(cut_zones);
    }

    /// Takes in a report that was read; gives the error of one that can't be parsed.
    fn learn(&mut self, node: &str, pair: &Pair, now: MonotonicTime) -> Result<(), serde_json::Error> {
        let report = serde_json::from_str::<IsolationReport>(&pair.value)?;
        self.reports.update(node.into(), pair.revision, report, now);
        Ok(())
    }

    /// Forgets all reports, for the simulation.
    #[cfg(any(test, feature = "simulation"))]
    pub fn clear_reports(&mut self) {
        self.reports = IsolationReports::default();
    }
}

impl Leader {
    /// Reads isolated nodes' reports while some node isn't heard.
    pub(super) fn read_isolation_reports(&mut self, context: &mut StepContext) {
        if context.now < self.isolation.next_read
            || context.peers.live(context.now).len() >= context.peers.names().len()
        {
            return;
        }
        self.isolation.next_read = context.now + READ_INTERVAL;
        let request = StoreRequest::Range { prefix: PREFIX, after: None, most: MAX_REPORTS };
        context
            .outbox
            .request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::IsolationReports));
    }

    /// The reply to a read of isolated nodes' reports.
    pub(super) fn isolation_reports_read(&mut self, context: &mut StepContext, reply: StoreReply) {
        let StoreReply::Pairs { pairs, .. } = reply else { return };
        for pair in pairs {
            let Some(node) = pair.key.strip_prefix(PREFIX) else { continue };
            // Written before this leadership, perhaps long before: taken as new, a report that was a
            // minute old kept a zone that was cut off altogether for 20 s too long (andina grown, rough).
            if pair.revision.0 <= self.fencing_token.0 {
                continue;
            }
            if let Err(error) = self.isolation.learn(node, &pair, context.now) {
                tracing::error!(key = pair.key, %error, "an isolated node's report can't be read");
            }
        }
    }

    /// Whether an isolated node hears so many more workers that it should lead: this leader would
    /// place work on the smaller side only for as long as the cut lasts.
    pub(super) fn is_outnumbered(&self, now: MonotonicTime) -> bool {
        let interval = Duration::from_secs_f64(self.settings.workers.report_s).times(HEARD_WITHIN_INTERVALS);
        // A new leader has not heard its own side yet: compared too early each resigned in favour of
        // the next, all held back, and nobody led for 14 s (partitioned days, seed 928).
        if now.since(self.since) < interval + SETTLE_TIME {
            return false;
        }
        let heard = |machine: &&Machine| {
            machine.has_reported() && machine.last_heartbeat.is_some_and(|at| now.since(at) <= interval)
        };
        let count_heard = || self.machines.iter().filter(heard).count() as u32;
        self.isolation.reports.is_outnumbered(count_heard, self.fencing_token, now)
    }
}

#[cfg(test)]
mod golden;
