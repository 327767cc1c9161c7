//! Decides from missing heartbeats and unanswered probes whether a zone is unreachable and whether a machine
//! is lost.

use crate::types::{Duration, MonotonicTime, Zone};
use crate::workers::Machine;
use std::collections::{BTreeMap, BTreeSet};

/// Number of consecutive missing heartbeats of a zone after which the zone counts as unreachable. It is
/// unlikely that so many are lost independently.
const MIN_MISSED_ZONE_HEARTBEATS: f64 = 6.0;
/// Consecutive unanswered probes after which a worker counts as lost.
pub(super) const UNANSWERED_PROBES_LIMIT: u32 = 2;
/// The same limit for a worker that has not sent this leader a heartbeat, until the leader has waited long
/// enough for one.
const UNANSWERED_PROBES_LIMIT_UNREPORTED: u32 = 4;
/// If more than this share of a zone's machines is late and there was no contact with any machine of the
/// zone for `ZONE_CONTACT_TIMEOUT`, the zone is unreachable rather than its machines lost.
const UNREACHABLE_SHARE_WITHOUT_CONTACT: f64 = 0.34;
/// Time since the last contact with any machine of a zone after which the zone counts as unresponsive.
const ZONE_CONTACT_TIMEOUT: Duration = Duration::from_millis(2000);
/// If more than this share of a zone's machines is late, the zone is unreachable rather than its machines
/// lost, even if there is contact with some of them.
const UNREACHABLE_SHARE: f64 = 0.67;
/// With fewer late machines than this, their zone does not count as unreachable, whatever their share is.
const MIN_LATE_MACHINES: u32 = 3;
/// If more than this share of the machines is late in every zone, the cause is the nodes, not the machines.
const CLUSTER_WIDE_LATE_SHARE: f64 = 0.2;

/// How recently the machines of a zone were in contact.
#[derive(Debug, Default)]
pub(super) struct ZoneHeartbeats {
    machines: u32,
    late: u32,
    /// When the newest heartbeat or probe answer of any machine arrived.
    last_contact: MonotonicTime,
}

impl ZoneHeartbeats {
    /// Adds a machine that is up.
    pub fn add(&mut self, machine: &Machine, late_after: Duration, now: MonotonicTime) {
        let late = machine.last_heartbeat.is_some_and(|at| now.since(at) > late_after);
        self.machines += 1;
        self.late += u32::from(late);
        self.last_contact =
            self.last_contact.max(machine.last_heartbeat.unwrap_or_default()).max(machine.last_probe_answer);
    }

    /// Whether the zone is unreachable as a whole, rather than its machines lost.
    ///
    /// In an unreachable zone, tasks run until their workers' leases expire, so returning the machines earlier
    /// would only stop running tasks. If many machines of a zone have failed, there is still contact with the
    /// others, and the tasks of the failed ones must start elsewhere at once: when a large group of failed
    /// machines was mistaken for an unreachable zone, their replicas were down for 20 s.
    pub fn is_unreachable(&self, heartbeat_interval: Duration, now: MonotonicTime) -> bool {
        let late_share = f64::from(self.late) / f64::from(self.machines.max(1));
        let since_contact = now.since(self.last_contact);
        let missed =
            f64::from(self.machines) * since_contact.as_secs_f64() / heartbeat_interval.as_secs_f64();
        let no_contact = !self.has_recent_contact(now);
        let many_missed = no_contact && missed >= MIN_MISSED_ZONE_HEARTBEATS;
        let many_late = self.late >= MIN_LATE_MACHINES && late_share > UNREACHABLE_SHARE_WITHOUT_CONTACT;
        many_missed || many_late && (late_share > UNREACHABLE_SHARE || no_contact)
    }

    /// Whether some machine of the zone was in contact within `ZONE_CONTACT_TIMEOUT`.
    pub fn has_recent_contact(&self, now: MonotonicTime) -> bool {
        now.since(self.last_contact) <= ZONE_CONTACT_TIMEOUT
    }

    /// Whether many machines are late. If that is so in all zones, the cause is the nodes.
    pub fn has_many_late(&self) -> bool {
        f64::from(self.late) > CLUSTER_WIDE_LATE_SHARE * f64::from(self.machines)
    }
}

/// Whether a machine counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LivenessVerdict {
    /// The machine is or may be alive: it is kept.
    Keep,
    /// It is in an unreachable zone whose workers' heartbeats an isolated node answers: it is kept, and its
    /// unanswered probes don't count.
    ServedByIsolatedNode,
    /// It is lost and to be returned.
    Lost,
}

impl From<bool> for LivenessVerdict {
    fn from(lost: bool) -> Self {
        if lost { Self::Lost } else { Self::Keep }
    }
}

/// What decides whether a machine counts as lost.
pub(super) struct LivenessRules<'a> {
    /// When the machines are assessed.
    pub now: MonotonicTime,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time since the last heartbeat after which a worker is late.
    pub late_after: Duration,
    /// Time since the last contact after which a machine counts as lost, if no other rule applies.
    pub lost_after: Duration,
    /// Time since the last heartbeat after which the worker's lease is about to expire.
    pub lease_expires_after: Duration,
    /// How long a cancelled task may lack a proof that it has stopped.
    pub unconfirmed_stop_limit: Duration,
    /// Most machines' heartbeats stopped a short time ago, so the cause may be this node.
    pub outage_began_recently: bool,
    /// Isolated nodes' reports have been read, if there are any.
    pub isolation_reports_read: bool,
    /// The failover has reached the phase in which lost machines may be returned.
    pub may_return: bool,
    /// The same for machines that have not sent this leader a heartbeat.
    pub may_return_unreported: bool,
    /// Zones with a recent contact to some machine.
    pub responsive_zones: BTreeSet<Zone>,
    /// Zones that are unreachable as a whole.
    pub unreachable_zones: BTreeSet<Zone>,
    /// Zones whose workers' leases are renewed by isolated nodes.
    pub zones_served_by_isolated_nodes: BTreeSet<Zone>,
    /// When a leader last received a heartbeat from each zone.
    pub last_heartbeat_by_zone: &'a BTreeMap<Zone, MonotonicTime>,
}

impl LivenessRules<'_> {
    /// Whether a machine that is up counts as lost. `last_heartbeat`: when its last heartbeat arrived.
    /// `last_partitioned_at`: when its zone was last found partitioned. `oldest_pending_stop`: since when its
    /// oldest unconfirmed stop of a finished job's task has been pending.
    pub fn assess(
        &self,
        machine: &Machine,
        last_heartbeat: MonotonicTime,
        last_partitioned_at: Option<MonotonicTime>,
        oldest_pending_stop: Option<MonotonicTime>,
    ) -> LivenessVerdict {
        let zone_is_unreachable = self.unreachable_zones.contains(&machine.zone);
        if machine.unanswered_probes >= UNANSWERED_PROBES_LIMIT
            && oldest_pending_stop.is_some_and(|since| self.is_stop_overdue(since, zone_is_unreachable))
        {
            // The machine may be unreachable from every node, and cancelled tasks must be gone in time even
            // from a machine that hangs. Each new leader measures the time without a heartbeat from its own
            // start, so if the leader changes every ten seconds, the other rules apply too late. In an
            // unreachable zone, the limit on lease renewals ends the leases in time. But a machine that hangs
            // can't be distinguished from the others, so it is returned there too, after a longer time.
            return self.may_return.into();
        }
        if zone_is_unreachable && self.zones_served_by_isolated_nodes.contains(&machine.zone) {
            // An isolated node renews the leases of the zone's workers, so missing heartbeats prove nothing.
            return LivenessVerdict::ServedByIsolatedNode;
        }
        if zone_is_unreachable {
            return self
                .is_lost_in_unreachable_zone(&machine.zone, last_heartbeat, last_partitioned_at)
                .into();
        }
        if !machine.has_reported() && !self.may_return_unreported {
            // Shortly after a failover the worker may not have found this leader yet.
            let lost = self.may_return
                && self.responsive_zones.contains(&machine.zone)
                && machine.unanswered_probes >= UNANSWERED_PROBES_LIMIT_UNREPORTED;
            return lost.into();
        }
        self.is_individually_lost(machine, last_heartbeat, last_partitioned_at).into()
    }

    fn is_stop_overdue(&self, pending_since: MonotonicTime, zone_is_unreachable: bool) -> bool {
        let waited = self.now.since(pending_since);
        waited >= self.heartbeat_interval && !zone_is_unreachable || waited > self.unconfirmed_stop_limit
    }

    fn is_lost_in_unreachable_zone(
        &self,
        zone: &Zone,
        last_heartbeat: MonotonicTime,
        last_partitioned_at: Option<MonotonicTime>,
    ) -> bool {
        let zone_contact = self.last_heartbeat_by_zone.get(zone);
        let last_contact = zone_contact.map_or(last_heartbeat, |contact| last_heartbeat.min(*contact));
        // If the isolated node crashes, it may restart before the leases that it renewed expire.
        let last_contact = last_partitioned_at.map_or(last_contact, |at| last_contact.max(at));
        let without_contact = self.now.since(last_contact);
        !self.outage_began_recently
            && self.isolation_reports_read
            && without_contact > self.lost_after.max(self.lease_expires_after)
    }

    /// Whether a machine in a reachable zone is lost.
    fn is_individually_lost(
        &self,
        machine: &Machine,
        last_heartbeat: MonotonicTime,
        last_partitioned_at: Option<MonotonicTime>,
    ) -> bool {
        // If the zone was partitioned, missing heartbeats count from the end of the partition.
        let last_heartbeat = last_partitioned_at.map_or(last_heartbeat, |at| last_heartbeat.max(at));
        // A worker that answers probes is alive even if its heartbeats reach no node. Without this rule, such
        // machines were returned with running tasks when nodes crashed one after another. The answers count
        // until the lease expires, because the tasks end then.
        let last_contact = last_heartbeat.max(machine.last_probe_answer);
        let is_overdue = self.now.since(last_contact) > self.lost_after
            || self.now.since(last_heartbeat) > self.lease_expires_after.max(self.lost_after);
        // Before the heartbeat is late, unanswered probes count only if the zone is certainly reachable.
        let late = self.now.since(last_heartbeat) > self.late_after;
        let probes_count =
            self.responsive_zones.contains(&machine.zone) || late && self.isolation_reports_read;
        !self.outage_began_recently
            && (is_overdue || probes_count && machine.unanswered_probes >= UNANSWERED_PROBES_LIMIT)
    }
}
