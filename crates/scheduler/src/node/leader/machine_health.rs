//! Detects lost machines: whose heartbeats are missing, whether the cause is the machine or this node,
//! and which machines are returned to the cloud. The cloud's confirmation of a return proves that the
//! machine's tasks are gone.

use super::Leader;
use super::liveness_rules::{LivenessRules, LivenessVerdict, ZoneHeartbeats};
use super::scale_in::begin_return;
use crate::assignments::AssignmentState;
use crate::autoscaler;
use crate::jobs::JobState;
use crate::partitions::Partitions;
use crate::types::{Duration, JobId, MonotonicTime, Zone};
use crate::workers::{Machine, MachineStatus, TaskAttempt};
use pearford_heartbeat::LeaseRenewal;
use pearford_recovery::LeaderAction;
use std::collections::BTreeMap;

/// Heartbeat intervals without a heartbeat after which a worker is late, and probed.
const LATE_INTERVALS: f64 = 1.35;
/// Time after the start of a leadership by which the leader has read the isolated nodes' reports.
const ISOLATION_REPORTS_READ_AFTER: Duration = Duration::from_millis(7_000);
/// How long before a lease expires a machine may be returned, in seconds. An unreachable worker kills its
/// tasks when its lease expires, so waiting for the last seconds has no benefit.
const LEASE_MARGIN_S: f64 = 2.0;
/// Heartbeat intervals after most machines' heartbeats stopped during which missing heartbeats don't prove
/// a machine lost, since the cause may be this node.
const OUTAGE_GRACE_INTERVALS: f64 = 4.0;
/// For the leader's check whether it is cut off from the workers, in heartbeat intervals: a machine's
/// heartbeats count as missing after this time without one, and those of most machines must then stay missing
/// for this time.
const CUT_OFF_INTERVALS: f64 = 2.0;
/// Heartbeat intervals after which a machine is returned if a start that is to be stopped may still reach
/// it.
const UNCONFIRMED_STOP_INTERVALS: f64 = 4.0;
/// The same limit as a share of the answer window; the shorter of the two applies. `docs/design.md`,
/// "Outages", derives the inequality that it must satisfy.
const UNCONFIRMED_STOP_WINDOW_SHARE: f64 = 0.25;

/// Detects that the heartbeats of most machines are missing, which points to this node rather than to them.
#[derive(Debug, Default)]
pub(super) struct HeartbeatOutageDetector {
    /// Since when most machines' heartbeats are missing, if they are.
    outage_since: Option<MonotonicTime>,
}

impl HeartbeatOutageDetector {
    /// Records whether most machines' heartbeats are missing. Returns since when they are.
    fn update(&mut self, most_missing: bool, now: MonotonicTime) -> Option<MonotonicTime> {
        if most_missing {
            self.outage_since.get_or_insert(now);
        } else {
            self.outage_since = None;
        }
        self.outage_since
    }

    /// Whether most machines' heartbeats are missing, and stopped less than `period` ago.
    fn began_within(&self, period: Duration, now: MonotonicTime) -> bool {
        self.outage_since.is_some_and(|since| now.since(since) < period)
    }
}

impl Leader {
    fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.settings.workers.report_s)
    }

    /// Time since the last heartbeat after which a worker is late.
    pub(super) fn late_after(&self) -> Duration {
        self.heartbeat_interval().times(LATE_INTERVALS)
    }

    /// How long a cancelled task may lack a proof that it has stopped before its machine is returned. The
    /// limit leaves time for the worker's lease to expire should the cloud not confirm the return.
    fn unconfirmed_stop_limit(&self) -> Duration {
        let answer_window = self.settings.workers.answer_window();
        self.heartbeat_interval()
            .times(UNCONFIRMED_STOP_INTERVALS)
            .min(answer_window.times(UNCONFIRMED_STOP_WINDOW_SHARE))
    }

    /// Whether this node appears to be cut off from the workers: most machines' heartbeats are missing here
    /// while a peer receives some. If no peer receives any, the machines have probably failed, and another
    /// leader would receive no heartbeats either.
    pub(super) fn is_cut_off_from_workers(
        &mut self,
        peers_receive_heartbeats: bool,
        now: MonotonicTime,
    ) -> bool {
        let limit = self.heartbeat_interval().times(CUT_OFF_INTERVALS);
        let mut all = 0;
        let mut missing = 0;
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            all += 1;
            missing += u32::from(machine.last_heartbeat.is_none_or(|at| now.since(at) > limit));
        }
        let most_missing = all >= 2 && missing * 2 > all;
        let since = self.heartbeat_outage.update(most_missing, now);
        since.is_some_and(|since| peers_receive_heartbeats && now.since(since) >= limit)
    }

    /// Returns machines whose heartbeats stopped or that never came up. `last_heartbeat_by_zone`: when a leader
    /// last received a heartbeat from each zone.
    pub(super) fn return_lost_machines(
        &mut self,
        last_heartbeat_by_zone: &BTreeMap<Zone, MonotonicTime>,
        now: MonotonicTime,
    ) {
        let rules = self.liveness_rules(last_heartbeat_by_zone, now);
        self.isolation.set_unreachable_zones(
            &rules.unreachable_zones,
            &rules.zones_served_by_isolated_nodes,
            now,
        );
        let boot_patience = self.settings.operator.boot_patience;
        for machine in self.machines.iter_mut() {
            let verdict = match (machine.status, machine.last_heartbeat) {
                (MachineStatus::Up, Some(last_heartbeat)) => {
                    let last_partitioned_at = self.isolation.last_partitioned_at(&machine.zone);
                    let oldest_pending_stop = oldest_pending_stop(machine, &self.job_states);
                    rules.assess(machine, last_heartbeat, last_partitioned_at, oldest_pending_stop)
                }
                (MachineStatus::Booting, _) => {
                    let machine_type = self.instance_offers.type_of(&machine.type_name);
                    let boot_limit =
                        machine_type.map(|machine_type| autoscaler::boot_limit(machine_type, boot_patience));
                    boot_limit.is_some_and(|limit| now.since(machine.rented_at) > limit).into()
                }
                (MachineStatus::Up, None) | (MachineStatus::Releasing, _) => LivenessVerdict::Keep,
            };
            match verdict {
                LivenessVerdict::Keep => {}
                LivenessVerdict::ServedByIsolatedNode => machine.unanswered_probes = 0,
                LivenessVerdict::Lost => begin_lost_machine_return(machine, &mut self.partitions),
            }
        }
    }

    fn liveness_rules<'a>(
        &self,
        last_heartbeat_by_zone: &'a BTreeMap<Zone, MonotonicTime>,
        now: MonotonicTime,
    ) -> LivenessRules<'a> {
        let heartbeat_interval = self.heartbeat_interval();
        let workers = &self.settings.workers;
        let zones = self.heartbeats_by_zone(now);
        let responsive_zones = zones.iter().filter(|(_, heartbeats)| heartbeats.has_recent_contact(now));
        let responsive_zones = responsive_zones.map(|(zone, _)| (*zone).clone()).collect();
        // If many machines of every zone are late, the cause is the nodes: too few of them receive
        // heartbeats, or they are overloaded.
        let late_in_all_zones = zones.len() > 1 && zones.values().all(ZoneHeartbeats::has_many_late);
        let zones_served_by_isolated_nodes = self.isolation.zones_served_by_isolated_nodes(now);
        let is_unreachable = |zone: &Zone, heartbeats: &ZoneHeartbeats| {
            late_in_all_zones
                || heartbeats.is_unreachable(heartbeat_interval, now)
                || (zones_served_by_isolated_nodes.contains(zone) && !heartbeats.has_recent_contact(now))
        };
        let unreachable_zones = zones.iter().filter(|(zone, heartbeats)| is_unreachable(zone, heartbeats));
        let unreachable_zones = unreachable_zones.map(|(zone, _)| (*zone).clone()).collect();
        LivenessRules {
            now,
            heartbeat_interval,
            late_after: self.late_after(),
            lost_after: heartbeat_interval.times(self.settings.operator.lost_reports),
            lease_expires_after: Duration::from_secs_f64(workers.lease_s - LEASE_MARGIN_S),
            unconfirmed_stop_limit: self.unconfirmed_stop_limit(),
            outage_began_recently: self
                .heartbeat_outage
                .began_within(heartbeat_interval.times(OUTAGE_GRACE_INTERVALS), now),
            isolation_reports_read: now.since(self.since) >= ISOLATION_REPORTS_READ_AFTER,
            may_return: self.heartbeat_collection.allows(LeaderAction::ReturnLostMachines),
            may_return_unreported: self.heartbeat_collection.may_return_unreported(now),
            responsive_zones,
            unreachable_zones,
            zones_served_by_isolated_nodes,
            last_heartbeat_by_zone,
        }
    }

    fn heartbeats_by_zone(&self, now: MonotonicTime) -> BTreeMap<&Zone, ZoneHeartbeats> {
        let late_after = self.late_after();
        let mut zones: BTreeMap<&Zone, ZoneHeartbeats> = BTreeMap::new();
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            zones.entry(&machine.zone).or_default().add(machine, late_after, now);
        }
        zones
    }

    /// Returns machines with an unacknowledged start that is to be stopped. The start may still arrive, and
    /// can't be stopped before it does, but the cloud's confirmation of the return proves well before the
    /// cancellation deadline that it can't run any more. If this node's read of the job records has been
    /// stale for as long as a stop may be unconfirmed, it is unknown which starts are cancelled, and all
    /// machines with unacknowledged starts are returned.
    pub(super) fn return_machines_with_overdue_stops(
        &mut self,
        lease_renewal: &LeaseRenewal,
        now: MonotonicTime,
    ) {
        let unconfirmed_stop_limit = self.unconfirmed_stop_limit();
        let cancellations_unknown = lease_renewal.is_stale_for(unconfirmed_stop_limit, now);
        for machine in self.machines.iter_mut() {
            if machine.status == MachineStatus::Releasing {
                continue;
            }
            let is_unstoppable = has_unstopped_start(machine, unconfirmed_stop_limit, now)
                || cancellations_unknown && machine.has_unacknowledged_starts();
            if is_unstoppable {
                begin_lost_machine_return(machine, &mut self.partitions);
            }
        }
    }
}

/// Begins the return of a machine that is lost or whose starts can't be stopped.
fn begin_lost_machine_return(machine: &mut Machine, partitions: &mut Partitions) {
    let tasks = machine.assignments.len();
    tracing::warn!(machine = %machine.id, status = ?machine.status, tasks, "machine lost; returning it");
    begin_return(machine, partitions);
}

/// Since when the machine's oldest unconfirmed stop of a finished job's task has been pending.
pub(super) fn oldest_pending_stop(
    machine: &Machine,
    job_states: &BTreeMap<JobId, JobState>,
) -> Option<MonotonicTime> {
    let stopping = machine.assignments.iter().filter_map(|(task, assignment)| {
        let stop = assignment.stop.as_ref()?;
        Some((task, stop.since))
    });
    stopping.filter(|(task, _)| !job_states.contains_key(&task.job)).map(|(_, since)| since).min()
}

/// Whether the machine has an unacknowledged start whose stop has been pending for longer than `limit`.
fn has_unstopped_start(machine: &Machine, limit: Duration, now: MonotonicTime) -> bool {
    machine.unacknowledged_starts.keys().any(|TaskAttempt { task, attempt }| {
        machine.assignments.get(task).is_some_and(|assignment| {
            assignment.attempt == *attempt
                && matches!(assignment.state, AssignmentState::Sent { .. })
                && assignment.stop.as_ref().is_some_and(|stop| now.since(stop.since) > limit)
        })
    })
}

#[cfg(test)]
mod tests;
