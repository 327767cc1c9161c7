//! All orders of events at small size: one worker that reports at either of two delegates and says one of two
//! things, digests delivered in any order, lost, repeated and held, a second leader. Checked after each event:
//! what the leader takes for a report's content is what the worker said in it, and no worker is answered by a
//! lower fence than it has seen. Without the guards the search finds a way to break each.

use crate::{
    Coordinator, Delegate, DelegateCheck, Delegation, HeartbeatDigest, HeartbeatPosition, IncomingHeartbeat,
    NodeWeight, NodeWeights, Routing,
};
use arbtest::arbtest;
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, WorkerEpoch, Zone};
use std::collections::HashSet;

const REPORTS: usize = 3;
const DIGESTS: usize = 3;
const IN_FLIGHT: usize = 1;

#[derive(Debug, Clone)]
struct SmallCluster {
    now: MonotonicTime,
    delegates: [Delegate; 2],
    coordinator: Coordinator,
    flying: Vec<(usize, HeartbeatDigest)>,
    /// What the worker said in each report.
    said: Vec<u8>,
    fencing_token: u64,
    digests: usize,
    /// The second leader has pushed its fence to the worker; has delegated.
    pushed: bool,
    delegated: bool,
}

fn node(i: usize) -> NodeName {
    ["a", "b"][i].into()
}

/// A delegation by which the node is home to all.
fn delegation(fencing_token: u64, sequence: u64, i: usize) -> Delegation {
    let node_weights = NodeWeights::new(vec![NodeWeight { node: node(i), zone: "z".into(), weight: 1 }]);
    Delegation { fencing_token: FencingToken(fencing_token), sequence, ready: true, node_weights }
}

impl SmallCluster {
    /// `alone`: there is no second leader.
    fn new(alone: bool) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let mut coordinator = Coordinator::new("l".into(), FencingToken(1), now);
        coordinator.delegation(&[], true, now);
        let delegates = [0, 1].map(|i| {
            let mut d = Delegate::new(node(i));
            d.delegation_received(&"l".into(), delegation(1, 1, i), now);
            d
        });
        Self {
            now,
            delegates,
            coordinator,
            flying: Vec::new(),
            said: Vec::new(),
            fencing_token: 1,
            digests: 0,
            pushed: alone,
            delegated: alone,
        }
    }

    fn report(&mut self, i: usize, content: u8) -> Result<(), String> {
        self.said.push(content);
        let at = HeartbeatPosition {
            worker_epoch: WorkerEpoch(1),
            serial: self.said.len() as u64,
            fencing_token: FencingToken(self.fencing_token),
        };
        let (machine, zone): (MachineId, Zone) = ("m".into(), "z".into());
        let heartbeat = IncomingHeartbeat { machine: &machine, zone: &zone, at, content: vec![content] };
        match self.delegates[i].heartbeat_received(heartbeat, FencingToken(0), true, self.now) {
            Routing::Answer(fencing_token) if fencing_token.0 < self.fencing_token => {
                Err(format!("answered by {fencing_token} whoever has seen {}", self.fencing_token))
            }
            _ => Ok(()),
        }
    }

    fn deliver(&mut self, k: usize) -> Result<(), String> {
        let (i, digest) = self.flying[k].clone();
        for heard in self.coordinator.digest(&node(i), digest, self.now) {
            let known = self.coordinator.known(&heard.machine).ok_or("heard and not known")?;
            let said = self.said[heard.at.serial as usize - 1];
            if known.content != [said] {
                return Err(format!("report {} said {said}, taken for {:?}", heard.at.serial, known.content));
            }
        }
        for (to, machines) in self.coordinator.take_missing() {
            self.delegates[usize::from(to == node(1))].resend_requested(machines);
        }
        Ok(())
    }

    /// All that may happen next.
    fn next(&self) -> Vec<Result<SmallCluster, String>> {
        let mut out = Vec::new();
        let mut then = |what: &dyn Fn(&mut SmallCluster) -> Result<(), String>| {
            let mut cell = self.clone();
            out.push(what(&mut cell).map(|()| cell));
        };
        for i in 0..2 {
            if self.said.len() < REPORTS {
                then(&|c| c.report(i, 0));
                then(&|c| c.report(i, 1));
            }
            if self.digests < DIGESTS && self.flying.len() < IN_FLIGHT {
                then(&|c| {
                    c.now = c.now + Duration::from_millis(500);
                    c.digests += 1;
                    if let Some((_, digest)) = c.delegates[i].digest(c.now) {
                        c.flying.push((i, digest));
                    }
                    Ok(())
                });
            }
        }
        for k in 0..self.flying.len() {
            then(&|c| c.deliver(k)); // and again later
            then(&|c| {
                c.deliver(k)?;
                c.flying.remove(k);
                Ok(())
            });
            then(&|c| {
                c.flying.remove(k);
                Ok(())
            });
        }
        if !self.pushed {
            then(&|c| {
                (c.pushed, c.fencing_token) = (true, 2);
                Ok(())
            });
        }
        if !self.delegated {
            then(&|c| {
                c.delegated = true;
                c.delegates[0].delegation_received(&"k".into(), delegation(2, 1, 0), c.now);
                Ok(())
            });
        }
        out
    }
}

/// Goes through all states up to `depth` events; the first fault found, and how many states there are.
fn search(first: SmallCluster, depth: usize) -> (Option<String>, usize) {
    let mut seen = HashSet::new();
    let mut level = vec![first];
    for _ in 0..depth {
        let mut next = Vec::new();
        for cell in &level {
            for after in cell.next() {
                match after {
                    Err(fault) => return (Some(fault), seen.len()),
                    Ok(after) => {
                        if seen.insert(crate::content_hash(format!("{after:?}").as_bytes())) {
                            next.push(after);
                        }
                    }
                }
            }
        }
        level = next;
    }
    (None, seen.len())
}

#[test]
fn no_order_of_events_makes_a_digest_say_what_the_report_did_not() {
    let (fault, states) = search(SmallCluster::new(true), 9);
    assert_eq!(fault, None);
    assert!(states > 1_000, "{states}");
    let (fault, states) = search(SmallCluster::new(false), 5);
    assert_eq!(fault, None);
    assert!(states > 1_000, "{states}");
}

#[test]
fn the_search_finds_what_missing_guards_allow() {
    let mut trusting = SmallCluster::new(true);
    trusting.coordinator.disable_content_check();
    let (fault, _) = search(trusting, 9);
    assert!(fault.as_ref().is_some_and(|f| f.contains("taken for")), "{fault:?}");
    let mut older = SmallCluster::new(false);
    older.delegates.iter_mut().for_each(|d| d.disable(DelegateCheck::OlderFencingToken));
    let (fault, _) = search(older, 5);
    assert!(fault.as_ref().is_some_and(|f| f.contains("answered by")), "{fault:?}");
}

/// Whatever bytes come as a digest or a delegation: read or not, and nothing panics.
#[test]
fn hostile_messages_change_nothing_that_matters() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let mut coordinator = Coordinator::new("l".into(), FencingToken(1), MonotonicTime::from_millis(5));
        coordinator.delegation(&[], true, MonotonicTime::from_millis(5));
        if let Ok(digest) = postcard::from_bytes::<HeartbeatDigest>(&bytes) {
            coordinator.digest(
                &"a".into(),
                HeartbeatDigest { fencing_token: FencingToken(1), sequence: 1, ..digest },
                MonotonicTime::from_millis(9),
            );
        }
        let mut delegate = Delegate::new("a".into());
        if let Ok(delegation) = postcard::from_bytes::<Delegation>(&bytes) {
            delegate.delegation_received(&"l".into(), delegation, MonotonicTime::from_millis(9));
            let _ = delegate.digest(MonotonicTime::from_millis(900));
        }
        Ok(())
    })
    .budget_ms(500);
}
