//! Commands to workers that pass through this node: relayed at once for the leader, or queued until the worker's
//! next heartbeat. Also the workers' replies to direct commands, for the leader here or the one that they are
//! relayed for.

use super::Controller;
use crate::peer_messages::{MachineCommands, PeerMessage};
use crate::types::{FencingToken, JobId, MachineId, NodeName, RequestId};
use crate::wire::workers::{self, Filtered, Heartbeat, WorkerCommand};
use http::StatusCode;
use pearford_heartbeat::{HeartbeatPosition, RelayResult, RelayedCommand};
use std::collections::BTreeMap;

/// Relayed commands under way at a time; of more, the leader learns that they got no answer.
const MAX_RELAYED: usize = 4096;
/// Machines with queued commands, at most.
const MAX_QUEUED_MACHINES: usize = 10_000;

/// Why there is no worker's status for a command. The number stands in the place of the status in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommandFailure {
    /// Not sent, and never will be: its leader is not the latest, or it only starts tasks of finished jobs.
    NotSent,
    /// No answer came. The command may have been carried out, or may still be sent if it comes again.
    NoAnswer,
}

impl CommandFailure {
    /// The number that stands for it in [`RelayResult::status`].
    fn status(self) -> u16 {
        match self {
            Self::NotSent => StatusCode::CONFLICT.as_u16(),
            Self::NoAnswer => 0,
        }
    }
}

/// A command under way to a worker for the leader at another node.
#[derive(Debug)]
struct RelayedCall {
    /// Node of the leader that sent it.
    leader: NodeName,
    /// That leader's fencing token.
    fencing_token: FencingToken,
    /// The leader's id of the command.
    call: u64,
}

/// Commands that wait for a worker's next heartbeat.
#[derive(Debug)]
struct QueuedCommands {
    /// Fencing token of the leader that sent them.
    fencing_token: FencingToken,
    commands: Vec<WorkerCommand>,
}

/// What passes through this node between the leader and workers.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Relayed commands under way, by this node's id of the request to the worker.
    calls: BTreeMap<RequestId, RelayedCall>,
    /// Commands that go out with the answers to the next heartbeats.
    queued_commands: BTreeMap<MachineId, QueuedCommands>,
}

impl Relay {
    /// Takes out the commands queued for a machine. Those of another leader than the one with `fencing_token` are
    /// dropped.
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

    /// Queues a leader's commands, in place of those that are queued for the same machines.
    pub(super) fn queue(&mut self, fencing_token: FencingToken, commands: Vec<MachineCommands>) {
        for MachineCommands { machine, commands } in commands {
            if self.queued_commands.len() < MAX_QUEUED_MACHINES {
                self.queued_commands.insert(machine, QueuedCommands { fencing_token, commands });
            }
        }
    }

    /// Drops what leaders before the one with `fencing_token` have queued.
    pub(super) fn drop_queued_before(&mut self, fencing_token: FencingToken) {
        self.queued_commands.retain(|_, queued| queued.fencing_token >= fencing_token);
    }
}

impl Controller {
    /// Relays a leader's commands to workers. One that was held up on its way to this node is as harmless as one that
    /// was held up on its way to the worker: it names worker epoch and fencing token, and the leader has long counted
    /// it as unacknowledged.
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
                    let request_id = self.out.command_worker(addr, body, timeout);
                    let relayed = RelayedCall { leader: from.clone(), fencing_token, call };
                    self.relay.calls.insert(request_id, relayed);
                }
                Err(failure) => failed.push(RelayResult { call, status: failure.status(), position: None }),
            }
        }
        if !failed.is_empty() {
            self.out.send(from, PeerMessage::RelayResults { fencing_token, calls: failed });
        }
    }

    /// What is to be sent of a relayed command.
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

    /// A command without the starts of finished jobs: this node may have answered a user that a job is cancelled
    /// before the leader has learned of it.
    fn without_finished_starts(&self, body: &str) -> Filtered {
        #[cfg(any(test, feature = "simulation"))]
        if self.injected_faults.relays_all_starts {
            return Filtered::Unchanged;
        }
        workers::without_starts(body, |job: &JobId| self.job_cache.terminal_status(job).is_some())
    }

    /// Processes a worker's reply to a direct command: as the leader, or for the one that it was relayed for.
    pub(super) fn worker_reply(&mut self, request_id: RequestId, status: u16, body: &[u8]) {
        let at = serde_json::from_slice::<Heartbeat>(body).ok().map(|heartbeat| heartbeat.position());
        let Some(relayed) = self.relay.calls.remove(&request_id) else {
            return self.command_answered(request_id, status, at);
        };
        if let Some(at) = at {
            self.observe_fencing_token(at.fencing_token);
        }
        let results = vec![RelayResult { call: relayed.call, status, position: at }];
        let message = PeerMessage::RelayResults { fencing_token: relayed.fencing_token, calls: results };
        self.out.send(&relayed.leader, message);
    }

    /// Hands the answer to one of this leader's own commands to the leader's state.
    fn command_answered(&mut self, request_id: RequestId, status: u16, at: Option<HeartbeatPosition>) {
        let fencing_token = self
            .leading()
            .and_then(|(leader, context)| leader.worker_reply(request_id, status, at, context.now));
        if let Some(fencing_token) = fencing_token {
            self.observe_fencing_token(fencing_token);
        }
    }

    /// Processes the results of commands that this leader has sent by way of another node.
    pub(super) fn relay_results(&mut self, results: Vec<RelayResult>) {
        for RelayResult { call, status, position } in results {
            let request_id = RequestId(call);
            if self.out.relay_answered(request_id) {
                self.command_answered(request_id, status, position);
            }
        }
    }

    /// Gives up on relayed commands without a result: the node that relayed them may be gone.
    pub(super) fn expire_relayed_commands(&mut self) {
        for request_id in self.out.overdue_relays(self.now) {
            self.command_answered(request_id, CommandFailure::NoAnswer.status(), None);
        }
    }
}
