//! Probes: commands without content that check whether a worker without recent heartbeats still answers.

use super::machine_health::oldest_pending_stop;
use super::worker_commands::send_to_worker_via;
use super::{Leader, StepContext};
use crate::jobs::JobType;
use crate::types::{Duration, MachineId, MonotonicTime, TaskId};
use crate::wire::workers;
use crate::workers::{Machine, MachineStatus};
use std::collections::BTreeSet;

/// How long a worker has to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of workers that may be probed at the same time in a cluster of any size.
const MIN_PROBES: usize = 16;
/// One in this many machines may be probed at the same time, if that allows more than [`MIN_PROBES`].
const MACHINES_PER_PROBE: usize = 32;
/// Seconds without contact after which a worker may be probed before its heartbeat is late, if it has
/// replicas that must start sooner.
const MIN_PROBE_INTERVAL_S: f64 = 5.0;

/// A worker that is to be probed.
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
    /// Sends the probes that are due.
    pub(super) fn probe(&mut self, context: &mut StepContext) {
        for probe in self.due_probes(context.now) {
            // Every second probe takes another route, since the worker may be unreachable only from this node
            // or only from the node that receives its heartbeats. With one route, a leader that could not
            // connect to the workers returned machines whose heartbeats it answered itself.
            let use_alternative_route =
                self.machines.get(&probe.machine).is_some_and(|machine| machine.unanswered_probes % 2 == 1);
            let via = if use_alternative_route {
                self.coordinator.alternative_route(&probe.machine, context.now)
            } else {
                self.coordinator.route(&probe.machine, context.now)
            };
            let via = via.filter(|_| context.heartbeats_delegated);
            let request_id = send_to_worker_via(context, via, probe.addr, probe.body, PROBE_TIMEOUT);
            self.worker_calls.probe_sent(request_id, probe.machine);
        }
    }

    /// Probes to send now: to workers whose heartbeat is late, and to those that must be probed earlier.
    pub(super) fn due_probes(&self, now: MonotonicTime) -> Vec<Probe> {
        let late_after = self.late_after();
        let probed: BTreeSet<&MachineId> = self.worker_calls.probed();
        let has_pending_stop = |machine: &Machine| oldest_pending_stop(machine, &self.job_states).is_some();
        let mut to_probe: Vec<&Machine> = Vec::new();
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            let Some(last_heartbeat) = machine.last_heartbeat else { continue };
            let is_late = now.since(last_heartbeat) > late_after;
            if (is_late
                || self.needs_early_probe(machine, last_heartbeat, late_after, now)
                || !machine.has_reported() && has_pending_stop(machine))
                && !probed.contains(&machine.id)
            {
                to_probe.push(machine);
            }
        }
        // Workers with pending stops of finished jobs' tasks come first.
        to_probe.sort_by_cached_key(|machine| !has_pending_stop(machine));
        let max_probes = MIN_PROBES.max(self.machines.len() / MACHINES_PER_PROBE);
        let max_probes = max_probes.saturating_sub(probed.len());
        to_probe.into_iter().filter_map(|machine| self.probe_of(machine)).take(max_probes).collect()
    }

    fn probe_of(&self, machine: &Machine) -> Option<Probe> {
        let addr = machine.addr.clone()?;
        let epoch = machine.worker_epoch.max(machine.last_known_epoch);
        let body = workers::command(self.fencing_token, epoch, &[]);
        Some(Probe { machine: machine.id.clone(), addr, body })
    }

    /// Whether a worker is probed before its heartbeat is late. With long heartbeat intervals, the loss of a
    /// machine would be found too late to start its replicas elsewhere within their objective. With
    /// heartbeats every 10 s and an objective of 1 s, it was found after 7 to 17 s.
    fn needs_early_probe(
        &self,
        machine: &Machine,
        last_heartbeat: MonotonicTime,
        late_after: Duration,
        now: MonotonicTime,
    ) -> bool {
        let late_s = late_after.as_secs_f64();
        let since_contact_s = now.since(last_heartbeat.max(machine.last_probe_answer)).as_secs_f64();
        if since_contact_s < MIN_PROBE_INTERVAL_S || late_s <= MIN_PROBE_INTERVAL_S {
            return false;
        }
        let mut occupying = machine.assignments.iter().filter(|(_, assignment)| assignment.occupies());
        occupying.any(|(task, _)| {
            let objective_s = self.replica_start_objective_s(task);
            objective_s.is_some_and(|objective_s| objective_s < late_s && since_contact_s >= objective_s)
        })
    }

    /// Seconds within which a service's replica is to start; `None` for other tasks, or without such an
    /// objective.
    fn replica_start_objective_s(&self, task: &TaskId) -> Option<f64> {
        let spec = &self.job_states.get(&task.job)?.job.spec;
        if spec.job_type != JobType::Service {
            return None;
        }
        self.settings.wait_objective(&spec.kind, false)
    }
}
