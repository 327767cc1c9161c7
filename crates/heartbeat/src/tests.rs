//! Searches all orders of events in a small model: one worker that reports one of two contents to either of
//! two delegates; digests that are delivered in any order, lost, repeated or delayed; and a second leader.
//! Two invariants are checked after each event: the content that the leader has for a heartbeat is what the
//! worker reported in it, and no worker is answered with a lower fencing token than it has seen. With the
//! safety check for an invariant disabled, the search finds a violation.

use crate::{
    Coordinator, Delegate, Delegation, DisabledCheck, HeartbeatDigest, HeartbeatPosition, IncomingHeartbeat,
    NodeWeight, NodeWeights, Routing,
};
use arbtest::arbtest;
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, WorkerEpoch, Zone};
use std::collections::HashSet;

/// Bounds of the model: number of heartbeats, of digests, and of digests in flight at the same time.
const MAX_HEARTBEATS: usize = 3;
const MAX_DIGESTS: usize = 3;
const MAX_IN_FLIGHT: usize = 1;

/// A digest in flight from a delegate.
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
    /// The second leader has sent a delegation.
    second_leader_delegated: bool,
}

fn node(i: usize) -> NodeName {
    ["a", "b"][i].into()
}

/// A delegation that assigns all machines to this node.
fn delegation(fencing_token: u64, sequence: u64, i: usize) -> Delegation {
    let node_weights = NodeWeights::new(vec![NodeWeight { node: node(i), zone: "z".into(), weight: 1 }]);
    Delegation { fencing_token: FencingToken(fencing_token), sequence, ready: true, node_weights }
}

/// Result of one event: the next state, or a description of the violated invariant.
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
            Routing::Answer(fencing_token) if fencing_token.0 < self.seen_token => Err(format!(
                "worker that has seen token {} was answered with {fencing_token}",
                self.seen_token
            )),
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

    /// A digest is delivered, and may be delivered again.
    fn deliver(mut self, k: usize) -> Step {
        let DigestInFlight { from, digest } = self.in_flight[k].clone();
        for received in self.coordinator.digest_received(&node(from), digest, self.now) {
            let known = self
                .coordinator
                .known_heartbeat(&received.machine)
                .ok_or("a received heartbeat is not known")?;
            let serial = received.position.serial;
            let reported = self.reported[serial as usize - 1];
            if known.content != [reported] {
                return Err(format!(
                    "heartbeat {serial} had content {reported}, the leader has {:?}",
                    known.content
                ));
            }
        }
        for resend in self.coordinator.take_resend_requests() {
            self.delegates[usize::from(resend.node == node(1))].resend_requested(resend.machines);
        }
        Ok(self)
    }

    fn deliver_and_remove(self, k: usize) -> Step {
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

    /// The results of all events that are possible in this state.
    fn next(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for i in 0..2 {
            if self.reported.len() < MAX_HEARTBEATS {
                steps.push(self.clone().report(i, 0));
                steps.push(self.clone().report(i, 1));
            }
            if self.digests < MAX_DIGESTS && self.in_flight.len() < MAX_IN_FLIGHT {
                steps.push(self.clone().send_digest(i));
            }
        }
        for k in 0..self.in_flight.len() {
            steps.push(self.clone().deliver(k));
            steps.push(self.clone().deliver_and_remove(k));
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

/// Result of a search.
struct SearchResult {
    /// The first violation of an invariant.
    violation: Option<String>,
    /// Number of states visited.
    states: usize,
}

/// Visits all states within `depth` events, up to the first violation.
fn search(initial: SmallCluster, depth: usize) -> SearchResult {
    let mut seen = HashSet::new();
    let mut level = vec![initial];
    for _ in 0..depth {
        let mut next_level = Vec::new();
        for step in level.iter().flat_map(SmallCluster::next) {
            let state = match step {
                Ok(state) => state,
                Err(violation) => return SearchResult { violation: Some(violation), states: seen.len() },
            };
            if seen.insert(crate::content_hash(format!("{state:?}").as_bytes())) {
                next_level.push(state);
            }
        }
        level = next_level;
    }
    SearchResult { violation: None, states: seen.len() }
}

#[test]
fn invariants_hold_in_every_order_of_events() {
    for (initial, depth) in [(SmallCluster::with_one_leader(), 9), (SmallCluster::with_two_leaders(), 5)] {
        let SearchResult { violation, states } = search(initial, depth);
        assert_eq!(violation, None);
        assert!(states > 1_000, "only {states} states were visited");
    }
}

#[test]
fn search_finds_violation_if_safety_check_is_disabled() {
    let mut without_content_check = SmallCluster::with_one_leader();
    without_content_check.coordinator.disable(DisabledCheck::DigestContent);
    let violation = search(without_content_check, 9).violation;
    assert!(violation.as_ref().is_some_and(|text| text.contains("the leader has")), "{violation:?}");
    let mut without_token_check = SmallCluster::with_two_leaders();
    for delegate in &mut without_token_check.delegates {
        delegate.disable(DisabledCheck::OlderFencingToken);
    }
    let violation = search(without_token_check, 5).violation;
    assert!(violation.as_ref().is_some_and(|text| text.contains("was answered with")), "{violation:?}");
}

/// Delegates and coordinators must not panic on any decodable digest or delegation.
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
