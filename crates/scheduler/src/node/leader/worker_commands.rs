//! Calls that go straight to workers rather than with the answer to their next heartbeat: commands
//! and the leader's fencing token here, probes of silent workers in `probing`.

use super::{Leader, StepContext};
use crate::types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, RequestId, WorkerEpoch};
use crate::wire::workers;
use crate::workers::{DirectAnswer, DirectCommands, TaskAttempt};
use pearford_heartbeat::HeartbeatPosition;
use std::collections::{BTreeMap, BTreeSet};

/// How long a worker has to answer a command.
pub(super) const WORKER_TIMEOUT: Duration = Duration::from_millis(3000);
/// Workers that are sent commands at a time, if the node's limit of sockets allows as many: after
/// all leases have ended thousands of starts are due at once, and each costs a connection. Those
/// beyond get theirs as these answer, or with their next heartbeat.
const MAX_DIRECT_CALLS: usize = 512;
/// Workers that are sent the fencing token directly at a time.
const MAX_TOKEN_PUSHES: usize = 8;
/// The status of a worker that has carried the commands out.
const STATUS_OK: u16 = 200;
/// Statuses by which a worker says that it has refused commands as a whole.
const REFUSED_STATUSES: [u16; 2] = [400, 409];
/// The status of a worker that knows a newer fencing token or epoch than the call names.
const STATUS_CONFLICT: u16 = 409;
/// The status of a call without an answer.
const STATUS_NO_ANSWER: u16 = 0;

/// Commands sent straight to a worker.
#[derive(Debug)]
pub(super) struct DirectCall {
    /// The worker's machine.
    pub machine: MachineId,
    /// The epoch that the commands name.
    pub worker_epoch: WorkerEpoch,
    /// Starts among the commands.
    pub starts: Vec<TaskAttempt>,
}

/// Which workers are to be called, and the calls under way.
#[derive(Debug, Default)]
pub(super) struct WorkerCalls {
    /// Workers that must learn this leader's fencing token before they send a heartbeat.
    awaiting_token: BTreeSet<MachineId>,
    token_pushes: BTreeMap<RequestId, MachineId>,
    /// Probes of silent workers.
    probes: BTreeMap<RequestId, MachineId>,
    /// Workers with commands that needn't wait for their next heartbeat.
    awaiting_commands: BTreeSet<MachineId>,
    direct_calls: BTreeMap<RequestId, DirectCall>,
}

impl WorkerCalls {
    /// Sends the fencing token to the worker as soon as that is possible.
    pub fn queue_token(&mut self, machine: MachineId) {
        self.awaiting_token.insert(machine);
    }

    /// Sends the worker its commands as soon as that is possible.
    pub fn queue_commands(&mut self, machine: MachineId) {
        self.awaiting_commands.insert(machine);
    }

    /// Notes that a call with commands is under way.
    pub fn commands_sent(&mut self, request_id: RequestId, call: DirectCall) {
        self.direct_calls.insert(request_id, call);
    }

    /// Notes that a probe is under way.
    pub fn probe_sent(&mut self, request_id: RequestId, machine: MachineId) {
        self.probes.insert(request_id, machine);
    }

    /// Workers that are being probed.
    pub fn probed(&self) -> BTreeSet<&MachineId> {
        self.probes.values().collect()
    }

    /// The next worker that is to learn the fencing token, if a further push may go out.
    fn next_token_push(&mut self) -> Option<MachineId> {
        if self.token_pushes.len() >= MAX_TOKEN_PUSHES {
            return None;
        }
        self.awaiting_token.pop_first()
    }

    /// The next worker with commands, if there are fewer than `max_calls` under way.
    fn next_direct_call(&mut self, max_calls: usize) -> Option<MachineId> {
        if self.direct_calls.len() >= max_calls {
            return None;
        }
        self.awaiting_commands.pop_first()
    }

    #[cfg(test)]
    pub fn has_queued_commands(&self, machine: &MachineId) -> bool {
        self.awaiting_commands.contains(machine)
    }
}

impl Leader {
    /// A worker's answer to a call; gives the fencing token that it has seen, if it says one.
    /// `status` is 0 if there was no answer.
    pub(in crate::node) fn worker_reply(
        &mut self,
        request_id: RequestId,
        status: u16,
        position: Option<HeartbeatPosition>,
        now: MonotonicTime,
    ) -> Option<FencingToken> {
        if let Some(call) = self.worker_calls.direct_calls.remove(&request_id) {
            self.commands_answered(call, status, position.as_ref());
            return position.map(|position| position.fencing_token);
        }
        if let Some(machine) = self.worker_calls.probes.remove(&request_id) {
            self.probe_answered(&machine, status, now);
            return None;
        }
        let machine = self.worker_calls.token_pushes.remove(&request_id)?;
        // The body is a heartbeat, but only its fencing token and epoch are used: it may have been
        // made before a command that was sent with an answer ran, and would prove nothing.
        let position = position?;
        self.token_answered(machine, status, &position);
        Some(position.fencing_token)
    }

    fn commands_answered(&mut self, call: DirectCall, status: u16, position: Option<&HeartbeatPosition>) {
        let Some(machine) = self.machines.get_mut(&call.machine) else { return };
        let answer = match position {
            Some(position) if status == STATUS_OK => {
                DirectAnswer::Executed { worker_epoch: position.worker_epoch, serial: position.serial }
            }
            _ if REFUSED_STATUSES.contains(&status) => DirectAnswer::Refused,
            _ => DirectAnswer::Missing,
        };
        machine.direct_starts_answered(call.starts, call.worker_epoch, answer);
    }

    fn probe_answered(&mut self, machine: &MachineId, status: u16, now: MonotonicTime) {
        let Some(machine) = self.machines.get_mut(machine) else { return };
        if status == STATUS_NO_ANSWER {
            machine.unanswered_probes += 1;
        } else {
            machine.unanswered_probes = 0;
            machine.last_probe_answer = now;
        }
    }

    /// A worker in a newer epoch than the push named is sent the fencing token once more.
    fn token_answered(&mut self, id: MachineId, status: u16, position: &HeartbeatPosition) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if status == STATUS_CONFLICT
            && position.fencing_token < self.fencing_token
            && position.worker_epoch > machine.worker_epoch
        {
            machine.last_known_epoch = position.worker_epoch;
            self.worker_calls.queue_token(id);
        }
    }

    /// Sends something straight to a worker, by way of the node that hears it if that is another one.
    pub(super) fn send_to_worker(
        &self,
        context: &mut StepContext,
        id: &MachineId,
        addr: String,
        body: String,
    ) -> RequestId {
        let via = self.coordinator.route(id, context.now).filter(|_| context.heartbeats_delegated);
        send_to_worker_via(context, via, addr, body, WORKER_TIMEOUT)
    }

    /// Sends the fencing token to workers without a heartbeat so far. A few at a time: most learn
    /// it by the answer to their next heartbeat before their turn comes.
    pub(super) fn push_fencing_token(&mut self, context: &mut StepContext) {
        while let Some(id) = self.worker_calls.next_token_push() {
            let Some(machine) = self.machines.get(&id) else { continue };
            if machine.fencing_token >= self.fencing_token {
                continue;
            }
            let Some(addr) = machine.addr.clone() else { continue };
            let epoch = machine.worker_epoch.max(machine.last_known_epoch);
            let body = workers::command(self.fencing_token, epoch, &[]);
            let request_id = self.send_to_worker(context, &id, addr, body);
            self.worker_calls.token_pushes.insert(request_id, id);
        }
    }

    /// Sends commands that needn't wait for a worker's next heartbeat.
    pub(super) fn send_direct_commands(&mut self, context: &mut StepContext) {
        let may_start = self.may_start(context);
        let max_calls = MAX_DIRECT_CALLS.min(self.settings.limits.max_concurrent_commands());
        while let Some(id) = self.worker_calls.next_direct_call(max_calls) {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if !machine.reachable(self.fencing_token) {
                continue;
            }
            let DirectCommands { commands, starts } = machine.direct_commands(may_start, context.now);
            if commands.is_empty() {
                continue;
            }
            let Some(addr) = machine.addr.clone() else { continue };
            let worker_epoch = machine.worker_epoch;
            let body = workers::command(self.fencing_token, worker_epoch, &commands);
            self.failover_log.command_sent(context.now);
            let request_id = self.send_to_worker(context, &id, addr, body);
            let call = DirectCall { machine: id, worker_epoch, starts };
            self.worker_calls.commands_sent(request_id, call);
        }
    }
}

/// Sends something to the worker at `addr`, by way of the node `via` if there is one.
pub(super) fn send_to_worker_via(
    context: &mut StepContext,
    via: Option<&NodeName>,
    addr: String,
    body: String,
    timeout: Duration,
) -> RequestId {
    match via {
        Some(node) => context.outbox.relay(node, addr, body, timeout, context.now),
        None => context.outbox.command_worker(addr, body, timeout),
    }
}
