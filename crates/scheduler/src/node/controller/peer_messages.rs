//! Messages between the controllers: the periodic ping, and what the leader sends to every node.

use super::Controller;
use crate::node::peers::PeerState;
use crate::peer_messages::{BroadcastPosition, Envelope, JobTaskCounts, PeerMessage, ZoneHeartbeat};
use crate::placement::{self, Factors, MachineView, PlacementOutcome, PlacementRequest, Proposal};
use crate::types::Duration;

/// Time between the pings that a node sends to each peer.
const PING_INTERVAL: Duration = Duration::from_millis(1000);
/// A node that could not answer a heartbeat within this time reports so in its pings.
const UNANSWERED_HEARTBEAT_WINDOW: Duration = Duration::from_millis(3000);

impl Controller {
    pub(super) fn ping_peers(&mut self) {
        if self.now < self.next_ping {
            return;
        }
        self.next_ping = self.now + PING_INTERVAL;
        let last_heartbeat_by_zone = self.peers.last_heartbeat_by_zone().iter();
        let ping = PeerMessage::Ping {
            store_reachable: self.store_reachable(),
            fencing_token_seen: self.highest_fencing_token,
            broadcast_seen: self.broadcast_seen,
            has_unanswered_heartbeats: self.now.since(self.heartbeat_unanswered_at)
                < UNANSWERED_HEARTBEAT_WINDOW,
            last_heartbeat_by_zone: last_heartbeat_by_zone
                .map(|(zone, at)| ZoneHeartbeat { zone: zone.clone(), age: self.now.since(*at) })
                .collect(),
        };
        for peer in self.peers.names() {
            self.outbox.send(peer, ping.clone());
        }
    }

    pub(super) fn peer_message(&mut self, envelope: Envelope) {
        let Envelope { from, message, .. } = envelope;
        if !self.peers.names().contains(&from) {
            self.peer_messages_dropped += 1;
            return;
        }
        match message {
            PeerMessage::Ping {
                store_reachable,
                fencing_token_seen,
                broadcast_seen,
                has_unanswered_heartbeats,
                last_heartbeat_by_zone,
            } => {
                self.observe_fencing_token(fencing_token_seen);
                self.record_zone_heartbeats(last_heartbeat_by_zone);
                let pinged_at = self.now;
                let state =
                    PeerState { pinged_at, store_reachable, broadcast_seen, has_unanswered_heartbeats };
                self.peers.record_ping(from, state);
            }
            PeerMessage::StatusBroadcast { position, jobs, placement_outcomes } => {
                if self.accept_leader(position.fencing_token, &from) {
                    self.apply_broadcast(position, jobs, &placement_outcomes);
                }
            }
            PeerMessage::StatusSnapshot { position, jobs, success_counts } => {
                if self.accept_leader(position.fencing_token, &from) {
                    self.success_counts = success_counts;
                    self.broadcast_seen = position;
                    self.job_counts.clear();
                    self.update_job_counts(jobs);
                }
            }
            PeerMessage::RoundRequest { fencing_token, partition, round, machines, requests } => {
                if self.accept_leader(fencing_token, &from) {
                    let proposals = self.propose(machines, &requests);
                    let answer = PeerMessage::RoundProposals { fencing_token, partition, round, proposals };
                    self.outbox.send(&from, answer);
                }
            }
            PeerMessage::RoundProposals { fencing_token, partition, round, proposals } => {
                if let Some((leader, mut context)) = self.leader_and_context() {
                    leader.process_proposals(&mut context, &from, fencing_token, partition, round, proposals);
                }
            }
            message => self.heartbeat_message(&from, message),
        }
    }

    fn record_zone_heartbeats(&mut self, last_heartbeat_by_zone: Vec<ZoneHeartbeat>) {
        for ZoneHeartbeat { zone, age } in last_heartbeat_by_zone {
            self.peers.record_zone_heartbeat(&zone, self.now.before(age));
        }
    }

    /// Applies a broadcast if it is the next in sequence. After a gap, this node's pings report that it has
    /// applied none, and the leader sends a snapshot.
    fn apply_broadcast(
        &mut self,
        position: BroadcastPosition,
        jobs: Vec<JobTaskCounts>,
        placement_outcomes: &[PlacementOutcome],
    ) {
        if self.broadcast_seen == position.previous() {
            self.broadcast_seen = position;
            placement_outcomes.iter().for_each(|outcome| self.success_counts.record(outcome));
            self.update_job_counts(jobs);
        } else if self.broadcast_seen != position {
            self.broadcast_seen = BroadcastPosition::NONE;
        }
    }

    fn update_job_counts(&mut self, jobs: Vec<JobTaskCounts>) {
        self.job_counts.extend(jobs.into_iter().map(|job| (job.job, job.counts)));
    }

    /// Proposes placements of the leader's requests on the machines of this node's partition.
    fn propose(&mut self, mut machines: Vec<MachineView>, requests: &[PlacementRequest]) -> Vec<Proposal> {
        let factors = Factors::of(&self.settings.operator);
        placement::round(&mut machines, requests, &self.success_counts, &factors, &mut self.rng)
    }
}
