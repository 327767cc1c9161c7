//! What follows from silence: whether a zone is cut off, and whether a machine is lost.

use crate::types::{Duration, MonotonicTime, Zone};
use crate::workers::Machine;
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeats missed for a zone to count as quiet: by chance that hardly ever happens.
const MISSED_HEARTBEATS: f64 = 6.0;
/// Probes in a row without an answer after which a worker counts as lost.
pub(super) const PROBES_LOST: u32 = 2;
/// The same of one that a new leader has not heard yet, before it has waited for it long enough.
const PROBES_LOST_UNHEARD: u32 = 4;
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

/// How a zone's machines are heard.
#[derive(Debug, Default)]
pub(super) struct ZoneSilence {
    all: u32,
    silent: u32,
    /// The newest heartbeat, or answer to a probe, of any.
    newest: MonotonicTime,
}

impl ZoneSilence {
    /// Adds a machine that is up.
    pub fn add(&mut self, machine: &Machine, late_after: Duration, now: MonotonicTime) {
        let late = machine.last_heartbeat.is_some_and(|at| now.since(at) > late_after);
        self.all += 1;
        self.silent += u32::from(late);
        self.newest =
            self.newest.max(machine.last_heartbeat.unwrap_or_default()).max(machine.last_probe_answer);
    }

    /// Whether the zone is cut off rather than its machines lost.
    ///
    /// A zone that is cut off goes on working inside until its workers' leases end: returning its
    /// machines before would only stop what runs. But of a zone where many have died the rest is
    /// heard, and what ran on the dead must start elsewhere at once: 82 machines that died together
    /// were taken for a cut zone, and their replicas were down for 20 s (tremorline fleet, loss).
    pub fn is_cut(&self, heartbeat: Duration, now: MonotonicTime) -> bool {
        let share = f64::from(self.silent) / f64::from(self.all.max(1));
        let missed = f64::from(self.all) * now.since(self.newest).as_secs_f64() / heartbeat.as_secs_f64();
        let quiet = !self.is_heard(now);
        let long_quiet = quiet && missed >= MISSED_HEARTBEATS;
        let many_silent = self.silent >= MIN_SILENT_OF_ZONE && share > ZONE_SILENT;
        long_quiet || many_silent && (share > ZONE_MOSTLY || quiet)
    }

    /// Whether somebody there has just been heard.
    pub fn is_heard(&self, now: MonotonicTime) -> bool {
        now.since(self.newest) <= ZONE_QUIET
    }

    /// Whether a good part of the machines is silent.
    pub fn has_silent_part(&self) -> bool {
        f64::from(self.silent) > CLUSTER_SILENT * f64::from(self.all)
    }
}

/// What follows from a machine's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Finding {
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
pub(super) struct SilenceRules<'a> {
    /// When the machines are judged.
    pub now: MonotonicTime,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a worker is late.
    pub late_after: Duration,
    /// Silence after which a machine is given up, unless more is known.
    pub lost_after: Duration,
    /// When the lease of a worker without an answer is about to end.
    pub lease_end: Duration,
    /// How long what is cancelled may go without a proof that it is stopped.
    pub unstopped_limit: Duration,
    /// Most machines have just fallen silent: it may be this node.
    pub suspect: bool,
    /// Isolated nodes' reports have been read, if there are any.
    pub isolation_known: bool,
    /// The failover is far enough to give machines up.
    pub gives_up: bool,
    /// The same for machines that this leader has not heard.
    pub gives_up_unheard: bool,
    /// Zones where somebody has just been heard.
    pub heard: BTreeSet<Zone>,
    /// Zones that are cut off.
    pub cut: BTreeSet<Zone>,
    /// Zones whose workers' leases are renewed by isolated nodes.
    pub alive: BTreeSet<Zone>,
    /// When a leader last heard a worker of each zone.
    pub zones_heard: &'a BTreeMap<Zone, MonotonicTime>,
}

impl SilenceRules<'_> {
    /// What follows from the silence of a machine that is up. `last` is when its last heartbeat came,
    /// `partitioned_until` as the isolation component gives it for its zone, `finished_since` since
    /// when it is to stop a task of a finished job without having said that it did.
    pub fn judge(
        &self,
        machine: &Machine,
        last: MonotonicTime,
        partitioned_until: Option<MonotonicTime>,
        finished_since: Option<MonotonicTime>,
    ) -> Finding {
        let zone_is_cut = self.cut.contains(&machine.zone);
        if machine.unanswered_probes >= PROBES_LOST
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
        if !machine.has_reported() && !self.gives_up_unheard {
            // Just after a failover it may be this leader that is not found yet.
            let lost = self.gives_up
                && self.heard.contains(&machine.zone)
                && machine.unanswered_probes >= PROBES_LOST_UNHEARD;
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
        let last_sign = last.max(machine.last_probe_answer);
        let silent = self.now.since(last_sign) > self.lost_after
            || self.now.since(last) > self.lease_end.max(self.lost_after);
        // Before it is late, only where it is surely not the zone.
        let late = self.now.since(last) > self.late_after;
        let probes_count = self.heard.contains(&machine.zone) || late && self.isolation_known;
        !self.suspect && (silent || probes_count && machine.unanswered_probes >= PROBES_LOST)
    }
}
