//! The leader's part in reports that other nodes answer: delegations out, digests in, orders by way of whoever
//! hears the worker. `pearford_heartbeat` decides; here what it says meets the ledger.

use super::*;
use crate::compat;
use pearford_heartbeat::{HeardHeartbeat, HeartbeatDigest, UnacknowledgedStarts};

/// Orders in one message to a node.
const ERRANDS_AT_ONCE: usize = 500;

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

impl Master {
    /// Lets the other nodes answer reports. All of them are told, also those that seem away: a delegation
    /// that comes late changes nothing.
    pub(super) fn delegate(&mut self, ctx: &mut Ctx) {
        if !ctx.heartbeats_delegated || !ctx.valid {
            return;
        }
        let live = ctx.peers.live(ctx.now);
        let peers = self.settings.peers.iter().filter(|p| live.contains(&p.name));
        let peers = peers.map(|p| (p.name.clone(), p.zone.clone()));
        let all: Vec<(NodeName, Zone)> =
            std::iter::once((self.settings.node.clone(), self.settings.zone.clone())).chain(peers).collect();
        let Some(delegation) = self.coordinator.delegation(&all, self.loaded(), ctx.now) else { return };
        let unacknowledged_starts =
            self.unacknowledged_starts(delegation.sequence, !ctx.lease_renewal.is_fresh(ctx.now));
        for peer in ctx.peers.names() {
            ctx.out.tell(peer, PeerMessage::UnacknowledgedStarts(unacknowledged_starts.clone()));
            ctx.out.tell(peer, PeerMessage::Delegation(delegation.clone()));
        }
        let up = || self.machines.values().filter(|m| m.standing == Standing::Up);
        if !self.phases.heard && self.loaded() && up().next().is_some() && up().all(Machine::heard) {
            Phases::told(
                &mut self.phases.heard,
                "all machines heard",
                self.fencing_token,
                self.since,
                ctx.now,
            );
        }
    }

    /// Where starts of this leader may still arrive. `blind`: its own look is too old to know what is cancelled.
    fn unacknowledged_starts(&self, sequence: u64, blind: bool) -> UnacknowledgedStarts {
        let doubtful = self.machines.values().filter(|m| m.in_doubt());
        let (mut machines, mut never_renew) = (Vec::new(), Vec::new());
        for m in doubtful {
            machines.push(m.id.clone());
            if blind || m.standing == Standing::Releasing {
                never_renew.push(m.id.clone());
            }
        }
        UnacknowledgedStarts::new(self.fencing_token, sequence, machines, never_renew)
    }

    /// What another node has heard of workers.
    pub(in crate::node) fn digest(&mut self, ctx: &mut Ctx, from: &NodeName, digest: HeartbeatDigest) {
        if !self.loaded() || !ctx.holds {
            return; // told again once all records are read
        }
        Phases::told(&mut self.phases.digest, "first digest", self.fencing_token, self.since, ctx.now);
        for heard in self.coordinator.digest(from, digest, ctx.now) {
            self.heard_elsewhere(ctx, from, heard);
        }
        for (node, machines) in self.coordinator.take_missing() {
            ctx.out
                .tell(&node, PeerMessage::ResendHeartbeats { fencing_token: self.fencing_token, machines });
        }
    }

    /// Takes in what this node heard before it led.
    pub(super) fn take_early(&mut self, ctx: &mut Ctx) {
        let me = self.settings.node.clone();
        for heard in self.coordinator.seed(std::mem::take(&mut self.early), self.since, ctx.now) {
            self.heard_elsewhere(ctx, &me, heard);
        }
    }

    fn heard_elsewhere(&mut self, ctx: &mut Ctx, from: &NodeName, heard: HeardHeartbeat) {
        let id = &heard.machine;
        if self.tombs.contains_key(id) {
            return self.coordinator.forget(id);
        }
        let settled = self.machines.get(id).is_some_and(|m| m.heard() && m.is_settled());
        if settled && !heard.new {
            if let Some(m) = self.machines.get_mut(id) {
                m.heard_again(heard.at.session, heard.at.serial, heard.heard);
                ctx.peers.heard_zone(&m.zone, heard.heard);
            }
            return;
        }
        // A report is worth the same whoever has heard it: it carries session, serial and the fence that the
        // worker had seen.
        let Some(known) = self.coordinator.known(id) else { return };
        let Some(report) = Report::of(id, heard.at, &known.content) else {
            tracing::error!(machine = %id, node = %from, "a report told by another node can't be read");
            return;
        };
        self.take_report(&report, ctx.now);
        ctx.peers.heard_zone(&report.zone, heard.heard);
        let may_start = self.may_start(ctx);
        let Some(m) = self.machines.get_mut(id) else { return };
        if (m.session, m.serial) != (report.session, report.serial) {
            return;
        }
        m.last_report = Some(heard.heard);
        let mirror = &ctx.mirror;
        let over = |task: &TaskId| mirror.verdict(&task.job).is_some();
        let (errands, again) = m.orders_elsewhere(&report, may_start, over, ctx.now);
        if !errands.is_empty() && *from != self.settings.node {
            self.errands.entry(from.clone()).or_default().push((id.clone(), errands));
        }
        if m.has_starts() {
            self.to_direct.insert(id.clone());
        }
        if let (false, Some(addr)) = (again.is_empty(), m.addr.clone()) {
            // In doubt until the worker's session ends, whatever becomes of this one.
            let body = workers::command(self.fencing_token, m.session, &again);
            let (machine, session) = (id.clone(), m.session);
            let request_id = self.ask(ctx, &machine, addr, body, calls::WORKER_PATIENCE);
            self.directs.insert(request_id, DirectCall { machine, session, starts: Vec::new() });
        }
    }

    pub(super) fn send_errands(&mut self, ctx: &mut Ctx) {
        for (node, mut orders) in std::mem::take(&mut self.errands) {
            while !orders.is_empty() {
                let rest = orders.split_off(orders.len().min(ERRANDS_AT_ONCE));
                ctx.out
                    .tell(&node, PeerMessage::QueuedCommands { fencing_token: self.fencing_token, orders });
                orders = rest;
            }
        }
    }
}

/// Whether all nodes understand what is needed for it, and the operators want it.
pub(in crate::node) fn on(settings: &Settings, reached: compat::Level) -> bool {
    settings.operator.report_homes && reached >= compat::HEARTBEAT_DELEGATION
}
