//! The event loop: passes one input at a time to the controller and executes the resulting effects in order.
//!
//! Inputs have a fixed order of priority: the clock tick, then replies and peers' messages, then requests.

use super::clock::NodeClock;
use super::outbound::OutboundCalls;
use super::peer_links::PeerLinks;
use super::requests::{PendingAnswers, PendingRequest, Reply, RequestContent};
use http::StatusCode;
use pearford_scheduler::node::{Controller, Effect, Input};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior};

/// Interval between clock ticks, which step the controller even without other inputs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A request that has waited this long for the controller is refused: its client is close to its timeout, and
/// the time is better spent on newer requests.
///
/// Without this limit, at four times the machines and after a crash of all nodes, replies of the key-value
/// store waited behind thousands of requests: the leader lost its lease every ten seconds, and each new
/// leader had to start over.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(3500);
/// `Retry-After`, in seconds, of the refusal after [`MAX_REQUEST_WAIT`].
const STALE_RETRY_AFTER_S: u32 = 2;

/// The controller, with the sources of its inputs and the recipients of its effects.
pub(super) struct EventLoop {
    /// The node's state machine.
    pub(super) controller: Controller,
    /// The clock, read before each step.
    pub(super) clock: NodeClock,
    /// Replies to outgoing calls, and peers' messages.
    pub(super) inputs: mpsc::Receiver<Input>,
    /// Requests of users, workers and operators.
    pub(super) requests: mpsc::Receiver<PendingRequest>,
    /// The requests that are not answered yet.
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
                self.execute(effect);
            }
        }
    }

    /// Waits for the next input; `None` if it was a request that was refused without the controller.
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
            // Sending fails only if the client has disconnected.
            let _ = reply.send(Reply::too_many_requests(STALE_RETRY_AFTER_S));
            return None;
        }
        let request = self.answers.register(reply);
        Some(match content {
            RequestContent::Api { method, path, body } => Input::Http { request, method, path, body },
            RequestContent::Extension { slot, call } => Input::Call { slot, request, call },
        })
    }

    fn execute(&mut self, effect: Effect) {
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
