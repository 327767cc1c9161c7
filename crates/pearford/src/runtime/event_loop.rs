//! The event loop: takes one input at a time, has the controller step, and carries out the effects in their order.
//!
//! Inputs are taken in a fixed order of precedence: the clock tick, then replies and peers' messages, then requests.

use super::clock::NodeClock;
use super::outbound::OutboundCalls;
use super::peer_links::PeerLinks;
use super::requests::{PendingAnswers, PendingRequest, Reply, RequestContent};
use http::StatusCode;
use pearford_scheduler::node::{Controller, Effect, Input};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior};

/// How often the controller steps when nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A request that has waited this long for the controller is refused: its client has nearly given up, and the time goes
/// to requests whose clients have not.
///
/// Measured with the andina fleet at four times its load after a crash of all nodes: without this limit the replies of
/// the key-value store waited behind thousands of requests, the leader lost its lease every ten seconds, and each
/// successor started again from nothing.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(3500);
/// What a client is told to wait after [`MAX_REQUEST_WAIT`], in seconds.
const STALE_RETRY_AFTER_S: u32 = 2;

/// The controller, with everything its inputs come from and its effects go to.
pub(super) struct EventLoop {
    /// The node's state machine.
    pub(super) controller: Controller,
    /// Read before each step.
    pub(super) clock: NodeClock,
    /// Replies to outgoing calls, and peers' messages.
    pub(super) inputs: mpsc::Receiver<Input>,
    /// Requests of users, workers and operators.
    pub(super) requests: mpsc::Receiver<PendingRequest>,
    /// Where the answers to the requests under way go.
    pub(super) answers: PendingAnswers,
    /// Connections to the other nodes.
    pub(super) peers: PeerLinks,
    /// Calls to the key-value store, the cloud and workers.
    pub(super) outbound: OutboundCalls,
}

impl EventLoop {
    /// Steps the controller forever.
    pub(super) async fn run(mut self) -> ! {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_step = Duration::ZERO;
        loop {
            let Some(input) = self.next_input(&mut ticks).await else { continue };
            let began = Instant::now();
            let effects = self.controller.step(self.clock.now(last_step), input);
            last_step = began.elapsed();
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    /// Waits for the next input; `None` if it was a request that is refused here.
    async fn next_input(&mut self, ticks: &mut Interval) -> Option<Input> {
        tokio::select! {
            biased;
            _ = ticks.tick() => Some(Input::Tick),
            Some(input) = self.inputs.recv() => Some(input),
            Some(pending) = self.requests.recv() => self.admit(pending),
        }
    }

    /// Turns a request into an input, or refuses it if it has waited too long.
    fn admit(&mut self, pending: PendingRequest) -> Option<Input> {
        let PendingRequest { received_at, content, reply } = pending;
        if received_at.elapsed() >= MAX_REQUEST_WAIT {
            // An error means that the client has gone meanwhile: there is nobody to answer.
            let _ = reply.send(Reply::too_many_requests(STALE_RETRY_AFTER_S));
            return None;
        }
        let request = self.answers.expect(reply);
        Some(match content {
            RequestContent::Api { method, path, body } => Input::Http { request, method, path, body },
            RequestContent::Extension { slot, call } => Input::Call { slot, request, call },
        })
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { request, status, retry_after_s, headers, body } => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                self.answers.deliver(request, Reply { status, retry_after_s, headers, body });
            }
            Effect::Peer { to, bytes } => self.peers.send(&to, bytes),
            Effect::Store { request_id, request, timeout } => {
                self.outbound.call_store(request_id, request, timeout);
            }
            Effect::Cloud { request_id, request, timeout } => {
                self.outbound.call_cloud(request_id, request, timeout);
            }
            Effect::Worker { request_id, addr, body, timeout } => {
                self.outbound.call_worker(request_id, addr, body, timeout);
            }
        }
    }
}
