//! Heartbeats that other nodes answer: sends delegations to the nodes, processes their digests, and sends
//! commands through the node that receives the worker's heartbeats. `pearford_heartbeat` decides which node
//! answers which worker; here its decisions are applied to the machines and their assignments.

use super::worker_commands::DirectCall;
use super::{Leader, StepContext};
use crate::cluster_version::{self, FeatureLevel};
use crate::peer_messages::{MachineCommands, PeerMessage};
use crate::settings::Settings;
use crate::types::{FencingToken, MachineId, MonotonicTime, NodeName, TaskId};
use crate::wire::workers::{self, Heartbeat, WorkerCommand};
use crate::workers::{DelegateCommands, Machine, MachineStatus};
use pearford_heartbeat::{HeartbeatDigest, LiveNode, ReceivedHeartbeat, ResendRequest, UnacknowledgedStarts};
use std::collections::BTreeMap;

/// Maximum number of machines whose commands go in one message to a node.
const MAX_MACHINES_PER_MESSAGE: usize = 500;

/// Logs each milestone of a failover once, for operators.
#[derive(Debug)]
pub(super) struct FailoverLog {
    fencing_token: FencingToken,
    since: MonotonicTime,
    digest_received: bool,
    command_sent: bool,
    all_machines_reported: bool,
}

impl FailoverLog {
    /// The log of a leadership that began at `since`.
    pub fn new(fencing_token: FencingToken, since: MonotonicTime) -> Self {
        Self {
            fencing_token,
            since,
            digest_received: false,
            command_sent: false,
            all_machines_reported: false,
        }
    }

    /// Records that a command was sent directly to a worker.
    pub fn command_sent(&mut self, now: MonotonicTime) {
        if !std::mem::replace(&mut self.command_sent, true) {
            self.log("first command sent", now);
        }
    }

    fn digest_received(&mut self, now: MonotonicTime) {
        if !std::mem::replace(&mut self.digest_received, true) {
            self.log("first digest received", now);
        }
    }

    fn all_machines_reported(&mut self, now: MonotonicTime) {
        if !std::mem::replace(&mut self.all_machines_reported, true) {
            self.log("heartbeats of all machines received", now);
        }
    }

    fn log(&self, phase: &str, now: MonotonicTime) {
        let after_ms = now.since(self.since).0;
        tracing::info!(fencing_token = %self.fencing_token, after_ms, phase, "failover milestone reached");
    }
}

/// Commands for other nodes to send with their answers to the workers' next heartbeats.
#[derive(Debug, Default)]
pub(super) struct QueuedCommands {
    by_node: BTreeMap<NodeName, Vec<MachineCommands>>,
}

impl QueuedCommands {
    fn add(&mut self, node: &NodeName, machine: &MachineId, commands: Vec<WorkerCommand>) {
        let commands = MachineCommands { machine: machine.clone(), commands };
        self.by_node.entry(node.clone()).or_default().push(commands);
    }
}

impl Leader {
    /// Sends the delegation, which lets nodes answer heartbeats, to all other nodes, including those that seem
    /// unreachable: a delegation that arrives late does no harm.
    pub(super) fn delegate(&mut self, context: &mut StepContext) {
        if !context.heartbeats_delegated || !context.lease_valid {
            return;
        }
        let nodes = self.live_nodes(context);
        let Some(delegation) = self.coordinator.delegation(&nodes, self.loaded(), context.now) else {
            return;
        };
        let cancellations_unknown = !context.lease_renewal.is_fresh(context.now);
        let unacknowledged = self.unacknowledged_starts(delegation.sequence, cancellations_unknown);
        for peer in context.peers.names() {
            context.outbox.send(peer, PeerMessage::UnacknowledgedStarts(unacknowledged.clone()));
            context.outbox.send(peer, PeerMessage::Delegation(delegation.clone()));
        }
        if !self.failover_log.all_machines_reported && self.loaded() && self.have_all_machines_reported() {
            self.failover_log.all_machines_reported(context.now);
        }
    }

    /// This node and the live peers, with the zone of each.
    fn live_nodes(&self, context: &StepContext) -> Vec<LiveNode> {
        let live = context.peers.live(context.now);
        let peers = self.settings.peers.iter().filter(|peer| live.contains(&peer.name));
        let peers = peers.map(|peer| LiveNode { node: peer.name.clone(), zone: peer.zone.clone() });
        let own = LiveNode { node: self.settings.node.clone(), zone: self.settings.zone.clone() };
        std::iter::once(own).chain(peers).collect()
    }

    /// Whether there are machines, and all of them have sent a heartbeat under this leadership.
    fn have_all_machines_reported(&self) -> bool {
        let mut up_machines =
            self.machines.iter().filter(|machine| machine.status == MachineStatus::Up).peekable();
        up_machines.peek().is_some() && up_machines.all(Machine::has_reported)
    }

    /// The machines to which starts of this leader may still arrive. `cancellations_unknown`: the leader's
    /// read of the job records is too old to tell which jobs are cancelled.
    fn unacknowledged_starts(&self, sequence: u64, cancellations_unknown: bool) -> UnacknowledgedStarts {
        let mut machines = Vec::new();
        let mut never_renew = Vec::new();
        for machine in self.machines.iter().filter(|machine| machine.has_unacknowledged_starts()) {
            machines.push(machine.id.clone());
            if cancellations_unknown || machine.status == MachineStatus::Releasing {
                never_renew.push(machine.id.clone());
            }
        }
        UnacknowledgedStarts::new(self.fencing_token, sequence, machines, never_renew)
    }

    /// Processes another node's digest of the heartbeats that it received.
    pub(in crate::node) fn process_digest(
        &mut self,
        context: &mut StepContext,
        from: &NodeName,
        digest: HeartbeatDigest,
    ) {
        if !self.loaded() || !context.in_leader_role {
            return; // the node sends the heartbeats again once this leader has read all records
        }
        self.failover_log.digest_received(context.now);
        for received in self.coordinator.digest_received(from, digest, context.now) {
            self.process_delegated_heartbeat(context, from, received);
        }
        for ResendRequest { node, machines } in self.coordinator.take_resend_requests() {
            let message = PeerMessage::ResendHeartbeats { fencing_token: self.fencing_token, machines };
            context.outbox.send(&node, message);
        }
    }

    /// Processes the heartbeats that this node received before it became leader.
    pub(super) fn process_early_heartbeats(&mut self, context: &mut StepContext) {
        let own_node = self.settings.node.clone();
        let early = self.record_loading.take_early_heartbeats();
        for received in self.coordinator.record_early_heartbeats(early, self.since, context.now) {
            self.process_delegated_heartbeat(context, &own_node, received);
        }
    }

    fn process_delegated_heartbeat(
        &mut self,
        context: &mut StepContext,
        from: &NodeName,
        received: ReceivedHeartbeat,
    ) {
        let id = &received.machine;
        if self.machines.was_returned(id) {
            return self.coordinator.forget(id);
        }
        if let Some(machine) = self.machines.get_mut(id)
            && machine.has_reported()
            && machine.is_settled()
            && !received.content_changed
        {
            machine.heartbeat_unchanged(
                received.position.worker_epoch,
                received.position.serial,
                received.received_at,
            );
            context.peers.record_zone_heartbeat(&machine.zone, received.received_at);
            return;
        }
        // A heartbeat proves the same facts whichever node received it: it carries the worker's epoch, the
        // serial number and the fencing token that the worker had seen.
        let Some(known) = self.coordinator.known_heartbeat(id) else { return };
        let Some(heartbeat) = Heartbeat::from_content(id, received.position, &known.content) else {
            tracing::error!(machine = %id, node = %from, "heartbeat in a digest can't be read; ignoring it");
            return;
        };
        self.process_heartbeat(&heartbeat, context.now);
        context.peers.record_zone_heartbeat(&heartbeat.zone, received.received_at);
        self.command_delegated_worker(context, from, &heartbeat, received.received_at);
    }

    /// Sends commands to a worker whose heartbeat another node has answered: some with that node's next
    /// answer, others directly.
    fn command_delegated_worker(
        &mut self,
        context: &mut StepContext,
        from: &NodeName,
        heartbeat: &Heartbeat,
        received_at: MonotonicTime,
    ) {
        let may_start = self.may_start(context);
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id) else { return };
        if !is_newest(machine, heartbeat) {
            return;
        }
        machine.last_heartbeat = Some(received_at);
        let job_cache = &context.job_cache;
        let finished = |task: &TaskId| job_cache.terminal_status(&task.job).is_some();
        let DelegateCommands { queued, direct_starts } =
            machine.commands_for_delegate(heartbeat, may_start, finished, context.now);
        if !queued.is_empty() && *from != self.settings.node {
            self.queued_commands.add(from, id, queued);
        }
        if machine.has_sendable_starts() {
            self.worker_calls.queue_commands(id.clone());
        }
        if direct_starts.is_empty() {
            return;
        }
        let Some(addr) = machine.addr.clone() else { return };
        // These starts stay unacknowledged until the worker's epoch ends, whatever the reply to this call is.
        let worker_epoch = machine.worker_epoch;
        let body = workers::command(self.fencing_token, worker_epoch, &direct_starts);
        let request_id = self.send_to_worker(context, id, addr, body);
        let call = DirectCall { machine: id.clone(), worker_epoch, starts: Vec::new() };
        self.worker_calls.commands_sent(request_id, call);
    }

    /// Sends the queued commands to the nodes that are to send them with their answers.
    pub(super) fn send_queued_commands(&mut self, context: &mut StepContext) {
        let fencing_token = self.fencing_token;
        for (node, mut commands) in std::mem::take(&mut self.queued_commands.by_node) {
            while !commands.is_empty() {
                let rest = commands.split_off(commands.len().min(MAX_MACHINES_PER_MESSAGE));
                context.outbox.send(&node, PeerMessage::QueuedCommands { fencing_token, commands });
                commands = rest;
            }
        }
    }
}

/// Whether the heartbeat is the one that the machine's state was last updated from.
pub(super) fn is_newest(machine: &Machine, heartbeat: &Heartbeat) -> bool {
    machine.worker_epoch == heartbeat.worker_epoch && machine.serial == heartbeat.serial
}

/// Whether other nodes answer heartbeats: the cluster's feature level includes it, and the operators have
/// enabled it.
pub(in crate::node) fn is_enabled(settings: &Settings, reached: FeatureLevel) -> bool {
    settings.operator.report_homes && reached >= cluster_version::HEARTBEAT_DELEGATION
}
