//! Workers' reports, and what goes straight to a worker: orders, the fence, questions.

use super::*;
use crate::workers::stop_finished;
use pearford_heartbeat::HeartbeatPosition;

/// How long a worker has to answer an order.
pub(super) const WORKER_TIMEOUT: Duration = Duration::from_millis(3000);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Workers that are sent orders at a time, if the node's limit of sockets allows as many: after all leases have ended
/// thousands of starts are due at once, and each costs a connection. Those beyond get theirs as these answer, or with
/// their next report.
const DIRECTS_AT_ONCE: usize = 512;
/// Workers that are told the fence directly at a time.
const PUSHES_AT_ONCE: usize = 8;

impl Leader {
    /// Takes a report and answers it; false: this node may not speak for the controllers now.
    pub(in crate::node) fn heartbeat(
        &mut self,
        context: &mut StepContext,
        request: RequestId,
        heartbeat: &Heartbeat,
    ) -> bool {
        let may_start = self.may_start(context);
        if !self.may_renew(context, &heartbeat.machine) {
            return false;
        }
        if self.tombstones.contains_key(&heartbeat.machine) {
            context.out.refuse(request, 503, "this machine was returned");
            return true;
        }
        if context.heartbeats_delegated && self.loaded() {
            if let Some(home) =
                self.coordinator.redirect_for(&heartbeat.machine, &heartbeat.zone, context.now)
            {
                context.out.answer(request, 421, workers::redirect(Some(&home)));
                return true;
            }
            self.coordinator.heartbeat_received_here(&heartbeat.machine, heartbeat.position(), Vec::new());
        }
        context.peers.heard_zone(&heartbeat.zone, context.now);
        let job_cache = &context.job_cache;
        let over = |task: &TaskId| job_cache.terminal_status(&task.job).is_some();
        let mut commands = Vec::new();
        // Before the records are read its lease is renewed and it learns the fence; what it says of its tasks can only
        // be judged afterwards.
        if self.loaded() {
            self.process_heartbeat(heartbeat, context.now);
            if let Some(m) = self.machines.get_mut(&heartbeat.machine)
                && (m.worker_epoch, m.serial) == (heartbeat.worker_epoch, heartbeat.serial)
            {
                commands = m.commands(heartbeat, may_start, over, may_start);
            }
        }
        if context.lease_renewal.stops() {
            stop_finished(heartbeat, |job| job_cache.terminal_status(job).is_some(), &mut commands);
        }
        context.out.answer(request, 200, workers::answer(self.fencing_token, &commands));
        true
    }

    /// A worker's answer to something direct; the fence that it has seen, if it says one.
    pub(in crate::node) fn worker(
        &mut self,
        request_id: RequestId,
        status: u16,
        heartbeat: Option<HeartbeatPosition>,
        now: MonotonicTime,
    ) -> Option<FencingToken> {
        if let Some(call) = self.directs.remove(&request_id) {
            let at = match (&heartbeat, status) {
                (Some(r), 200) => Some(Some((r.worker_epoch, r.serial))),
                (_, 400 | 409) => Some(None),
                _ => None,
            };
            if let Some(m) = self.machines.get_mut(&call.machine) {
                m.direct_answered(call.starts, call.worker_epoch, at);
            }
            return heartbeat.map(|r| r.fencing_token);
        }
        if let Some(machine) = self.probes.remove(&request_id) {
            if let Some(m) = self.machines.get_mut(&machine) {
                if status == 0 {
                    m.unanswered += 1;
                } else {
                    (m.unanswered, m.answered_at) = (0, now);
                }
            }
            return None;
        }
        let machine = self.pushes.remove(&request_id)?;
        // The body is a report, but only what it says of fence and session is used: it may have
        // been made before an order sent in answer to a report ran, and would prove nothing.
        let heartbeat = heartbeat?;
        if let Some(m) = self.machines.get_mut(&machine)
            && status == 409
            && heartbeat.fencing_token < self.fencing_token
            && heartbeat.worker_epoch > m.worker_epoch
        {
            m.last_known_epoch = heartbeat.worker_epoch;
            self.to_push.insert(machine);
        }
        Some(heartbeat.fencing_token)
    }

    /// Sends something straight to a worker, by way of the node that hears it if that is another one.
    pub(super) fn send_to_worker(
        &mut self,
        context: &mut StepContext,
        id: &MachineId,
        addr: String,
        body: String,
        timeout: Duration,
    ) -> RequestId {
        let via = self.coordinator.route(id, context.now).filter(|_| context.heartbeats_delegated);
        send_to_worker_via(context, via, addr, body, timeout)
    }

    /// Tells workers the fence that have not reported yet. A few at a time: most learn it by their
    /// next report before their turn comes.
    pub(super) fn push_fencing_token(&mut self, context: &mut StepContext) {
        while self.pushes.len() < PUSHES_AT_ONCE
            && let Some(id) = self.to_push.pop_first()
        {
            let Some(m) = self.machines.get(&id).filter(|m| m.fencing_token < self.fencing_token) else {
                continue;
            };
            let Some(addr) = m.addr.clone() else { continue };
            let body = workers::command(self.fencing_token, m.worker_epoch.max(m.last_known_epoch), &[]);
            let request_id = self.send_to_worker(context, &id, addr, body, WORKER_TIMEOUT);
            self.pushes.insert(request_id, id);
        }
    }

    /// Orders that needn't wait for a worker's next report go straight to it.
    pub(super) fn send_directs(&mut self, context: &mut StepContext) {
        let (may_start, fencing_token) = (self.may_start(context), self.fencing_token);
        let at_once = DIRECTS_AT_ONCE.min(self.settings.limits.commands());
        while self.directs.len() < at_once
            && let Some(id) = self.to_direct.pop_first()
        {
            let Some(m) = self.machines.get_mut(&id).filter(|m| m.reachable(fencing_token)) else { continue };
            let (commands, starts) = m.direct_commands(may_start, context.now);
            if let (false, Some(addr)) = (commands.is_empty(), m.addr.clone()) {
                self.phases.ordered(self.fencing_token, self.since, context.now);
                let body = workers::command(fencing_token, m.worker_epoch, &commands);
                let worker_epoch = m.worker_epoch;
                let request_id = self.send_to_worker(context, &id, addr, body, WORKER_TIMEOUT);
                self.directs.insert(request_id, DirectCall { machine: id, worker_epoch, starts });
            }
        }
    }

    /// Asks silent workers whether they are there.
    pub(super) fn probe(&mut self, context: &mut StepContext) {
        for (id, addr, body) in self.silent_workers(context.now) {
            // The second question takes another way: it may be this node, or the one that heard the worker,
            // that has lost it. (A leader that had lost the workers' network gave up those whose reports it
            // answered itself, andina fleet, apart.)
            let again = self.machines.get(&id).is_some_and(|m| m.unanswered % 2 == 1);
            let via = match again {
                true => self.coordinator.detour(&id, context.now),
                false => self.coordinator.route(&id, context.now),
            };
            let request_id = send_to_worker_via(
                context,
                via.filter(|_| context.heartbeats_delegated),
                addr,
                body,
                PROBE_TIMEOUT,
            );
            self.probes.insert(request_id, id);
        }
    }
}

fn send_to_worker_via(
    context: &mut StepContext,
    via: Option<&NodeName>,
    addr: String,
    body: String,
    timeout: Duration,
) -> RequestId {
    match via {
        Some(node) => context.out.relay(node, addr, body, timeout, context.now),
        None => context.out.command_worker(addr, body, timeout),
    }
}
