//! Machines' health: which are silent, whether that is their fault or this node's, and which are given
//! up. A machine that is given up is returned: the cloud's confirmation proves that its tasks are gone.

use super::Leader;
use super::scale_in::begin_return;
use super::silence_rules::{Finding, SilenceRules, ZoneSilence};
use crate::assignments::AssignmentState;
use crate::autoscaler;
use crate::jobs::JobState;
use crate::partitions::Partitions;
use crate::types::{Duration, JobId, MachineId, MonotonicTime, Zone};
use crate::workers::{Machine, MachineStatus, TaskAttempt};
use pearford_heartbeat::LeaseRenewal;
use pearford_recovery::LeaderAction;
use std::collections::BTreeMap;

/// Report intervals of silence after which a worker is late, and probed.
const LATE_INTERVALS: f64 = 1.35;
/// After this long a new leader has read isolated nodes' reports, if there are any.
const ISOLATION_KNOWN_AFTER: Duration = Duration::from_millis(7_000);
/// A cut-off worker kills its tasks when its lease ends; shortly before, waiting gains no more. In
/// seconds.
const LEASE_MARGIN_S: f64 = 2.0;
/// Failures of a job in a row from which on they speak of the job rather than of its machines.
pub(super) const JOB_FAULT_THRESHOLD: u32 = 4;
/// Jobs that have to fail on a machine, with none done between, before it counts as faulty.
const MACHINE_AT_FAULT: usize = 2;
/// While most machines are silent, none is given up for this many report intervals.
const SUSPECT_INTERVALS: f64 = 4.0;
/// Report intervals of silence after which a machine counts as silent when the leader asks itself
/// whether it is cut off, and for which that has to last.
const CUT_OFF_INTERVALS: f64 = 2.0;
/// Report intervals after which a machine is returned where a start may still arrive that is to be
/// stopped.
const UNSTOPPED_INTERVALS: f64 = 4.0;
/// The same as a part of the hold: see the inequality in the design ("Outages").
const UNSTOPPED_HOLD_SHARE: f64 = 0.25;

/// Whether most machines are silent, which rather speaks of this node than of them.
#[derive(Debug, Default)]
pub(super) struct HeartbeatOutageDetector {
    /// Since when most machines are silent, if they are.
    since: Option<MonotonicTime>,
}

impl HeartbeatOutageDetector {
    /// Notes whether most machines are silent; gives since when.
    fn update(&mut self, most_silent: bool, now: MonotonicTime) -> Option<MonotonicTime> {
        if most_silent {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
        }
        self.since
    }

    /// Whether most machines have fallen silent within `period`: then none is given up yet.
    fn began_within(&self, period: Duration, now: MonotonicTime) -> bool {
        self.since.is_some_and(|since| now.since(since) < period)
    }
}

impl Leader {
    fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.settings.workers.report_s)
    }

    /// Silence after which a worker is late.
    pub(super) fn late_after(&self) -> Duration {
        self.heartbeat_interval().times(LATE_INTERVALS)
    }

    /// How long what is cancelled may go without a proof that it is stopped: with a lease to run out
    /// after it, should the cloud not answer either.
    fn unstopped_limit(&self) -> Duration {
        let hold = self.settings.workers.answer_window();
        self.heartbeat_interval().times(UNSTOPPED_INTERVALS).min(hold.times(UNSTOPPED_HOLD_SHARE))
    }

    /// Whether most machines fell silent at once: rather this node is cut off than all of them. But
    /// only if a peer hears workers meanwhile; else they are really gone, and another leader would
    /// only find the same.
    pub(super) fn is_cut_off_from_workers(&mut self, peers_hear: bool, now: MonotonicTime) -> bool {
        let limit = self.heartbeat_interval().times(CUT_OFF_INTERVALS);
        let mut all = 0;
        let mut silent = 0;
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            all += 1;
            silent += u32::from(machine.last_heartbeat.is_none_or(|at| now.since(at) > limit));
        }
        let most_silent = all >= 2 && silent * 2 > all;
        let since = self.silence.update(most_silent, now);
        since.is_some_and(|since| peers_hear && now.since(since) >= limit)
    }

    /// Gives up machines that fell silent or never came up. `zones_heard`: when a leader last heard a
    /// worker of each zone.
    pub(super) fn return_lost_machines(
        &mut self,
        zones_heard: &BTreeMap<Zone, MonotonicTime>,
        now: MonotonicTime,
    ) {
        let rules = self.silence_rules(zones_heard, now);
        self.isolation.set_cut_zones(&rules.cut, &rules.alive, now);
        let boot_patience = self.settings.operator.boot_patience;
        for machine in self.machines.iter_mut() {
            let finding = match (machine.status, machine.last_heartbeat) {
                (MachineStatus::Up, Some(last)) => {
                    let partitioned_until = self.isolation.partitioned_until(&machine.zone);
                    let finished_since = finished_since(machine, &self.job_states);
                    rules.judge(machine, last, partitioned_until, finished_since)
                }
                (MachineStatus::Booting, _) => {
                    let machine_type = self.instance_offers.type_of(&machine.type_name);
                    let boot_limit =
                        machine_type.map(|machine_type| autoscaler::boot_limit(machine_type, boot_patience));
                    boot_limit.is_some_and(|limit| now.since(machine.rented_at) > limit).into()
                }
                (MachineStatus::Up, None) | (MachineStatus::Releasing, _) => Finding::Present,
            };
            match finding {
                Finding::Present => {}
                Finding::AnsweredInside => machine.unanswered_probes = 0,
                Finding::Lost => give_up(machine, &mut self.partitions),
            }
        }
    }

    fn silence_rules<'a>(
        &self,
        zones_heard: &'a BTreeMap<Zone, MonotonicTime>,
        now: MonotonicTime,
    ) -> SilenceRules<'a> {
        let heartbeat = self.heartbeat_interval();
        let workers = &self.settings.workers;
        let silence = self.silence_by_zone(now);
        let heard = silence.iter().filter(|(_, silence)| silence.is_heard(now));
        let heard = heard.map(|(zone, _)| (*zone).clone()).collect();
        // Silence of a good part of every zone is ours: too few nodes, or overloaded ones, hear the
        // workers.
        let everywhere = silence.len() > 1 && silence.values().all(ZoneSilence::has_silent_part);
        let alive = self.isolation.zones_alive(now);
        let is_cut = |zone: &Zone, silence: &ZoneSilence| {
            everywhere || silence.is_cut(heartbeat, now) || (alive.contains(zone) && !silence.is_heard(now))
        };
        let cut = silence.iter().filter(|(zone, silence)| is_cut(zone, silence));
        let cut = cut.map(|(zone, _)| (*zone).clone()).collect();
        SilenceRules {
            now,
            heartbeat,
            late_after: self.late_after(),
            lost_after: heartbeat.times(self.settings.operator.lost_reports),
            lease_end: Duration::from_secs_f64(workers.lease_s - LEASE_MARGIN_S),
            unstopped_limit: self.unstopped_limit(),
            suspect: self.silence.began_within(heartbeat.times(SUSPECT_INTERVALS), now),
            isolation_known: now.since(self.since) >= ISOLATION_KNOWN_AFTER,
            gives_up: self.heartbeat_collection.allows(LeaderAction::GiveUp),
            gives_up_unheard: self.heartbeat_collection.may_give_up(now),
            heard,
            cut,
            alive,
            zones_heard,
        }
    }

    fn silence_by_zone(&self, now: MonotonicTime) -> BTreeMap<&Zone, ZoneSilence> {
        let late_after = self.late_after();
        let mut zones: BTreeMap<&Zone, ZoneSilence> = BTreeMap::new();
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            zones.entry(&machine.zone).or_default().add(machine, late_after, now);
        }
        zones
    }

    /// Gives up machines where a start that may still act is to be stopped: it can't be stopped
    /// before it does, but the cloud can prove it gone, long before a cancellation's time is up. Nor
    /// can a leader that has not read the job records for as long know what is cancelled.
    pub(super) fn return_machines_with_overdue_stops(
        &mut self,
        lease_renewal: &LeaseRenewal,
        now: MonotonicTime,
    ) {
        let unstopped_limit = self.unstopped_limit();
        let cancellations_unknown = lease_renewal.is_stale_for(unstopped_limit, now);
        for machine in self.machines.iter_mut() {
            if machine.status == MachineStatus::Releasing {
                continue;
            }
            let unstoppable = has_overdue_start(machine, unstopped_limit, now)
                || cancellations_unknown && machine.has_unacknowledged_starts();
            if unstoppable {
                give_up(machine, &mut self.partitions);
            }
        }
    }

    /// A task of `job`, which has failed `errors` times in a row, failed on the machine. Gives
    /// whether that makes the machine a faulty one, to be emptied and returned.
    pub(super) fn record_failed_job(&mut self, id: &MachineId, job: &JobId, errors: u32) -> bool {
        if errors >= JOB_FAULT_THRESHOLD {
            return false;
        }
        let Some(machine) = self.machines.get_mut(id) else { return false };
        if !machine.failed_jobs.contains(job) && machine.failed_jobs.len() < MACHINE_AT_FAULT {
            machine.failed_jobs.push(job.clone());
        }
        if machine.failed_jobs.len() >= MACHINE_AT_FAULT && !machine.draining {
            tracing::warn!(machine = %id, "fails one job after another; returning it once it is empty");
            machine.draining = true;
        }
        machine.draining
    }
}

/// Gives a machine up: it is to be returned.
fn give_up(machine: &mut Machine, partitions: &mut Partitions) {
    let tasks = machine.assignments.len();
    tracing::warn!(machine = %machine.id, status = ?machine.status, tasks, "machine lost; returning it");
    begin_return(machine, partitions);
}

/// Since when the machine is to stop a task of a finished job without having said that it did.
pub(super) fn finished_since(
    machine: &Machine,
    job_states: &BTreeMap<JobId, JobState>,
) -> Option<MonotonicTime> {
    let stopping = machine.assignments.iter().filter_map(|(task, assignment)| {
        let stop = assignment.stop.as_ref()?;
        Some((task, stop.since))
    });
    stopping.filter(|(task, _)| !job_states.contains_key(&task.job)).map(|(_, since)| since).min()
}

/// Whether a start on the machine that was never acknowledged is to be stopped for longer than `limit`.
fn has_overdue_start(machine: &Machine, limit: Duration, now: MonotonicTime) -> bool {
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
