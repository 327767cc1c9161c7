//! Machines' health: which are silent, whether that is their fault or this node's, and which are given
//! up. A machine that is given up is returned: the cloud's confirmation proves that its tasks are gone.

use super::Leader;
use super::worker_commands::Probe;
use crate::assignments::AssignmentState;
use crate::autoscaler;
use crate::jobs::{JobState, JobType};
use crate::partitions::Partitions;
use crate::types::{Duration, JobId, MachineId, MonotonicTime, TaskId, Zone};
use crate::wire::workers;
use crate::workers::{Machine, MachineStatus};
use pearford_heartbeat::LeaseRenewal;
use pearford_recovery::LeaderAction;
use std::collections::{BTreeMap, BTreeSet};

/// Silent workers that are probed at a time, at least.
const MIN_PROBES: usize = 16;
/// One in so many of all machines may be probed at a time, if that is more.
const MACHINES_PER_PROBE: usize = 32;
/// Report intervals of silence after which a worker is late, and probed.
const LATE_INTERVALS: f64 = 1.35;
/// A worker with replicas that are to start sooner than its next heartbeat is probed in between, but
/// not more often than this, in seconds.
const MIN_PROBE_INTERVAL_S: f64 = 5.0;
/// Heartbeats missed for a zone to count as quiet: by chance that hardly ever happens.
const MISSED_HEARTBEATS: f64 = 6.0;
/// Probes in a row without an answer after which a worker counts as lost.
const PROBES_LOST: u32 = 2;
/// The same of one that a new leader has not heard yet, before it has waited for it long enough.
const PROBES_LOST_UNHEARD: u32 = 4;
/// After this long a new leader has read isolated nodes' reports, if there are any.
const ISOLATION_KNOWN_AFTER: Duration = Duration::from_millis(7_000);
/// Part of a zone's machines that, silent together, are cut off rather than lost, if nobody else
/// there has been heard for `ZONE_QUIET` either.
const ZONE_SILENT: f64 = 0.34;
const ZONE_QUIET: Duration = Duration::from_millis(2000);
/// Part of a zone's machines that, silent together, are cut off rather than lost in any case.
const ZONE_MOSTLY: f64 = 0.67;
/// Fewer silent machines say nothing about their zone.
const MIN_SILENT_OF_ZONE: u32 = 3;
/// Part of each zone that, silent together, speaks of the nodes and not of the machines.
const CLUSTER_SILENT: f64 = 0.2;
/// A cut-off worker kills its tasks when its lease ends; shortly before, waiting gains no more. In
/// seconds.
const LEASE_MARGIN_S: f64 = 2.0;
/// Failures of a job in a row from which on they speak of the job rather than of its machines.
pub(super) const JOB_AT_FAULT: u32 = 4;
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
pub(super) struct SilenceDetector {
    /// Since when most machines are silent, if they are.
    since: Option<MonotonicTime>,
}

impl SilenceDetector {
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

/// How a zone's machines are heard.
#[derive(Debug, Default)]
struct ZoneSilence {
    all: u32,
    silent: u32,
    /// The newest heartbeat, or answer to a probe, of any.
    newest: MonotonicTime,
}

impl ZoneSilence {
    fn add(&mut self, machine: &Machine, late_after: Duration, now: MonotonicTime) {
        let late = machine.last_heartbeat.is_some_and(|at| now.since(at) > late_after);
        self.all += 1;
        self.silent += u32::from(late);
        self.newest = self.newest.max(machine.last_heartbeat.unwrap_or_default()).max(machine.answered_at);
    }

    /// A zone that is cut off goes on working inside until its workers' leases end: returning its
    /// machines before would only stop what runs. But of a zone where many have died the rest is
    /// heard, and what ran on the dead must start elsewhere at once: 82 machines that died together
    /// were taken for a cut zone, and their replicas were down for 20 s (tremorline fleet, loss).
    fn is_cut(&self, heartbeat: Duration, now: MonotonicTime) -> bool {
        let share = f64::from(self.silent) / f64::from(self.all.max(1));
        let missed = f64::from(self.all) * now.since(self.newest).as_secs_f64() / heartbeat.as_secs_f64();
        let quiet = !self.is_heard(now);
        let long_quiet = quiet && missed >= MISSED_HEARTBEATS;
        let many_silent = self.silent >= MIN_SILENT_OF_ZONE && share > ZONE_SILENT;
        long_quiet || many_silent && (share > ZONE_MOSTLY || quiet)
    }

    fn is_heard(&self, now: MonotonicTime) -> bool {
        now.since(self.newest) <= ZONE_QUIET
    }

    fn has_silent_part(&self) -> bool {
        f64::from(self.silent) > CLUSTER_SILENT * f64::from(self.all)
    }
}

/// What follows from a machine's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// It is there, or may be: it stays.
    Present,
    /// It is in a cut-off zone where a node answers it: its unanswered probes say nothing.
    AnsweredInside,
    /// It is given up.
    Lost,
}

impl From<bool> for Finding {
    fn from(lost: bool) -> Self {
        if lost { Self::Lost } else { Self::Present }
    }
}

/// What a machine's silence is judged by.
struct SilenceRules<'a> {
    now: MonotonicTime,
    /// Time between heartbeats.
    heartbeat: Duration,
    /// Silence after which a worker is late.
    late_after: Duration,
    /// Silence after which a machine is given up, unless more is known.
    lost_after: Duration,
    /// When the lease of a worker without an answer is about to end.
    lease_end: Duration,
    /// How long what is cancelled may go without a proof that it is stopped.
    unstopped_limit: Duration,
    /// Most machines have just fallen silent: it may be this node.
    suspect: bool,
    /// Isolated nodes' reports have been read, if there are any.
    isolation_known: bool,
    /// The failover is far enough to give machines up.
    gives_up: bool,
    /// The same for machines that this leader has not heard.
    gives_up_unheard: bool,
    /// Zones where somebody has just been heard.
    heard: BTreeSet<Zone>,
    /// Zones that are cut off.
    cut: BTreeSet<Zone>,
    /// Zones whose workers' leases are renewed by isolated nodes.
    alive: BTreeSet<Zone>,
    /// When a leader last heard a worker of each zone.
    zones_heard: &'a BTreeMap<Zone, MonotonicTime>,
}

impl SilenceRules<'_> {
    /// What follows from the silence of a machine that is up. `last` is when its last heartbeat came,
    /// `partitioned_until` as the isolation component gives it for its zone, `finished_since` since
    /// when it is to stop a task of a finished job without having said that it did.
    fn judge(
        &self,
        machine: &Machine,
        last: MonotonicTime,
        partitioned_until: Option<MonotonicTime>,
        finished_since: Option<MonotonicTime>,
    ) -> Finding {
        let zone_is_cut = self.cut.contains(&machine.zone);
        if machine.unanswered >= PROBES_LOST
            && finished_since.is_some_and(|since| self.is_stop_overdue(since, zone_is_cut))
        {
            // Nobody may have it: what is cancelled must be gone in time, also from a machine that
            // hangs, and each leader counts its silence anew (seven of 500 seeds with a leader every
            // ten seconds). In a cut zone leases end in time by what its nodes may renew, but a
            // machine that hangs there is not told apart.
            return self.gives_up.into();
        }
        if zone_is_cut && self.alive.contains(&machine.zone) {
            // A node in there answers its workers: their leases live on, and nothing follows from
            // this silence.
            return Finding::AnsweredInside;
        }
        if zone_is_cut {
            return self.is_lost_in_cut_zone(&machine.zone, last, partitioned_until).into();
        }
        if !machine.has_been_heard() && !self.gives_up_unheard {
            // Just after a failover it may be this leader that is not found yet.
            let lost = self.gives_up
                && self.heard.contains(&machine.zone)
                && machine.unanswered >= PROBES_LOST_UNHEARD;
            return lost.into();
        }
        self.is_lost_alone(machine, last, partitioned_until).into()
    }

    fn is_stop_overdue(&self, finished_since: MonotonicTime, zone_is_cut: bool) -> bool {
        let waited = self.now.since(finished_since);
        waited >= self.heartbeat && !zone_is_cut || waited > self.unstopped_limit
    }

    fn is_lost_in_cut_zone(
        &self,
        zone: &Zone,
        last: MonotonicTime,
        partitioned_until: Option<MonotonicTime>,
    ) -> bool {
        let heard = self.zones_heard.get(zone).map_or(last, |heard| last.min(*heard));
        // A node in there that crashes may be back before the leases end that it has renewed.
        let heard = partitioned_until.map_or(heard, |until| heard.max(until));
        let silence = self.now.since(heard);
        !self.suspect && self.isolation_known && silence > self.lost_after.max(self.lease_end)
    }

    /// Whether a machine is lost whose zone is not cut off.
    fn is_lost_alone(
        &self,
        machine: &Machine,
        last: MonotonicTime,
        partitioned_until: Option<MonotonicTime>,
    ) -> bool {
        // Silence in a partitioned zone counts from when it is no longer partitioned.
        let last = partitioned_until.map_or(last, |until| last.max(until));
        // One that answers probes is there, though its heartbeats reach nobody just now: it was
        // returned with work on it where nodes crashed in turn (seed 5017). Its tasks live until
        // their lease ends.
        let last_sign = last.max(machine.answered_at);
        let silent = self.now.since(last_sign) > self.lost_after
            || self.now.since(last) > self.lease_end.max(self.lost_after);
        // Before it is late, only where it is surely not the zone.
        let late = self.now.since(last) > self.late_after;
        let probes_count = self.heard.contains(&machine.zone) || late && self.isolation_known;
        !self.suspect && (silent || probes_count && machine.unanswered >= PROBES_LOST)
    }
}

impl Leader {
    fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.settings.workers.report_s)
    }

    /// Silence after which a worker is late.
    fn late_after(&self) -> Duration {
        self.heartbeat_interval().times(LATE_INTERVALS)
    }

    /// How long what is cancelled may go without a proof that it is stopped: with a lease to run out
    /// after it, should the cloud not answer either.
    fn unstopped_limit(&self) -> Duration {
        let hold = self.settings.workers.hold();
        self.heartbeat_interval().times(UNSTOPPED_INTERVALS).min(hold.times(UNSTOPPED_HOLD_SHARE))
    }

    /// Whether most machines fell silent at once: rather this node is cut off than all of them. But
    /// only if a peer hears workers meanwhile; else they are really gone, and another leader would
    /// only find the same.
    pub(super) fn is_cut_off(&mut self, peers_hear: bool, now: MonotonicTime) -> bool {
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
    pub(super) fn find_lost(&mut self, zones_heard: &BTreeMap<Zone, MonotonicTime>, now: MonotonicTime) {
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
                Finding::AnsweredInside => machine.unanswered = 0,
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
    pub(super) fn find_unstoppable(&mut self, lease_renewal: &LeaseRenewal, now: MonotonicTime) {
        let unstopped_limit = self.unstopped_limit();
        let cancellations_unknown = lease_renewal.is_blind_for(unstopped_limit, now);
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
    pub(super) fn blame(&mut self, id: &MachineId, job: &JobId, errors: u32) -> bool {
        if errors >= JOB_AT_FAULT {
            return false;
        }
        let Some(machine) = self.machines.get_mut(id) else { return false };
        if !machine.failed.contains(job) && machine.failed.len() < MACHINE_AT_FAULT {
            machine.failed.push(job.clone());
        }
        if machine.failed.len() >= MACHINE_AT_FAULT && !machine.draining {
            tracing::warn!(machine = %id, "fails one job after another; returning it once it is empty");
            machine.draining = true;
        }
        machine.draining
    }

    /// Workers that are to be probed now: those whose heartbeat is late or that must answer sooner.
    pub(super) fn silent_workers(&self, now: MonotonicTime) -> Vec<Probe> {
        let late_after = self.late_after();
        let probed: BTreeSet<&MachineId> = self.worker_calls.probed();
        let is_to_stop = |machine: &Machine| finished_since(machine, &self.job_states).is_some();
        let mut silent: Vec<&Machine> = Vec::new();
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            let Some(last) = machine.last_heartbeat else { continue };
            let is_late = now.since(last) > late_after;
            if (is_late
                || self.is_probed_early(machine, last, late_after, now)
                || !machine.has_been_heard() && is_to_stop(machine))
                && !probed.contains(&machine.id)
            {
                silent.push(machine);
            }
        }
        // Those first that are to stop tasks of finished jobs.
        silent.sort_by_cached_key(|machine| !is_to_stop(machine));
        let max_probes = MIN_PROBES.max(self.machines.len() / MACHINES_PER_PROBE);
        let max_probes = max_probes.saturating_sub(probed.len());
        silent.into_iter().filter_map(|machine| self.probe_of(machine)).take(max_probes).collect()
    }

    fn probe_of(&self, machine: &Machine) -> Option<Probe> {
        let addr = machine.addr.clone()?;
        let epoch = machine.worker_epoch.max(machine.last_known_epoch);
        let body = workers::command(self.fencing_token, epoch, &[]);
        Some(Probe { machine: machine.id.clone(), addr, body })
    }

    /// Whether a worker is probed between its heartbeats: where they come seldom, replicas that
    /// should start at once would wait for the next one before anybody knew that their machine is
    /// gone (offshore deployment: heartbeats every 10 s, a start within 1 s; found after 7 to 17 s).
    fn is_probed_early(
        &self,
        machine: &Machine,
        last: MonotonicTime,
        late_after: Duration,
        now: MonotonicTime,
    ) -> bool {
        let late_s = late_after.as_secs_f64();
        let silence_s = now.since(last.max(machine.answered_at)).as_secs_f64();
        if silence_s < MIN_PROBE_INTERVAL_S || late_s <= MIN_PROBE_INTERVAL_S {
            return false;
        }
        let mut occupying = machine.assignments.iter().filter(|(_, assignment)| assignment.occupies());
        occupying.any(|(task, _)| {
            let objective_s = self.replica_start_objective_s(task);
            objective_s.is_some_and(|objective_s| objective_s < late_s && silence_s >= objective_s)
        })
    }

    /// Seconds within which a task of a service is to start; `None` for other tasks, or without such
    /// an objective.
    fn replica_start_objective_s(&self, task: &TaskId) -> Option<f64> {
        let spec = &self.job_states.get(&task.job)?.job.spec;
        if spec.job_type != JobType::Service {
            return None;
        }
        self.settings.wait_objective(&spec.kind, false)
    }
}

/// Gives a machine up: it is to be returned.
fn give_up(machine: &mut Machine, partitions: &mut Partitions) {
    let tasks = machine.assignments.len();
    tracing::warn!(machine = %machine.id, status = ?machine.status, tasks, "machine lost; returning it");
    machine.status = MachineStatus::Releasing;
    partitions.remove(&machine.id);
}

/// Since when the machine is to stop a task of a finished job without having said that it did.
fn finished_since(machine: &Machine, job_states: &BTreeMap<JobId, JobState>) -> Option<MonotonicTime> {
    let stopping = machine.assignments.iter().filter_map(|(task, assignment)| {
        let stop = assignment.stop.as_ref()?;
        Some((task, stop.since))
    });
    stopping.filter(|(task, _)| !job_states.contains_key(&task.job)).map(|(_, since)| since).min()
}

/// Whether a start on the machine that was never acknowledged is to be stopped for longer than `limit`.
fn has_overdue_start(machine: &Machine, limit: Duration, now: MonotonicTime) -> bool {
    machine.unacknowledged.keys().any(|(task, attempt)| {
        machine.assignments.get(task).is_some_and(|assignment| {
            assignment.attempt == *attempt
                && matches!(assignment.state, AssignmentState::Sent { .. })
                && assignment.stop.as_ref().is_some_and(|stop| now.since(stop.since) > limit)
        })
    })
}

#[cfg(test)]
mod tests;
