//! Workers' heartbeats that reach this node: answered as the leader, answered in the leader's name as its delegate,
//! redirected to another node, or deferred until a leader is known.

use super::Controller;
use crate::cluster_version;
use crate::node::leader::{ISOLATION_PREFIX, heartbeats_delegated};
use crate::node::outbox::Pending;
use crate::peer_messages::PeerMessage;
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName, RequestId};
use crate::wire::state::{Change, StoreRequest};
use crate::wire::workers::{self, Heartbeat, WorkerCommand};
use crate::workers::stop_tasks_of_finished_jobs;
use http::StatusCode;
use pearford_heartbeat::{IncomingHeartbeat, OutgoingDigest, Routing};

/// Heartbeats that wait here for a leader, at most.
///
/// A worker that is turned away comes back after one second, one that gets no answer after five. While nobody led,
/// turning workers away made five times the usual load, and no node got as far as to become leader (measured with
/// four times the machines of the andina scenario).
const MAX_DEFERRED: usize = 8192;
/// How long a heartbeat waits here for a leader. Workers wait 4 s for an answer.
const MAX_DEFERRAL: Duration = Duration::from_millis(2800);
/// Deferred heartbeats answered in one step: they come beside all other work.
const DEFERRED_PER_STEP: usize = 100;
/// A node that hears no peer counts itself as cut off only when it has been up for so long: one that has just started
/// may be the first that is back.
const ISOLATED_AFTER: Duration = Duration::from_millis(10_000);
/// How long a read of the leader key counts as current.
const LEADER_READ_LIFE: Duration = Duration::from_millis(3000);

/// A heartbeat that waits for a leader to become known.
pub(super) struct DeferredHeartbeat {
    received_at: MonotonicTime,
    request: RequestId,
    heartbeat: Heartbeat,
}

impl Controller {
    pub(super) fn heartbeat(&mut self, request: RequestId, body: &[u8]) {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.out.refuse(request, StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if !self.is_possible(heartbeat.fencing_token) {
            tracing::warn!(
                machine = %heartbeat.machine,
                fencing_token = %heartbeat.fencing_token,
                "a heartbeat has a fencing token that no leader can have"
            );
            return self.out.refuse(
                request,
                StatusCode::BAD_REQUEST,
                "fence: no controller can have given it",
            );
        }
        self.observe_fencing_token(heartbeat.fencing_token);
        if !self.answer_heartbeat(request, &heartbeat) {
            self.worker_turned_away_at = self.now;
            self.defer_or_redirect(request, heartbeat);
        }
    }

    fn defer_or_redirect(&mut self, request: RequestId, heartbeat: Heartbeat) {
        // If no peer is heard, it may be this node that is cut off: others may reach a leader.
        let isolated = self.peers.live(self.now).is_empty() && self.uptime() > ISOLATED_AFTER;
        let may_wait = self.known_leader().is_none() && !isolated;
        if may_wait && self.deferred_heartbeats.len() < MAX_DEFERRED {
            let deferred = DeferredHeartbeat { received_at: self.now, request, heartbeat };
            self.deferred_heartbeats.push_back(deferred);
        } else {
            self.redirect(request);
        }
    }

    /// Answers a heartbeat as the leader or in its name; `false` if this node can do neither.
    fn answer_heartbeat(&mut self, request: RequestId, heartbeat: &Heartbeat) -> bool {
        let answered = self
            .leading()
            .is_some_and(|(leader, mut context)| leader.heartbeat(&mut context, request, heartbeat));
        if answered && self.election.leads() {
            // Should this node lose the leadership and be cut off from the next leader, it has to report whose leases
            // its answers have renewed.
            self.note_lease_renewed(heartbeat);
        }
        answered || self.answer_as_delegate(request, heartbeat)
    }

    /// Remembers for isolation reports that this node's answer renews the worker's lease.
    fn note_lease_renewed(&mut self, heartbeat: &Heartbeat) {
        let lease = Duration::from_secs_f64(self.settings.workers.lease_s);
        self.isolation_reporter.heartbeat_answered(&heartbeat.machine, &heartbeat.zone, lease, self.now);
    }

    /// Answers deferred heartbeats once there is a leader, and redirects those whose worker would soon give up.
    fn answer_deferred(&mut self) {
        let has_leader = self.known_leader().is_some() || self.election.leads();
        for _ in 0..DEFERRED_PER_STEP {
            let Some(first) = self.deferred_heartbeats.front() else { return };
            let expired = self.now.since(first.received_at) >= MAX_DEFERRAL;
            if !expired && !has_leader {
                return;
            }
            let Some(deferred) = self.deferred_heartbeats.pop_front() else { return };
            if !self.answer_heartbeat(deferred.request, &deferred.heartbeat) {
                self.redirect(deferred.request);
            }
        }
    }

    /// Answers in the leader's name, or redirects the worker to its assigned node; `false` if the leader has not
    /// delegated heartbeats to this node.
    fn answer_as_delegate(&mut self, request: RequestId, heartbeat: &Heartbeat) -> bool {
        if self.election.leads() {
            return false;
        }
        let Some(fencing_token) = self.delegate.fencing_token() else { return false };
        let machine = &heartbeat.machine;
        let starts_announced = self.cluster_version.reached() >= cluster_version::UNACKNOWLEDGED_STARTS;
        let may_renew =
            self.lease_renewal.delegate_may_renew(machine, fencing_token, starts_announced, self.now);
        let incoming = IncomingHeartbeat {
            machine,
            zone: &heartbeat.zone,
            position: heartbeat.position(),
            content: heartbeat.content(),
        };
        let highest = self.highest_fencing_token;
        match self.delegate.heartbeat_received(incoming, highest, may_renew, self.now) {
            Routing::NoDelegation => return false,
            Routing::Redirect(node) => {
                self.out.answer(request, StatusCode::MISDIRECTED_REQUEST, workers::redirect(Some(&node)));
            }
            Routing::TryAnotherNode => {
                self.worker_turned_away_at = self.now;
                self.out.answer(request, StatusCode::MISDIRECTED_REQUEST, workers::redirect(None));
            }
            Routing::Answer(fencing_token) => {
                self.note_lease_renewed(heartbeat);
                let commands = self.commands_for(heartbeat, fencing_token);
                self.out.answer(request, StatusCode::OK, workers::answer(fencing_token, &commands));
            }
        }
        true
    }

    /// Commands for a delegate's answer: what the leader has queued, and stops of jobs that this node knows to be
    /// finished. No start ever goes this way; what the leader sends at once is relayed.
    fn commands_for(&mut self, heartbeat: &Heartbeat, fencing_token: FencingToken) -> Vec<WorkerCommand> {
        let mut commands = self.relay.take_queued(&heartbeat.machine, fencing_token);
        if self.lease_renewal.stops_finished_tasks() {
            let job_cache = &self.job_cache;
            stop_tasks_of_finished_jobs(
                heartbeat,
                |job| job_cache.terminal_status(job).is_some(),
                &mut commands,
            );
        }
        commands
    }

    fn redirect(&mut self, request: RequestId) {
        match self.known_leader().cloned() {
            Some(leader) => {
                self.out.answer(request, StatusCode::MISDIRECTED_REQUEST, workers::redirect(Some(&leader)));
            }
            None => self.out.refuse(request, StatusCode::SERVICE_UNAVAILABLE, "no leader is known here"),
        }
    }

    /// Processes a peer's message about heartbeats or relayed commands.
    pub(super) fn heartbeat_message(&mut self, from: &NodeName, message: PeerMessage) {
        match message {
            PeerMessage::Delegation(delegation)
                if self.accept_leader(delegation.fencing_token, from) && !self.election.leads() =>
            {
                self.delegate.delegation_received(from, delegation, self.now);
            }
            PeerMessage::UnacknowledgedStarts(starts)
                if starts.fencing_token >= self.highest_fencing_token =>
            {
                self.lease_renewal.unacknowledged_starts_received(starts, self.now);
            }
            PeerMessage::ResendHeartbeats { fencing_token, machines }
                if self.delegate.fencing_token() == Some(fencing_token) =>
            {
                self.delegate.resend_requested(machines);
            }
            PeerMessage::QueuedCommands { fencing_token, commands }
                if fencing_token >= self.highest_fencing_token =>
            {
                self.relay.queue(fencing_token, commands);
            }
            PeerMessage::RelayCommands { fencing_token, calls } => {
                self.relay_commands(from, fencing_token, calls);
            }
            PeerMessage::HeartbeatDigest(digest) => {
                if let Some((leader, mut context)) = self.leading() {
                    leader.digest(&mut context, from, digest);
                }
            }
            PeerMessage::RelayResults { fencing_token, calls }
                if fencing_token == self.election.fencing_token() =>
            {
                self.relay_results(calls);
            }
            _ => {}
        }
    }

    pub(super) fn tick_heartbeats(&mut self) {
        self.tick_isolation();
        self.answer_deferred();
        self.expire_relayed_commands();
        if !self.election.leads()
            && let Some(OutgoingDigest { leader, digest }) = self.delegate.next_digest(self.now)
        {
            self.out.send(&leader, PeerMessage::HeartbeatDigest(digest));
        }
        self.relay.drop_queued_before(self.highest_fencing_token);
    }

    /// Acts as delegate of a leader that this node does not hear but knows from the key-value store, and reports
    /// there whose heartbeats it answers. Otherwise the workers of a zone whose node is cut off from the leader's lose
    /// their leases, and a leader on the smaller side never learns of the others.
    fn tick_isolation(&mut self) {
        let delegated = heartbeats_delegated(&self.settings, self.cluster_version.reached());
        if !delegated || self.known_leader().is_some() {
            return;
        }
        let Some(other) = self.election.other_leader(LEADER_READ_LIFE, self.now) else { return };
        let leader = other.node.clone();
        let fencing_token = other.fencing_token;
        self.observe_fencing_token(fencing_token);
        self.delegate.delegation_inferred(&leader, fencing_token, &self.settings.zone, self.now);
        if self.delegate.is_fresh(self.now) || self.uptime() < LEADER_READ_LIFE {
            return;
        }
        self.write_isolation_report(fencing_token);
    }

    fn write_isolation_report(&mut self, fencing_token: FencingToken) {
        let lease = Duration::from_secs_f64(self.settings.workers.lease_s);
        let Some(report) = self.isolation_reporter.isolation_report(
            fencing_token,
            self.delegate.last_delegation_at(),
            &self.settings.zone,
            lease,
            self.now,
        ) else {
            return;
        };
        let key = format!("{ISOLATION_PREFIX}{}", self.settings.node);
        let value = serde_json::to_string(&report).unwrap_or_default();
        let changes = vec![Change::Put { key, value, lease: None }];
        let request = StoreRequest::Commit { conditions: Vec::new(), changes };
        self.out.request_store(request, Pending::IsolationReport);
    }
}
