//! Commands to workers that this node forwards for the leader: relayed immediately, or queued until the
//! worker's next heartbeat. Also processes workers' replies to direct commands, whether this node sent the
//! command as leader or relayed it for the leader.

use super::Controller;
use crate::peer_messages::{MachineCommands, PeerMessage};
use crate::types::{FencingToken, JobId, MachineId, NodeName, RequestId};
use crate::wire::workers::{self, Filtered, Heartbeat, WorkerCommand};
use http::StatusCode;
use pearford_heartbeat::{HeartbeatPosition, RelayResult, RelayedCommand};
use std::collections::BTreeMap;

/// Maximum number of relayed commands in flight. Further commands are reported to the leader as unanswered.
const MAX_RELAYED: usize = 4096;
/// Maximum number of machines with queued commands.
const MAX_QUEUED_MACHINES: usize = 10_000;

/// Why a command has no status from its worker. Messages carry a number for it in place of the status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommandFailure {
    /// Rejected permanently: a higher fencing token is known, or the command only starts tasks of finished
    /// jobs.
    NotSent,
    /// No reply arrived, or too many relayed commands are in flight. The command may have been carried out; a
    /// later attempt may succeed.
    NoAnswer,
}

impl CommandFailure {
    /// The number for this failure in [`RelayResult::status`].
    fn status(self) -> u16 {
        match self {
            Self::NotSent => StatusCode::CONFLICT.as_u16(),
            Self::NoAnswer => 0,
        }
    }
}

/// A command in flight to a worker, relayed for the leader on another node.
#[derive(Debug)]
struct RelayedCall {
    /// Node of the leader that sent the command.
    leader: NodeName,
    /// That leader's fencing token.
    fencing_token: FencingToken,
    /// The leader's id of the command.
    call: u64,
}

/// Commands to be sent with the answer to a worker's next heartbeat.
#[derive(Debug)]
struct QueuedCommands {
    /// Fencing token of the leader that sent the commands.
    fencing_token: FencingToken,
    commands: Vec<WorkerCommand>,
}

/// Commands that this node forwards from the leader to workers.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Relayed commands in flight, by this node's id of the request to the worker.
    calls: BTreeMap<RequestId, RelayedCall>,
    /// Commands to be sent with the answers to the machines' next heartbeats.
    queued_commands: BTreeMap<MachineId, QueuedCommands>,
}

impl Relay {
    /// Removes and returns the commands queued for a machine. Commands of a leader with another fencing token
    /// are dropped.
    pub(super) fn take_queued(
        &mut self,
        machine: &MachineId,
        fencing_token: FencingToken,
    ) -> Vec<WorkerCommand> {
        match self.queued_commands.remove(machine) {
            Some(queued) if queued.fencing_token == fencing_token => queued.commands,
            _ => Vec::new(),
        }
    }

    /// Queues a leader's commands. They replace those queued for the same machines.
    pub(super) fn queue(&mut self, fencing_token: FencingToken, commands: Vec<MachineCommands>) {
        for MachineCommands { machine, commands } in commands {
            if self.queued_commands.len() < MAX_QUEUED_MACHINES {
                self.queued_commands.insert(machine, QueuedCommands { fencing_token, commands });
            }
        }
    }

    /// Drops the queued commands of leaders with a lower fencing token.
    pub(super) fn drop_queued_before(&mut self, fencing_token: FencingToken) {
        self.queued_commands.retain(|_, queued| queued.fencing_token >= fencing_token);
    }
}

impl Controller {
    /// Relays a leader's commands to workers. A delay on the way to this node is as harmless as one on the way
    /// to the worker: the command contains the worker epoch and the fencing token, and the leader already
    /// counts it as unacknowledged.
    pub(super) fn relay_commands(
        &mut self,
        from: &NodeName,
        fencing_token: FencingToken,
        commands: Vec<RelayedCommand>,
    ) {
        let mut failed = Vec::new();
        for RelayedCommand { call, addr, body, timeout } in commands {
            match self.filter_relayed(fencing_token, body) {
                Ok(body) => {
                    let request_id = self.outbox.command_worker(addr, body, timeout);
                    let relayed = RelayedCall { leader: from.clone(), fencing_token, call };
                    self.relay.calls.insert(request_id, relayed);
                }
                Err(failure) => failed.push(RelayResult { call, status: failure.status(), position: None }),
            }
        }
        if !failed.is_empty() {
            self.outbox.send(from, PeerMessage::RelayResults { fencing_token, calls: failed });
        }
    }

    /// The part of a relayed command's body that is to be sent to the worker.
    fn filter_relayed(&self, fencing_token: FencingToken, body: String) -> Result<String, CommandFailure> {
        let filtered = self.without_finished_starts(&body);
        if fencing_token < self.highest_fencing_token || filtered == Filtered::Empty {
            return Err(CommandFailure::NotSent);
        }
        if self.relay.calls.len() >= MAX_RELAYED {
            return Err(CommandFailure::NoAnswer);
        }
        match filtered {
            Filtered::Reduced(rest) => Ok(rest),
            Filtered::Unchanged | Filtered::Empty => Ok(body),
        }
    }

    /// A command without the starts of finished jobs: this node may have confirmed a job's cancellation to a
    /// user before the leader has learned of it.
    fn without_finished_starts(&self, body: &str) -> Filtered {
        #[cfg(any(test, feature = "simulation"))]
        if self.injected_faults.relays_all_starts {
            return Filtered::Unchanged;
        }
        workers::without_starts(body, |job: &JobId| self.job_cache.terminal_status(job).is_some())
    }

    /// Processes a worker's reply to a direct command, as the leader or for the leader that it was relayed
    /// for.
    pub(super) fn worker_reply(&mut self, request_id: RequestId, status: u16, body: &[u8]) {
        let position = serde_json::from_slice::<Heartbeat>(body).ok().map(|heartbeat| heartbeat.position());
        let Some(relayed) = self.relay.calls.remove(&request_id) else {
            return self.leader_command_reply(request_id, status, position);
        };
        if let Some(position) = position {
            self.observe_fencing_token(position.fencing_token);
        }
        let results = vec![RelayResult { call: relayed.call, status, position }];
        let message = PeerMessage::RelayResults { fencing_token: relayed.fencing_token, calls: results };
        self.outbox.send(&relayed.leader, message);
    }

    /// Passes the reply to one of this leader's own commands to the leader's state.
    fn leader_command_reply(
        &mut self,
        request_id: RequestId,
        status: u16,
        position: Option<HeartbeatPosition>,
    ) {
        let fencing_token = self
            .leader_and_context()
            .and_then(|(leader, context)| leader.worker_reply(request_id, status, position, context.now));
        if let Some(fencing_token) = fencing_token {
            self.observe_fencing_token(fencing_token);
        }
    }

    /// Processes the results of commands that this leader has sent through another node.
    pub(super) fn relay_results(&mut self, results: Vec<RelayResult>) {
        for RelayResult { call, status, position } in results {
            let request_id = RequestId(call);
            if self.outbox.complete_relay(request_id) {
                self.leader_command_reply(request_id, status, position);
            }
        }
    }

    /// Times out relayed commands without a result: the relaying node may have failed.
    pub(super) fn expire_relayed_commands(&mut self) {
        for request_id in self.outbox.take_overdue_relays(self.now) {
            self.leader_command_reply(request_id, CommandFailure::NoAnswer.status(), None);
        }
    }
}
