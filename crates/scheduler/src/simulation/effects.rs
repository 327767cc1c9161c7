//! Carries out the effects of a node's step: sends its requests and answers over the simulated network.

use super::Simulation;
use super::events::{Event, Service};
use super::links::Host;
use super::nodes::{Answered, Caller, Requester};
use crate::node::Effect;
use crate::types::{Duration, NodeName, RequestId};
use crate::wire::cloud::CloudRequest;
use crate::wire::state::StoreRequest;

impl Simulation {
    /// Carries out an effect of a step of a node's incarnation.
    pub(super) fn carry_out(&mut self, node: usize, incarnation: u64, effect: Effect) {
        let caller = |request_id| Caller { node, incarnation, request_id };
        match effect {
            Effect::Answer { request, status, retry_after_s, headers, body } => {
                let answer = Answered { tag: 0, node, status, retry_after_s, headers, body };
                self.send_answer(request, answer);
            }
            Effect::Peer { to, bytes } => self.send_to_peer(node, &to, &bytes),
            Effect::Store { request_id, request, timeout } => {
                self.send_to_store(caller(request_id), request, timeout);
            }
            Effect::Cloud { request_id, request, timeout } => {
                self.send_to_cloud(caller(request_id), request, timeout);
            }
            Effect::Worker { request_id, addr, body, timeout } => {
                self.send_to_worker(caller(request_id), addr, body, timeout);
            }
        }
    }

    /// Sends an answer to its requester, if the node still has the request open.
    fn send_answer(&mut self, request: RequestId, answer: Answered) {
        let node = answer.node;
        let Some(requester) = self.nodes[node].requesters.remove(&request) else { return };
        let Answered { status, body, .. } = answer;
        let (to, event) = match requester {
            Requester::User { user, request } => {
                (Host::User, Event::UserAnswer { user, request, status, body })
            }
            Requester::Worker(heartbeat) => {
                self.check_commands(node, &body);
                let event = Event::HeartbeatAnswer { heartbeat, node, status, body };
                (Host::Machine(heartbeat.machine), event)
            }
            Requester::CloseRead { close_read, before } => {
                (Host::User, Event::CloseReadAnswer { close_read, before, node, status, body })
            }
            Requester::Test { tag } => (Host::User, Event::Answered(Answered { tag, body, ..answer })),
            Requester::Dropped => return,
        };
        self.send(Host::Node(node), to, event);
    }

    fn send_to_peer(&mut self, from: usize, to: &NodeName, bytes: &[u8]) {
        let Some(node) = self.settings.iter().position(|settings| settings.node == *to) else { return };
        let Some(envelope) = crate::peer_messages::decode(bytes) else { return };
        let incarnation = self.nodes[node].incarnation;
        let event = |envelope| Event::Input { node, incarnation, input: crate::node::Input::Peer(envelope) };
        self.duplicate_at_random(|| event(envelope.clone()));
        self.send(Host::Node(from), Host::Node(node), event(envelope));
    }

    /// Records an open request of a node and schedules its timeout.
    fn open_request(&mut self, caller: Caller, service: Service, timeout: Duration) {
        self.nodes[caller.node].open_requests.insert(caller.request_id);
        self.after(timeout.0, Event::Timeout { caller, service });
    }

    fn send_to_store(&mut self, caller: Caller, request: StoreRequest, timeout: Duration) {
        self.open_request(caller, Service::Store, timeout);
        let delay = self.store_delay(&request);
        let event = |request| Event::Store { caller, request };
        if !matches!(request, StoreRequest::Watch { .. }) {
            self.duplicate_at_random(|| event(request.clone()));
        }
        self.send_with_delay(Host::Node(caller.node), Host::Store, event(request), delay);
    }

    fn send_to_cloud(&mut self, caller: Caller, request: CloudRequest, timeout: Duration) {
        self.open_request(caller, Service::Cloud, timeout);
        let event = |request| Event::Cloud { caller, request };
        self.duplicate_at_random(|| event(request.clone()));
        self.send(Host::Node(caller.node), Host::Cloud, event(request));
    }

    /// Sends commands to the machine at an address. If there is no such machine, the request times out.
    fn send_to_worker(&mut self, caller: Caller, addr: String, body: String, timeout: Duration) {
        self.check_commands(caller.node, &body);
        self.open_request(caller, Service::Worker, timeout);
        let Some(machine) = self.workers.iter().position(|worker| worker.addr == addr) else { return };
        let event = |addr, body| Event::Command { caller, addr, body };
        self.duplicate_at_random(|| event(addr.clone(), body.clone()));
        self.send(Host::Node(caller.node), Host::Machine(machine), event(addr, body));
    }
}
