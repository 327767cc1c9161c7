//! Probes: silent workers are asked whether they are there.

use super::machine_health::finished_since;
use super::worker_commands::send_to_worker_via;
use super::{Leader, StepContext};
use crate::jobs::JobType;
use crate::types::{Duration, MachineId, MonotonicTime, TaskId};
use crate::wire::workers;
use crate::workers::{Machine, MachineStatus};
use std::collections::BTreeSet;

/// How long a worker has to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silent workers that are probed at a time, at least.
const MIN_PROBES: usize = 16;
/// One in so many of all machines may be probed at a time, if that is more.
const MACHINES_PER_PROBE: usize = 32;
/// A worker with replicas that are to start sooner than its next heartbeat is probed in between, but
/// not more often than this, in seconds.
const MIN_PROBE_INTERVAL_S: f64 = 5.0;

/// A silent worker that is to be probed.
#[derive(Debug)]
pub(super) struct Probe {
    /// The worker's machine.
    pub machine: MachineId,
    /// Where the worker listens.
    pub addr: String,
    /// A command without content, which any worker answers.
    pub body: String,
}

impl Leader {
    /// Asks silent workers whether they are there.
    pub(super) fn probe(&mut self, context: &mut StepContext) {
        for probe in self.silent_workers(context.now) {
            // The second probe takes another way: it may be this node, or the one that heard the
            // worker, that has lost it. (A leader that had lost the workers' network gave up those
            // whose heartbeats it answered itself, andina fleet, apart.)
            let repeated =
                self.machines.get(&probe.machine).is_some_and(|machine| machine.unanswered_probes % 2 == 1);
            let via = if repeated {
                self.coordinator.alternative_route(&probe.machine, context.now)
            } else {
                self.coordinator.route(&probe.machine, context.now)
            };
            let via = via.filter(|_| context.heartbeats_delegated);
            let request_id = send_to_worker_via(context, via, probe.addr, probe.body, PROBE_TIMEOUT);
            self.worker_calls.probe_sent(request_id, probe.machine);
        }
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
                || !machine.has_reported() && is_to_stop(machine))
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
        let silence_s = now.since(last.max(machine.last_probe_answer)).as_secs_f64();
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
