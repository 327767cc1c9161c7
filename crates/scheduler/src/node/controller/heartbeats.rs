//! Workers' reports at any node: answered as the leader, in the leader's name, or sent elsewhere; and orders
//! that are passed on for the leader.

use super::*;
use crate::cluster_version;
use crate::node::leader::ISOLATION_PREFIX;
use crate::types::MachineId;
use crate::wire::workers::{Filtered, WorkerCommand};
use crate::workers::stop_finished;
use pearford_heartbeat::{IncomingHeartbeat, RelayResult, RelayedCommand, Routing};
use std::collections::VecDeque;

/// Orders passed on for a leader at a time; more are answered as not sent.
const MAX_RELAYED: usize = 4096;
/// Machines that orders wait for.
const MAX_QUEUED_COMMANDS: usize = 10_000;
/// Not passed on, and never will be: its leader is not the latest, or it only starts what is over.
const NOT_SENT: u16 = 409;
/// As one without an answer: should it come again, it may be passed on then.
const NO_ANSWER: u16 = 0;

/// Reports that wait for a leader here, at most, and for how long. A worker that is turned away comes back in a second,
/// one that gets no answer in five: while nobody led, being turned away made five times the usual load, and no node got
/// as far as to lead (four times the andina fleet). Workers wait 4 s for an answer.
const MAX_DEFERRED: usize = 8192;
const DEFER_AT_MOST: Duration = Duration::from_millis(2800);
/// A node that has just started may be the first that is back.
const ALONE_AFTER: Duration = Duration::from_millis(10_000);
/// A look at the leader key counts for so long.
const LEADER_READ_HOLDS: Duration = Duration::from_millis(3000);
/// Reports taken out of waiting in a step: they come beside all else.
const DEFERRED_AT_ONCE: usize = 100;

/// What passes through this node between the leader and workers.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Direct orders under way, for whom, and as what they know it.
    calls: BTreeMap<RequestId, (NodeName, FencingToken, u64)>,
    /// Orders that go out with the answers to the next reports.
    queued_commands: BTreeMap<MachineId, (FencingToken, Vec<WorkerCommand>)>,
    /// Reports that came while no leader was known, in their order.
    deferred: VecDeque<(MonotonicTime, RequestId, Heartbeat)>,
    /// Guard out: starts of what is over are passed on.
    #[cfg(any(test, feature = "world"))]
    passes_all: bool,
}

impl Controller {
    pub(super) fn heartbeat(&mut self, request: RequestId, body: &[u8]) {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.out.refuse(request, 400, &error.to_string()),
        };
        if !self.is_possible(heartbeat.fencing_token) {
            tracing::warn!(machine = %heartbeat.machine, fencing_token = %heartbeat.fencing_token, "a report names a fence that nobody can have given");
            return self.out.refuse(request, 400, "fence: no controller can have given it");
        }
        self.saw_fencing_token(heartbeat.fencing_token);
        if !self.answer_heartbeat(request, &heartbeat) {
            self.worker_turned_away_at = self.now;
            // Where no peer is heard, it may be this node that is apart: others may reach a leader.
            let up_for = self.now.since(self.started_at.unwrap_or(self.now));
            let alone = self.peers.live(self.now).is_empty() && up_for > ALONE_AFTER;
            let waits = self.known_leader().is_none() && !alone;
            match waits && self.relay.deferred.len() < MAX_DEFERRED {
                true => self.relay.deferred.push_back((self.now, request, heartbeat)),
                false => self.redirect(request),
            }
        }
    }

    /// Answers a report as the leader or in its name; false: this node can do neither.
    fn answer_heartbeat(&mut self, request: RequestId, heartbeat: &Heartbeat) -> bool {
        let taken = self
            .leading()
            .is_some_and(|(leader, mut context)| leader.heartbeat(&mut context, request, heartbeat));
        if taken && self.election.leads() {
            // Should it lose the lead and be apart from the next, it says whose leases live by its answers.
            let lease = Duration::from_secs_f64(self.settings.workers.lease_s);
            self.isolation_reporter.answered(&heartbeat.machine, &heartbeat.zone, lease, self.now);
        }
        taken || self.answer_as_delegate(request, heartbeat)
    }

    /// Reports that wait are answered once somebody leads, and sent on before their workers give up.
    fn answer_deferred(&mut self) {
        let leads = self.known_leader().is_some() || self.election.leads();
        for _ in 0..DEFERRED_AT_ONCE {
            let Some((at, ..)) = self.relay.deferred.front() else { return };
            let late = self.now.since(*at) >= DEFER_AT_MOST;
            if !late && !leads {
                return;
            }
            let Some((_, request, heartbeat)) = self.relay.deferred.pop_front() else { return };
            if !self.answer_heartbeat(request, &heartbeat) {
                self.redirect(request);
            }
        }
    }

    /// Answers in the leader's name, or sends the worker where it belongs; false: this node has no delegation.
    fn answer_as_delegate(&mut self, request: RequestId, heartbeat: &Heartbeat) -> bool {
        let Some(fencing_token) = self.delegate.fencing_token().filter(|_| !self.election.leads()) else {
            return false;
        };
        let (machine, zone) = (&heartbeat.machine, &heartbeat.zone);
        let tells = self.cluster_version.reached() >= cluster_version::UNACKNOWLEDGED_STARTS;
        let (top, may_renew) = (
            self.highest_fencing_token,
            self.lease_renewal.delegate_may_renew(machine, fencing_token, tells, self.now),
        );
        let ask = IncomingHeartbeat { machine, zone, at: heartbeat.position(), content: heartbeat.content() };
        match self.delegate.heartbeat_received(ask, top, may_renew, self.now) {
            Routing::NoDelegation => return false,
            Routing::Redirect(node) => self.out.answer(request, 421, workers::redirect(Some(&node))),
            Routing::TryAnotherNode => {
                self.worker_turned_away_at = self.now;
                self.out.answer(request, 421, workers::redirect(None));
            }
            Routing::Answer(fencing_token) => {
                self.isolation_reporter.answered(
                    machine,
                    zone,
                    Duration::from_secs_f64(self.settings.workers.lease_s),
                    self.now,
                );
                // No start ever goes this way; what the leader sends on its own goes directly.
                let mut commands = match self.relay.queued_commands.remove(&heartbeat.machine) {
                    Some((of, queued_commands)) if of == fencing_token => queued_commands,
                    _ => Vec::new(),
                };
                let job_cache = &self.job_cache;
                if self.lease_renewal.stops() {
                    stop_finished(heartbeat, |job| job_cache.terminal_status(job).is_some(), &mut commands);
                }
                self.out.answer(request, 200, workers::answer(fencing_token, &commands));
            }
        }
        true
    }

    /// Who leads, if that is known.
    fn known_leader(&self) -> Option<&NodeName> {
        let known = self.leader_hint.as_ref();
        let known = known.filter(|(f, _, at)| {
            *f >= self.highest_fencing_token && self.now.since(*at) < Duration::from_millis(3000)
        });
        known.map(|(_, leader, _)| leader)
    }

    fn redirect(&mut self, request: RequestId) {
        match self.known_leader().cloned() {
            Some(leader) => self.out.answer(request, 421, workers::redirect(Some(&leader))),
            None => self.out.refuse(request, 503, "no leader is known here"),
        }
    }

    /// A worker's answer to something direct: for this node as leader, or to be passed on.
    pub(super) fn worker(&mut self, request_id: RequestId, status: u16, body: &[u8]) {
        let at = serde_json::from_slice::<Heartbeat>(body).ok().map(|r| r.position());
        match self.relay.calls.remove(&request_id) {
            Some((leader, fencing_token, call)) => {
                if let Some(at) = at {
                    self.saw_fencing_token(at.fencing_token);
                }
                let calls = vec![RelayResult { call, status, at }];
                self.out.tell(&leader, PeerMessage::RelayResults { fencing_token, calls });
            }
            None => self.worker_answered(request_id, status, at),
        }
    }

    fn worker_answered(&mut self, request_id: RequestId, status: u16, at: Option<HeartbeatPosition>) {
        let seen = self
            .leading()
            .and_then(|(leader, context)| leader.worker_reply(request_id, status, at, context.now));
        if let Some(fencing_token) = seen {
            self.saw_fencing_token(fencing_token);
        }
    }

    /// What nodes say to one another about reports.
    pub(super) fn heartbeat_message(&mut self, from: &NodeName, message: PeerMessage) {
        match message {
            PeerMessage::Delegation(d) if self.heed(d.fencing_token, from) && !self.election.leads() => {
                self.delegate.delegation_received(from, d, self.now);
            }
            PeerMessage::UnacknowledgedStarts(unacknowledged_starts)
                if unacknowledged_starts.fencing_token >= self.highest_fencing_token =>
            {
                self.lease_renewal.unacknowledged_starts_received(unacknowledged_starts, self.now)
            }
            PeerMessage::ResendHeartbeats { fencing_token, machines }
                if self.delegate.fencing_token() == Some(fencing_token) =>
            {
                self.delegate.resend_requested(machines);
            }
            PeerMessage::QueuedCommands { fencing_token, commands }
                if fencing_token >= self.highest_fencing_token =>
            {
                for (machine, commands) in commands {
                    if self.relay.queued_commands.len() < MAX_QUEUED_COMMANDS {
                        self.relay.queued_commands.insert(machine, (fencing_token, commands));
                    }
                }
            }
            PeerMessage::RelayCommands { fencing_token, calls } => {
                self.relay_commands(from, fencing_token, calls)
            }
            PeerMessage::HeartbeatDigest(digest) => {
                if let Some((leader, mut context)) = self.leading() {
                    leader.digest(&mut context, from, digest);
                }
            }
            PeerMessage::RelayResults { fencing_token, calls }
                if fencing_token == self.election.fencing_token() =>
            {
                for RelayResult { call, status, at } in calls {
                    if self.out.relay_answered(RequestId(call)) {
                        self.worker_answered(RequestId(call), status, at);
                    }
                }
            }
            _ => {}
        }
    }

    /// Passes a leader's direct orders on. One that a cut has held back is as good as one that was late on its
    /// way to the worker: it names session and fence, and its sender has long counted it as in doubt.
    fn relay_commands(&mut self, from: &NodeName, fencing_token: FencingToken, calls: Vec<RelayedCommand>) {
        let mut refused = Vec::new();
        for RelayedCommand { call, addr, mut body, timeout } in calls {
            // The leader may not know yet what this node has told a user: that a job is withdrawn.
            let job_cache = &self.job_cache;
            let passed = workers::without_starts(&body, |job| job_cache.terminal_status(job).is_some());
            #[cfg(any(test, feature = "world"))]
            let passed = if self.relay.passes_all { Filtered::Unchanged } else { passed };
            let late = fencing_token < self.highest_fencing_token || passed == Filtered::Empty;
            if let Filtered::Reduced(rest) = passed {
                body = rest;
            }
            if late || self.relay.calls.len() >= MAX_RELAYED {
                refused.push(RelayResult { call, status: if late { NOT_SENT } else { NO_ANSWER }, at: None });
                continue;
            }
            let request_id = self.out.command_worker(addr, body, timeout);
            self.relay.calls.insert(request_id, (from.clone(), fencing_token, call));
        }
        if !refused.is_empty() {
            self.out.tell(from, PeerMessage::RelayResults { fencing_token, calls: refused });
        }
    }

    /// A node that reaches the state service but not the leader answers in its name all the same, and says whom
    /// through the state service: else the workers of a zone whose node is cut off from the leader's die with their
    /// leases, and a leader on the smaller side never learns of the others.
    fn apart_tick(&mut self) {
        let lease = Duration::from_secs_f64(self.settings.workers.lease_s);
        let on = heartbeats_delegated(&self.settings, self.cluster_version.reached())
            && self.known_leader().is_none();
        let other_leader = self.election.other_leader(LEADER_READ_HOLDS, self.now).filter(|_| on);
        let Some((leader, fencing_token)) = other_leader.map(|l| (l.node.clone(), l.fencing_token)) else {
            return;
        };
        self.saw_fencing_token(fencing_token);
        self.delegate.delegation_inferred(&leader, fencing_token, &self.settings.zone, self.now);
        let up_for = self.now.since(self.started_at.unwrap_or(self.now));
        if self.delegate.is_fresh(self.now) || up_for < LEADER_READ_HOLDS {
            return;
        }
        if let Some(isolation_report) = self.isolation_reporter.isolation_report(
            fencing_token,
            self.delegate.heard_at(),
            &self.settings.zone,
            lease,
            self.now,
        ) {
            let key = format!("{ISOLATION_PREFIX}{}", self.settings.node);
            let value = serde_json::to_string(&isolation_report).unwrap_or_default();
            let changes = vec![Change::Put { key, value, lease: None }];
            self.out.request_store(StoreRequest::Commit { conditions: Vec::new(), changes }, Pending::Apart);
        }
    }

    pub(super) fn heartbeats_tick(&mut self) {
        self.apart_tick();
        self.answer_deferred();
        for request_id in self.out.relays_overdue(self.now) {
            self.worker_answered(request_id, 0, None);
        }
        if !self.election.leads()
            && let Some((leader, digest)) = self.delegate.digest(self.now)
        {
            self.out.tell(&leader, PeerMessage::HeartbeatDigest(digest));
        }
        let (top, queued_commands) = (self.highest_fencing_token, &mut self.relay.queued_commands);
        if queued_commands.values().any(|(fencing_token, _)| *fencing_token < top) {
            queued_commands.retain(|_, (fencing_token, _)| *fencing_token >= top);
        }
    }
}

/// Guards taken out, for proving that the test world's checker notices.
#[cfg(any(test, feature = "world"))]
impl Controller {
    pub fn sabotage_pass_all(&mut self) {
        self.relay.passes_all = true;
    }

    /// Requests are answered from memory, without the read that they wait for.
    pub fn sabotage_stale(&mut self) {
        self.pending_requests.begin_read();
        self.read_ends(true);
    }
}
