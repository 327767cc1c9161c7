//! Searches all orders of events in a small model: one worker that reports one of two contents to either of
//! two delegates; digests delivered in any order, lost, repeated and held back; a second leader. Checked
//! after each event: what the leader takes for a heartbeat's content is what the worker reported in it, and
//! no worker is answered with a lower fencing token than it has seen. With a safety check switched off the
//! search finds how its rule breaks.

use crate::{
    Coordinator, Delegate, Delegation, DisabledCheck, HeartbeatDigest, HeartbeatPosition, IncomingHeartbeat,
    NodeWeight, NodeWeights, Routing,
};
use arbtest::arbtest;
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, WorkerEpoch, Zone};
use std::collections::HashSet;

/// Bounds of the model: heartbeats that the worker sends, digests that are made, digests on their way at a
/// time.
const HEARTBEATS: usize = 3;
const DIGESTS: usize = 3;
const IN_FLIGHT: usize = 1;

/// A digest on its way from a delegate.
#[derive(Debug, Clone)]
struct DigestInFlight {
    from: usize,
    digest: HeartbeatDigest,
}

#[derive(Debug, Clone)]
struct SmallCluster {
    now: MonotonicTime,
    delegates: [Delegate; 2],
    coordinator: Coordinator,
    in_flight: Vec<DigestInFlight>,
    /// What the worker reported in each heartbeat.
    reported: Vec<u8>,
    /// The highest fencing token that the worker has seen.
    seen_token: u64,
    digests: usize,
    /// The second leader has announced its fencing token to the worker.
    second_leader_announced: bool,
    /// The second leader has delegated.
    second_leader_delegated: bool,
}

fn node(i: usize) -> NodeName {
    ["a", "b"][i].into()
}

/// A delegation by which all machines are assigned to this node.
fn delegation(fencing_token: u64, sequence: u64, i: usize) -> Delegation {
    let node_weights = NodeWeights::new(vec![NodeWeight { node: node(i), zone: "z".into(), weight: 1 }]);
    Delegation { fencing_token: FencingToken(fencing_token), sequence, ready: true, node_weights }
}

/// What comes of one event: the next state, or how a rule is broken.
type Step = Result<SmallCluster, String>;

impl SmallCluster {
    fn with_one_leader() -> Self {
        Self::new(false)
    }

    fn with_two_leaders() -> Self {
        Self::new(true)
    }

    fn new(second_leader: bool) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let mut coordinator = Coordinator::new("l".into(), FencingToken(1), now);
        coordinator.delegation(&[], true, now);
        let delegates = [0, 1].map(|i| {
            let mut delegate = Delegate::new(node(i));
            delegate.delegation_received(&"l".into(), delegation(1, 1, i), now);
            delegate
        });
        Self {
            now,
            delegates,
            coordinator,
            in_flight: Vec::new(),
            reported: Vec::new(),
            seen_token: 1,
            digests: 0,
            second_leader_announced: !second_leader,
            second_leader_delegated: !second_leader,
        }
    }

    /// The worker reports `content` to a delegate.
    fn report(mut self, i: usize, content: u8) -> Step {
        self.reported.push(content);
        let heartbeat = IncomingHeartbeat {
            machine: &MachineId::from("m"),
            zone: &Zone::from("z"),
            position: HeartbeatPosition {
                worker_epoch: WorkerEpoch(1),
                serial: self.reported.len() as u64,
                fencing_token: FencingToken(self.seen_token),
            },
            content: vec![content],
        };
        match self.delegates[i].heartbeat_received(heartbeat, FencingToken(0), true, self.now) {
            Routing::Answer(fencing_token) if fencing_token.0 < self.seen_token => {
                Err(format!("answered by {fencing_token} whoever has seen {}", self.seen_token))
            }
            _ => Ok(self),
        }
    }

    /// A delegate makes a digest.
    fn send_digest(mut self, i: usize) -> Step {
        self.now = self.now + Duration::from_millis(500);
        self.digests += 1;
        if let Some(outgoing) = self.delegates[i].next_digest(self.now) {
            self.in_flight.push(DigestInFlight { from: i, digest: outgoing.digest });
        }
        Ok(self)
    }

    /// A digest arrives, and may arrive again.
    fn deliver(mut self, k: usize) -> Step {
        let DigestInFlight { from, digest } = self.in_flight[k].clone();
        for received in self.coordinator.digest_received(&node(from), digest, self.now) {
            let known =
                self.coordinator.known_heartbeat(&received.machine).ok_or("received and not known")?;
            let serial = received.position.serial;
            let reported = self.reported[serial as usize - 1];
            if known.content != [reported] {
                return Err(format!("heartbeat {serial} had {reported}, taken for {:?}", known.content));
            }
        }
        for resend in self.coordinator.take_resend_requests() {
            self.delegates[usize::from(resend.node == node(1))].resend_requested(resend.machines);
        }
        Ok(self)
    }

    fn deliver_for_the_last_time(self, k: usize) -> Step {
        self.deliver(k)?.lose(k)
    }

    fn lose(mut self, k: usize) -> Step {
        self.in_flight.remove(k);
        Ok(self)
    }

    fn announce_second_leader(mut self) -> Step {
        self.second_leader_announced = true;
        self.seen_token = 2;
        Ok(self)
    }

    fn delegate_by_second_leader(mut self) -> Step {
        self.second_leader_delegated = true;
        self.delegates[0].delegation_received(&"k".into(), delegation(2, 1, 0), self.now);
        Ok(self)
    }

    /// All that may happen next.
    fn next(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for i in 0..2 {
            if self.reported.len() < HEARTBEATS {
                steps.push(self.clone().report(i, 0));
                steps.push(self.clone().report(i, 1));
            }
            if self.digests < DIGESTS && self.in_flight.len() < IN_FLIGHT {
                steps.push(self.clone().send_digest(i));
            }
        }
        for k in 0..self.in_flight.len() {
            steps.push(self.clone().deliver(k));
            steps.push(self.clone().deliver_for_the_last_time(k));
            steps.push(self.clone().lose(k));
        }
        if !self.second_leader_announced {
            steps.push(self.clone().announce_second_leader());
        }
        if !self.second_leader_delegated {
            steps.push(self.clone().delegate_by_second_leader());
        }
        steps
    }
}

/// What a search has found.
struct Findings {
    /// The first broken rule.
    fault: Option<String>,
    /// How many states were seen.
    states: usize,
}

/// Visits all states within `depth` events, up to the first broken rule.
fn search(first: SmallCluster, depth: usize) -> Findings {
    let mut seen = HashSet::new();
    let mut level = vec![first];
    for _ in 0..depth {
        let mut next_level = Vec::new();
        for step in level.iter().flat_map(SmallCluster::next) {
            let state = match step {
                Ok(state) => state,
                Err(fault) => return Findings { fault: Some(fault), states: seen.len() },
            };
            if seen.insert(crate::content_hash(format!("{state:?}").as_bytes())) {
                next_level.push(state);
            }
        }
        level = next_level;
    }
    Findings { fault: None, states: seen.len() }
}

#[test]
fn in_no_order_of_events_is_content_mistaken_or_a_worker_answered_with_a_lower_token() {
    for (first, depth) in [(SmallCluster::with_one_leader(), 9), (SmallCluster::with_two_leaders(), 5)] {
        let Findings { fault, states } = search(first, depth);
        assert_eq!(fault, None);
        assert!(states > 1_000, "{states}");
    }
}

#[test]
fn without_its_safety_check_the_search_finds_how_each_rule_breaks() {
    let mut trusting = SmallCluster::with_one_leader();
    trusting.coordinator.disable(DisabledCheck::DigestContent);
    let fault = search(trusting, 9).fault;
    assert!(fault.as_ref().is_some_and(|fault| fault.contains("taken for")), "{fault:?}");
    let mut outdated = SmallCluster::with_two_leaders();
    for delegate in &mut outdated.delegates {
        delegate.disable(DisabledCheck::OlderFencingToken);
    }
    let fault = search(outdated, 5).fault;
    assert!(fault.as_ref().is_some_and(|fault| fault.contains("answered by")), "{fault:?}");
}

/// Whatever bytes come as a digest or a delegation: nothing panics.
#[test]
fn arbitrary_digests_and_delegations_do_not_panic() {
    arbtest(|input| {
        let bytes: Vec<u8> = input.arbitrary()?;
        let mut coordinator = Coordinator::new("l".into(), FencingToken(1), MonotonicTime::from_millis(5));
        coordinator.delegation(&[], true, MonotonicTime::from_millis(5));
        if let Ok(digest) = postcard::from_bytes::<HeartbeatDigest>(&bytes) {
            coordinator.digest_received(
                &"a".into(),
                HeartbeatDigest { fencing_token: FencingToken(1), sequence: 1, ..digest },
                MonotonicTime::from_millis(9),
            );
        }
        let mut delegate = Delegate::new("a".into());
        if let Ok(delegation) = postcard::from_bytes::<Delegation>(&bytes) {
            delegate.delegation_received(&"l".into(), delegation, MonotonicTime::from_millis(9));
            let _ = delegate.next_digest(MonotonicTime::from_millis(900));
        }
        Ok(())
    })
    .budget_ms(500);
}
