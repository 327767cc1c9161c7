//! Direct calls to workers, as opposed to answers to their heartbeats: commands and the leader's fencing
//! token. Probes of workers without heartbeats are in `probing`.

use super::{Leader, StepContext};
use crate::types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, RequestId, WorkerEpoch};
use crate::wire::workers;
use crate::workers::{DirectAnswer, DirectCommands, TaskAttempt};
use pearford_heartbeat::HeartbeatPosition;
use std::collections::{BTreeMap, BTreeSet};

/// Timeout of a call with commands.
pub(super) const WORKER_TIMEOUT: Duration = Duration::from_millis(3000);
/// Maximum number of concurrent calls with commands, if the node's limit of sockets allows as many: after all
/// leases have expired, thousands of starts are due at once, and each call takes a connection. The other
/// workers receive their commands when calls have finished, or with the answer to their next heartbeat.
const MAX_DIRECT_CALLS: usize = 512;
/// Maximum number of concurrent calls with the fencing token.
const MAX_TOKEN_PUSHES: usize = 8;
/// HTTP status of a worker that has executed the commands.
const STATUS_OK: u16 = 200;
/// HTTP statuses of a worker that has refused all commands of a call.
const REFUSED_STATUSES: [u16; 2] = [400, 409];
/// HTTP status of a worker that knows a newer fencing token or epoch than the one in the call.
const STATUS_CONFLICT: u16 = 409;
/// Status that stands for a call without an answer.
const STATUS_NO_ANSWER: u16 = 0;

/// A direct call with commands to a worker.
#[derive(Debug)]
pub(super) struct DirectCall {
    /// The worker's machine.
    pub machine: MachineId,
    /// The worker epoch in the call.
    pub worker_epoch: WorkerEpoch,
    /// The starts among the commands whose result depends on the answer.
    pub starts: Vec<TaskAttempt>,
}

/// Workers to call directly, and the calls in flight.
#[derive(Debug, Default)]
pub(super) struct WorkerCalls {
    /// Workers to send this leader's fencing token before their next heartbeat.
    awaiting_token: BTreeSet<MachineId>,
    token_pushes: BTreeMap<RequestId, MachineId>,
    /// Probes of workers without heartbeats.
    probes: BTreeMap<RequestId, MachineId>,
    /// Workers whose commands are sent directly instead of with the answer to their next heartbeat.
    awaiting_commands: BTreeSet<MachineId>,
    direct_calls: BTreeMap<RequestId, DirectCall>,
}

impl WorkerCalls {
    /// Queues the worker for a call with the fencing token.
    pub fn queue_token(&mut self, machine: MachineId) {
        self.awaiting_token.insert(machine);
    }

    /// Queues the worker for a call with its commands.
    pub fn queue_commands(&mut self, machine: MachineId) {
        self.awaiting_commands.insert(machine);
    }

    /// Adds a call with commands that has been sent.
    pub fn commands_sent(&mut self, request_id: RequestId, call: DirectCall) {
        self.direct_calls.insert(request_id, call);
    }

    /// Adds a probe that has been sent.
    pub fn probe_sent(&mut self, request_id: RequestId, machine: MachineId) {
        self.probes.insert(request_id, machine);
    }

    /// Machines whose workers are being probed.
    pub fn probed(&self) -> BTreeSet<&MachineId> {
        self.probes.values().collect()
    }

    /// Takes the next worker to send the fencing token, if another call is allowed now.
    fn next_token_push(&mut self) -> Option<MachineId> {
        if self.token_pushes.len() >= MAX_TOKEN_PUSHES {
            return None;
        }
        self.awaiting_token.pop_first()
    }

    /// Takes the next worker with commands, if fewer than `max_calls` calls are in flight.
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
    /// Processes a worker's answer to a call; `status` is 0 if there was none. Returns the highest fencing
    /// token that the worker has seen, if the answer to a call other than a probe contains it.
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
        // The body is a heartbeat, but only its fencing token and epoch are used. It may have been generated
        // before the worker executed a command from a heartbeat's answer, so it proves nothing about that
        // command.
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

    /// Queues the fencing token again for a worker whose epoch is newer than the one in the call.
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

    /// Sends `body` to a worker directly, relayed by the node that receives its heartbeats if that is another
    /// one.
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

    /// Sends the fencing token to workers that have not sent this leader a heartbeat. The number of
    /// concurrent calls is small, since most workers learn the token from the answer to their next heartbeat
    /// first.
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

    /// Sends queued commands directly, instead of with the answers to the workers' next heartbeats.
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

/// Sends `body` to the worker at `addr`, relayed by the node `via` if there is one.
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
