//! The leader's part: what digests are worth, which way a worker is reached, who is home to how many.

use crate::messages::{Delegation, FullHeartbeat, HeartbeatDigest, HeartbeatPosition};
use crate::rendezvous::{NodeWeight, NodeWeights};
use crate::{Delegate, Routing, content_hash};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Zone};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const DELEGATE_EVERY: Duration = Duration::from_millis(1000);
/// A digest that left before this delegation came is at most so much younger than the next one.
const SLACK: Duration = Duration::from_millis(1500);
/// Delegations whose time is remembered.
const REMEMBERED_DELEGATIONS: usize = 128;
/// How old a node's last digest may be for orders to go through it, and the delegation that it names.
const FRESH: Duration = Duration::from_millis(1500);
const DELEGATED: Duration = Duration::from_millis(3500);
/// How long a node has to send its first digest before it is home to none.
const GRACE: Duration = Duration::from_millis(4000);
/// Weight of a node; the leader has its rounds and commits besides.
const WEIGHT: u16 = 100;
const LEADERS_WEIGHT: u16 = 40;
/// How often weights follow the numbers of machines, and by how much at a time.
const BALANCE_EVERY: Duration = Duration::from_millis(10_000);
const STEP: f64 = 0.8;
/// A node with more than this many times its share gets less.
const UNEVEN: f64 = 1.25;

/// What a digest says of one machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeardHeartbeat {
    pub machine: MachineId,
    pub at: HeartbeatPosition,
    /// When the report was heard, by the leader's clock, and rather too early than too late.
    pub heard: MonotonicTime,
    /// What it says is new; else it is what the last one said.
    pub new: bool,
}

/// What a machine last said, and to which node.
#[derive(Debug, Clone)]
pub struct KnownHeartbeat {
    pub node: NodeName,
    pub at: HeartbeatPosition,
    pub content: Vec<u8>,
    hash: u64,
}

#[derive(Debug, Clone)]
pub struct Coordinator {
    me: NodeName,
    fencing_token: FencingToken,
    sequence: u64,
    sent: VecDeque<(u64, MonotonicTime)>,
    next: MonotonicTime,
    /// When a node's last digest came, and when the delegation had left that it named.
    digests: BTreeMap<NodeName, (MonotonicTime, MonotonicTime)>,
    /// Since when nodes have been there for a leader that is ready.
    listed: BTreeMap<NodeName, MonotonicTime>,
    known: BTreeMap<MachineId, KnownHeartbeat>,
    missing: BTreeMap<NodeName, BTreeSet<MachineId>>,
    weights: BTreeMap<NodeName, u16>,
    next_balance: MonotonicTime,
    /// Decides about the leader's own reports, as any node does.
    own: Delegate,
    #[cfg(test)]
    skip_content_check: bool,
}

impl Coordinator {
    pub fn new(me: NodeName, fencing_token: FencingToken, now: MonotonicTime) -> Self {
        Self {
            own: Delegate::new(me.clone()),
            me,
            fencing_token,
            sequence: 0,
            sent: VecDeque::new(),
            next: now,
            digests: BTreeMap::new(),
            listed: BTreeMap::new(),
            known: BTreeMap::new(),
            missing: BTreeMap::new(),
            weights: BTreeMap::new(),
            next_balance: now + BALANCE_EVERY,
            #[cfg(test)]
            skip_content_check: false,
        }
    }

    /// Takes the guard out that a report told as the same as before is that of the same content.
    #[cfg(test)]
    pub fn disable_content_check(&mut self) {
        self.skip_content_check = true;
    }

    fn skips_content_check(&self) -> bool {
        #[cfg(test)]
        return self.skip_content_check;
        #[cfg(not(test))]
        false
    }

    /// The delegation to send to all, if one is due. `live`: the nodes that are there, this one among them, and
    /// their zones.
    pub fn delegation(
        &mut self,
        live: &[(NodeName, Zone)],
        ready: bool,
        now: MonotonicTime,
    ) -> Option<Delegation> {
        if now < self.next {
            return None;
        }
        self.next = now + DELEGATE_EVERY;
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > REMEMBERED_DELEGATIONS {
            self.sent.pop_front();
        }
        self.balance(live, now);
        self.listed.retain(|node, _| live.iter().any(|(n, _)| n == node));
        if ready {
            live.iter().for_each(|(node, _)| {
                self.listed.entry(node.clone()).or_insert(now);
            });
        }
        let place = |(node, zone): &(NodeName, Zone)| {
            let weight = self.weights.get(node).copied().unwrap_or(self.first_weight(node));
            let weight = if self.is_unresponsive(node, now) { 0 } else { weight };
            NodeWeight { node: node.clone(), zone: zone.clone(), weight }
        };
        let node_weights = NodeWeights::new(live.iter().map(place).collect());
        let delegation =
            Delegation { fencing_token: self.fencing_token, sequence: self.sequence, ready, node_weights };
        self.own.delegation_received(&self.me.clone(), delegation.clone(), now);
        self.own.prune(now);
        Some(delegation)
    }

    fn first_weight(&self, node: &NodeName) -> u16 {
        if *node == self.me { LEADERS_WEIGHT } else { WEIGHT }
    }

    /// Lowers the weight of nodes that have far more machines than the others, and raises it where it was
    /// lowered too far: zones differ in how many machines they have.
    fn balance(&mut self, live: &[(NodeName, Zone)], now: MonotonicTime) {
        if now < self.next_balance {
            return;
        }
        self.next_balance = now + BALANCE_EVERY;
        self.weights.retain(|node, _| live.iter().any(|(n, _)| n == node));
        let mut counts: BTreeMap<&NodeName, f64> = live.iter().map(|(n, _)| (n, 0.0)).collect();
        for known in self.known.values() {
            if let Some(n) = counts.get_mut(&known.node) {
                *n += 1.0;
            }
        }
        let all: f64 = counts.values().sum();
        let sum: f64 = live.iter().map(|(n, _)| f64::from(self.first_weight(n))).sum();
        // With few machines chance decides, and nothing is gained.
        if all < 50.0 * live.len() as f64 || sum <= 0.0 {
            return;
        }
        for (node, n) in counts {
            let first = self.first_weight(node);
            let share = all * f64::from(first) / sum;
            let weight = f64::from(self.weights.get(node).copied().unwrap_or(first));
            let next = match n / share.max(1.0) {
                r if r > UNEVEN => (weight * STEP).max(f64::from(first) / 10.0),
                r if r < 1.0 / UNEVEN => (weight / STEP).min(f64::from(first) * 2.0),
                _ => continue,
            };
            self.weights.insert(node.clone(), next.round() as u16);
        }
    }

    /// The node to which a worker is sent that reports to the leader itself, if it is not answered here.
    pub fn redirect_for(&mut self, machine: &MachineId, zone: &Zone, now: MonotonicTime) -> Option<NodeName> {
        match self.own.redirect_for(machine, zone, now) {
            Some(Routing::Redirect(home)) if self.is_fresh(&home, now) => Some(home),
            _ => None,
        }
    }

    fn is_fresh(&self, node: &NodeName, now: MonotonicTime) -> bool {
        let fresh = |(at, sequence): &(MonotonicTime, MonotonicTime)| {
            now.since(*at) < FRESH && now.since(*sequence) < DELEGATED
        };
        self.digests.get(node).is_some_and(fresh)
    }

    /// Whether a node that is there does not get what is sent to it, or what it sends gets lost: then it must be
    /// home to none. (Connections to a node were refused that had one back: it answered, told of it under a
    /// delegation long past, and 440 machines that it heard were given up; andina fleet, apart.)
    fn is_unresponsive(&self, node: &NodeName, now: MonotonicTime) -> bool {
        *node != self.me
            && self.listed.get(node).is_some_and(|since| now.since(*since) >= GRACE)
            && !self.is_fresh(node, now)
    }

    /// A report that came to the leader itself.
    pub fn heartbeat_received_here(&mut self, machine: &MachineId, at: HeartbeatPosition, content: Vec<u8>) {
        let (node, hash) = (self.me.clone(), content_hash(&content));
        self.known.insert(machine.clone(), KnownHeartbeat { node, at, content, hash });
    }

    pub fn known(&self, machine: &MachineId) -> Option<&KnownHeartbeat> {
        self.known.get(machine)
    }

    pub fn forget(&mut self, machine: &MachineId) {
        self.known.remove(machine);
    }

    /// The node through which orders reach a machine; none: straight from here.
    pub fn route(&self, machine: &MachineId, now: MonotonicTime) -> Option<&NodeName> {
        let node = &self.known.get(machine)?.node;
        (*node != self.me && self.is_fresh(node, now)).then_some(node)
    }

    /// Another way than the usual one: a node that is heard, or straight from here.
    pub fn detour(&self, machine: &MachineId, now: MonotonicTime) -> Option<&NodeName> {
        if self.route(machine, now).is_some() {
            return None;
        }
        let usual = self.known.get(machine).map(|k| &k.node);
        self.digests.keys().find(|node| Some(*node) != usual && self.is_fresh(node, now))
    }

    /// Takes a digest in. What it says is worth what the report said: newer ones than known only, and "the same
    /// as before" only of the content that is known here; else it is asked for.
    pub fn digest(
        &mut self,
        from: &NodeName,
        digest: HeartbeatDigest,
        now: MonotonicTime,
    ) -> Vec<HeardHeartbeat> {
        if digest.fencing_token != self.fencing_token {
            return Vec::new();
        }
        // A digest that a cut has held back says with its beat how old it is at least.
        let Some(sequence) =
            self.sent.iter().find(|(sequence, _)| *sequence == digest.sequence).map(|(_, at)| *at)
        else {
            return Vec::new();
        };
        self.digests.insert(from.clone(), (now, sequence));
        let heard = |age: Duration| now.before(age).min(sequence + SLACK);
        let mut out = Vec::new();
        for full in digest.full {
            let at = heard(full.age);
            out.extend(self.take_full(from, at, full));
        }
        let skips_content_check = self.skips_content_check();
        for same in digest.same {
            match self.known.get_mut(&same.machine) {
                Some(k) if !same.at.is_newer(&k.at) => {}
                Some(k)
                    if skips_content_check
                        || (k.hash == same.hash
                            && (k.at.worker_epoch, k.at.fencing_token)
                                == (same.at.worker_epoch, same.at.fencing_token)) =>
                {
                    k.at = same.at;
                    k.node = from.clone();
                    out.push(HeardHeartbeat {
                        machine: same.machine,
                        at: same.at,
                        heard: heard(same.age),
                        new: false,
                    });
                }
                _ => {
                    self.missing.entry(from.clone()).or_default().insert(same.machine);
                }
            }
        }
        out
    }

    /// Takes in what this node heard before it led, as of `since`.
    pub fn seed(
        &mut self,
        own: Vec<FullHeartbeat>,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<HeardHeartbeat> {
        let me = self.me.clone();
        let heard = |f: &FullHeartbeat| since.before(f.age).min(now);
        own.into_iter().filter_map(|full| self.take_full(&me, heard(&full), full)).collect()
    }

    fn take_full(
        &mut self,
        from: &NodeName,
        heard: MonotonicTime,
        full: FullHeartbeat,
    ) -> Option<HeardHeartbeat> {
        if self.known.get(&full.machine).is_some_and(|k| !full.at.is_newer(&k.at)) {
            return None;
        }
        let hash = content_hash(&full.content);
        let known = KnownHeartbeat { node: from.clone(), at: full.at, content: full.content, hash };
        self.known.insert(full.machine.clone(), known);
        if let Some(missing) = self.missing.get_mut(from) {
            missing.remove(&full.machine);
        }
        Some(HeardHeartbeat { machine: full.machine, at: full.at, heard, new: true })
    }

    /// Machines whose last words are to be asked for, by node.
    pub fn take_missing(&mut self) -> Vec<(NodeName, Vec<MachineId>)> {
        let missing = std::mem::take(&mut self.missing);
        missing
            .into_iter()
            .filter(|(_, machines)| !machines.is_empty())
            .map(|(node, machines)| (node, machines.into_iter().collect()))
            .collect()
    }

    /// Machines by the node that hears them.
    pub fn machines_by_node(&self) -> BTreeMap<NodeName, usize> {
        let mut counts = BTreeMap::new();
        self.known.values().for_each(|k| *counts.entry(k.node.clone()).or_default() += 1);
        counts
    }
}

#[cfg(test)]
mod tests;
