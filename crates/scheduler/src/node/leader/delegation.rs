//! The leader's part in reports that other nodes answer: delegations out, digests in, orders by way of whoever
//! hears the worker. `pearford_heartbeat` decides; here what it says meets the ledger.

use super::*;
use crate::cluster_version;
use pearford_heartbeat::{HeardHeartbeat, HeartbeatDigest, UnacknowledgedStarts};

/// Orders in one message to a node.
const COMMANDS_PER_MESSAGE: usize = 500;

/// How a take-over goes on, for operators: each is logged once.
#[derive(Debug, Default)]
pub(super) struct Phases {
    digest: bool,
    order: bool,
    heard: bool,
}

impl Phases {
    fn told(
        once: &mut bool,
        phase: &str,
        fencing_token: FencingToken,
        since: MonotonicTime,
        now: MonotonicTime,
    ) {
        if !std::mem::replace(once, true) {
            tracing::info!(%fencing_token, after_ms = now.since(since).0, phase, "take-over");
        }
    }

    pub(super) fn ordered(&mut self, fencing_token: FencingToken, since: MonotonicTime, now: MonotonicTime) {
        Self::told(&mut self.order, "first order", fencing_token, since, now);
    }
}

impl Leader {
    /// Lets the other nodes answer reports. All of them are told, also those that seem away: a delegation
    /// that comes late changes nothing.
    pub(super) fn delegate(&mut self, context: &mut StepContext) {
        if !context.heartbeats_delegated || !context.valid {
            return;
        }
        let live = context.peers.live(context.now);
        let peers = self.settings.peers.iter().filter(|p| live.contains(&p.name));
        let peers = peers.map(|p| (p.name.clone(), p.zone.clone()));
        let all: Vec<(NodeName, Zone)> =
            std::iter::once((self.settings.node.clone(), self.settings.zone.clone())).chain(peers).collect();
        let Some(delegation) = self.coordinator.delegation(&all, self.loaded(), context.now) else { return };
        let unacknowledged_starts =
            self.unacknowledged_starts(delegation.sequence, !context.lease_renewal.is_fresh(context.now));
        for peer in context.peers.names() {
            context.out.tell(peer, PeerMessage::UnacknowledgedStarts(unacknowledged_starts.clone()));
            context.out.tell(peer, PeerMessage::Delegation(delegation.clone()));
        }
        let up = || self.machines.values().filter(|m| m.status == MachineStatus::Up);
        if !self.phases.heard && self.loaded() && up().next().is_some() && up().all(Machine::has_been_heard) {
            Phases::told(
                &mut self.phases.heard,
                "all machines heard",
                self.fencing_token,
                self.since,
                context.now,
            );
        }
    }

    /// Where starts of this leader may still arrive. `blind`: its own look is too old to know what is cancelled.
    fn unacknowledged_starts(&self, sequence: u64, blind: bool) -> UnacknowledgedStarts {
        let unacknowledged = self.machines.values().filter(|m| m.has_unacknowledged_starts());
        let (mut machines, mut never_renew) = (Vec::new(), Vec::new());
        for m in unacknowledged {
            machines.push(m.id.clone());
            if blind || m.status == MachineStatus::Releasing {
                never_renew.push(m.id.clone());
            }
        }
        UnacknowledgedStarts::new(self.fencing_token, sequence, machines, never_renew)
    }

    /// What another node has heard of workers.
    pub(in crate::node) fn digest(
        &mut self,
        context: &mut StepContext,
        from: &NodeName,
        digest: HeartbeatDigest,
    ) {
        if !self.loaded() || !context.holds {
            return; // told again once all records are read
        }
        Phases::told(&mut self.phases.digest, "first digest", self.fencing_token, self.since, context.now);
        for heard in self.coordinator.digest(from, digest, context.now) {
            self.process_delegated_heartbeat(context, from, heard);
        }
        for (node, machines) in self.coordinator.take_missing() {
            context
                .out
                .tell(&node, PeerMessage::ResendHeartbeats { fencing_token: self.fencing_token, machines });
        }
    }

    /// Takes in what this node heard before it led.
    pub(super) fn take_early(&mut self, context: &mut StepContext) {
        let me = self.settings.node.clone();
        for heard in
            self.coordinator.seed(std::mem::take(&mut self.early_heartbeats), self.since, context.now)
        {
            self.process_delegated_heartbeat(context, &me, heard);
        }
    }

    fn process_delegated_heartbeat(
        &mut self,
        context: &mut StepContext,
        from: &NodeName,
        heard: HeardHeartbeat,
    ) {
        let id = &heard.machine;
        if self.tombstones.contains_key(id) {
            return self.coordinator.forget(id);
        }
        let settled = self.machines.get(id).is_some_and(|m| m.has_been_heard() && m.is_settled());
        if settled && !heard.new {
            if let Some(m) = self.machines.get_mut(id) {
                m.heartbeat_unchanged(heard.at.worker_epoch, heard.at.serial, heard.heard);
                context.peers.heard_zone(&m.zone, heard.heard);
            }
            return;
        }
        // A report is worth the same whoever has heard it: it carries session, serial and the fence that the
        // worker had seen.
        let Some(known) = self.coordinator.known(id) else { return };
        let Some(heartbeat) = Heartbeat::of(id, heard.at, &known.content) else {
            tracing::error!(machine = %id, node = %from, "a report told by another node can't be read");
            return;
        };
        self.process_heartbeat(&heartbeat, context.now);
        context.peers.heard_zone(&heartbeat.zone, heard.heard);
        let may_start = self.may_start(context);
        let Some(m) = self.machines.get_mut(id) else { return };
        if (m.worker_epoch, m.serial) != (heartbeat.worker_epoch, heartbeat.serial) {
            return;
        }
        m.last_heartbeat = Some(heard.heard);
        let job_cache = &context.job_cache;
        let over = |task: &TaskId| job_cache.terminal_status(&task.job).is_some();
        let (queued_commands, again) = m.commands_for_delegate(&heartbeat, may_start, over, context.now);
        if !queued_commands.is_empty() && *from != self.settings.node {
            self.queued_commands.entry(from.clone()).or_default().push((id.clone(), queued_commands));
        }
        if m.has_starts() {
            self.to_direct.insert(id.clone());
        }
        if let (false, Some(addr)) = (again.is_empty(), m.addr.clone()) {
            // In doubt until the worker's session ends, whatever becomes of this one.
            let body = workers::command(self.fencing_token, m.worker_epoch, &again);
            let (machine, worker_epoch) = (id.clone(), m.worker_epoch);
            let request_id =
                self.send_to_worker(context, &machine, addr, body, worker_commands::WORKER_TIMEOUT);
            self.directs.insert(request_id, DirectCall { machine, worker_epoch, starts: Vec::new() });
        }
    }

    pub(super) fn send_queued_commands(&mut self, context: &mut StepContext) {
        for (node, mut commands) in std::mem::take(&mut self.queued_commands) {
            while !commands.is_empty() {
                let rest = commands.split_off(commands.len().min(COMMANDS_PER_MESSAGE));
                context
                    .out
                    .tell(&node, PeerMessage::QueuedCommands { fencing_token: self.fencing_token, commands });
                commands = rest;
            }
        }
    }
}

/// Whether all nodes understand what is needed for it, and the operators want it.
pub(in crate::node) fn on(settings: &Settings, reached: cluster_version::FeatureLevel) -> bool {
    settings.operator.report_homes && reached >= cluster_version::HEARTBEAT_DELEGATION
}
