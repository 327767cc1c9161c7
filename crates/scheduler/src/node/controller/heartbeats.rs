//! Workers' heartbeats that reach this node: answered as the leader, answered on the leader's behalf as its
//! delegate, redirected to another node, or deferred until a leader is known.

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

/// Maximum number of heartbeats that wait on this node for a leader.
///
/// A worker retries one second after its heartbeat is rejected, but five seconds after a heartbeat without an
/// answer. At four times the machines, rejecting all heartbeats while there was no leader multiplied the load
/// by five, and under that load no node was able to become leader.
const MAX_DEFERRED: usize = 8192;
/// Maximum time that a heartbeat waits for a leader. Workers time out after 4 s.
const MAX_DEFERRAL: Duration = Duration::from_millis(2800);
/// Maximum number of deferred heartbeats answered in one step, to leave time for the node's other work.
const DEFERRED_PER_STEP: usize = 100;
/// A node without live peers considers itself isolated only after it has been up for this time: a node that
/// has just started may be the first one after all nodes were down.
const ISOLATED_AFTER: Duration = Duration::from_millis(10_000);
/// How long a read of the leader key counts as current.
const LEADER_READ_LIFETIME: Duration = Duration::from_millis(3000);

/// A heartbeat that waits until a leader is known.
pub(super) struct DeferredHeartbeat {
    received_at: MonotonicTime,
    request: RequestId,
    heartbeat: Heartbeat,
}

impl Controller {
    pub(super) fn heartbeat_request(&mut self, request: RequestId, body: &[u8]) {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.outbox.refuse(request, StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if !self.is_possible(heartbeat.fencing_token) {
            tracing::warn!(
                machine = %heartbeat.machine,
                fencing_token = %heartbeat.fencing_token,
                "heartbeat rejected: the key-value store can't have issued its fencing token"
            );
            return self.outbox.refuse(
                request,
                StatusCode::BAD_REQUEST,
                "fence: no controller can have given it",
            );
        }
        self.observe_fencing_token(heartbeat.fencing_token);
        if !self.answer_heartbeat(request, &heartbeat) {
            self.heartbeat_unanswered_at = self.now;
            self.defer_or_redirect(request, heartbeat);
        }
    }

    fn defer_or_redirect(&mut self, request: RequestId, heartbeat: Heartbeat) {
        // Without live peers, this node itself may be isolated: the worker may reach a leader through another
        // node.
        let isolated = self.peers.live(self.now).is_empty() && self.uptime() > ISOLATED_AFTER;
        let may_defer = self.known_leader().is_none() && !isolated;
        if may_defer && self.deferred_heartbeats.len() < MAX_DEFERRED {
            let deferred = DeferredHeartbeat { received_at: self.now, request, heartbeat };
            self.deferred_heartbeats.push_back(deferred);
        } else {
            self.redirect(request);
        }
    }

    /// Answers a heartbeat as the leader or as its delegate; `false` if this node is neither.
    fn answer_heartbeat(&mut self, request: RequestId, heartbeat: &Heartbeat) -> bool {
        let answered = self
            .leader_and_context()
            .is_some_and(|(leader, mut context)| leader.answer_heartbeat(&mut context, request, heartbeat));
        if answered && self.election.is_leader() {
            // If this node loses the leadership and is isolated from the next leader, its isolation report
            // must count the workers whose leases its answers have renewed.
            self.record_lease_renewal(heartbeat);
        }
        answered || self.answer_as_delegate(request, heartbeat)
    }

    /// Records for isolation reports that this node's answer renews the worker's lease.
    fn record_lease_renewal(&mut self, heartbeat: &Heartbeat) {
        let lease = Duration::from_secs_f64(self.settings.workers.lease_s);
        self.isolation_reporter.heartbeat_answered(&heartbeat.machine, &heartbeat.zone, lease, self.now);
    }

    /// Answers deferred heartbeats once there is a leader, and redirects those whose worker would soon time
    /// out.
    fn answer_deferred(&mut self) {
        let has_leader = self.known_leader().is_some() || self.election.is_leader();
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

    /// Answers on the leader's behalf, or redirects the worker to its assigned node; `false` if the leader
    /// has not delegated heartbeats to this node.
    fn answer_as_delegate(&mut self, request: RequestId, heartbeat: &Heartbeat) -> bool {
        if self.election.is_leader() {
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
                self.outbox.answer(request, StatusCode::MISDIRECTED_REQUEST, workers::redirect(Some(&node)));
            }
            Routing::TryAnotherNode => {
                self.heartbeat_unanswered_at = self.now;
                self.outbox.answer(request, StatusCode::MISDIRECTED_REQUEST, workers::redirect(None));
            }
            Routing::Answer(fencing_token) => {
                self.record_lease_renewal(heartbeat);
                let commands = self.commands_for(heartbeat, fencing_token);
                self.outbox.answer(request, StatusCode::OK, workers::answer(fencing_token, &commands));
            }
        }
        true
    }

    /// Commands for a delegate's answer: those that the leader has queued, and stops of jobs that this node
    /// knows to be finished. Starts are never sent this way; the leader has them relayed immediately.
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
                self.outbox.answer(
                    request,
                    StatusCode::MISDIRECTED_REQUEST,
                    workers::redirect(Some(&leader)),
                );
            }
            None => self.outbox.refuse(request, StatusCode::SERVICE_UNAVAILABLE, "no leader is known here"),
        }
    }

    /// Processes a peer's message about heartbeats or relayed commands.
    pub(super) fn heartbeat_message(&mut self, from: &NodeName, message: PeerMessage) {
        match message {
            PeerMessage::Delegation(delegation)
                if self.accept_leader(delegation.fencing_token, from) && !self.election.is_leader() =>
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
                if let Some((leader, mut context)) = self.leader_and_context() {
                    leader.process_digest(&mut context, from, digest);
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
        if !self.election.is_leader()
            && let Some(OutgoingDigest { leader, digest }) = self.delegate.next_digest(self.now)
        {
            self.outbox.send(&leader, PeerMessage::HeartbeatDigest(digest));
        }
        self.relay.drop_queued_before(self.highest_fencing_token);
    }

    /// Acts as delegate of a leader that this node receives no messages from but knows from the key-value
    /// store, and reports there how many workers it answers. Otherwise workers would lose their leases if the
    /// node of their zone is partitioned from the leader's node, and a leader on the smaller side of the
    /// partition would never learn of the workers on the other side.
    fn tick_isolation(&mut self) {
        let delegated = heartbeats_delegated(&self.settings, self.cluster_version.reached());
        if !delegated || self.known_leader().is_some() {
            return;
        }
        let Some(other) = self.election.other_leader(LEADER_READ_LIFETIME, self.now) else { return };
        let leader = other.node.clone();
        let fencing_token = other.fencing_token;
        self.observe_fencing_token(fencing_token);
        self.delegate.delegation_inferred(&leader, fencing_token, &self.settings.zone, self.now);
        if self.delegate.is_fresh(self.now) || self.uptime() < LEADER_READ_LIFETIME {
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
        self.outbox.request_store(request, Pending::IsolationReport);
    }
}
