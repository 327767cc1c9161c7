//! Every node's part: whose reports it answers, and what it tells the leader of them.

use crate::messages::{Delegation, FullHeartbeat, HeartbeatDigest, HeartbeatPosition, UnchangedHeartbeat};
use crate::{NodeWeights, content_hash};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// How old the last delegation may be for the leader to count as reachable from here.
const FRESH: Duration = Duration::from_millis(3000);
/// A worker that comes back within this, after it was sent elsewhere, is answered: it found nobody there.
const COMES_BACK: Duration = Duration::from_millis(30_000);
/// How long what has changed waits for more of it, and what is the same as before.
const CHANGED_EVERY: Duration = Duration::from_millis(100);
const SAME_EVERY: Duration = Duration::from_millis(500);
/// Bytes of content in one digest; what is more goes with the next.
const DIGEST_BYTES: usize = 128 * 1024;
/// Workers sent home in a second: moved a few at a time, never all at once.
const MOVES_A_SECOND: u32 = 60;
/// What was heard longer ago than this is not told to a new leader: the machine may have moved on.
const REMEMBERED: Duration = Duration::from_millis(15_000);

/// Guards that tests take out, to prove that what checks them can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelegateCheck {
    /// A worker that has seen a higher fence is not answered by a lower one.
    OlderFencingToken,
    /// Answers end with this node's own look at the job records.
    OwnRead,
}

/// A report, as far as it matters whose it is to answer.
#[derive(Debug)]
pub struct IncomingHeartbeat<'a> {
    pub machine: &'a MachineId,
    pub zone: &'a Zone,
    pub at: HeartbeatPosition,
    pub content: Vec<u8>,
}

/// What becomes of a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Routing {
    /// Answered with 200 by this fence.
    Answer(FencingToken),
    /// Sent to the node that is its home.
    Redirect(NodeName),
    /// Sent on to whichever node comes next.
    TryAnotherNode,
    /// This node has no delegation: as if there were none anywhere.
    NoDelegation,
}

#[derive(Debug, Clone)]
struct HeldDelegation {
    leader: NodeName,
    fencing_token: FencingToken,
    sequence: u64,
    at: MonotonicTime,
    ready: bool,
    node_weights: NodeWeights,
    /// Workers of this zone alone are answered by it.
    only: Option<Zone>,
}

#[derive(Debug, Clone)]
struct ReceivedHeartbeat {
    at: HeartbeatPosition,
    heard: MonotonicTime,
    content: Vec<u8>,
    hash: u64,
}

/// When a worker was sent elsewhere, and why.
#[derive(Debug, Clone, Copy)]
struct Redirected {
    at: MonotonicTime,
    /// To its home; else on, as no delegation had come since this time.
    alone_since: Option<MonotonicTime>,
}

#[derive(Debug, Clone)]
pub struct Delegate {
    me: NodeName,
    held: Option<HeldDelegation>,
    /// The leader that all reports have been told in full.
    fully_reported_to: FencingToken,
    heard: BTreeMap<MachineId, ReceivedHeartbeat>,
    /// To be told in full, and to be told as the same as before.
    changed: BTreeSet<MachineId>,
    same: BTreeSet<MachineId>,
    redirected: BTreeMap<MachineId, Redirected>,
    moves: (MonotonicTime, u32),
    next_changed: MonotonicTime,
    next_same: MonotonicTime,
    next_prune: MonotonicTime,
    out: Option<DelegateCheck>,
}

impl Delegate {
    pub fn new(me: NodeName) -> Self {
        Self {
            me,
            held: None,
            fully_reported_to: FencingToken(0),
            heard: BTreeMap::new(),
            changed: BTreeSet::new(),
            same: BTreeSet::new(),
            redirected: BTreeMap::new(),
            moves: (MonotonicTime::default(), 0),
            next_changed: MonotonicTime::default(),
            next_same: MonotonicTime::default(),
            next_prune: MonotonicTime::default(),
            out: None,
        }
    }

    /// Takes a guard out, for tests.
    pub fn disable(&mut self, guard: DelegateCheck) {
        self.out = Some(guard);
    }

    /// The fence that it answers by.
    pub fn fencing_token(&self) -> Option<FencingToken> {
        self.held.as_ref().map(|h| h.fencing_token)
    }

    /// Workers whose reports it has answered lately.
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// This node leads now: it answers in its own right. What it has heard as a delegate is for itself.
    pub fn became_leader(&mut self, now: MonotonicTime) -> Vec<FullHeartbeat> {
        self.held = None;
        self.changed.clear();
        self.same.clear();
        let heard = std::mem::take(&mut self.heard);
        heard
            .into_iter()
            .filter(|(_, r)| now.since(r.heard) < REMEMBERED)
            .map(|(machine, r)| FullHeartbeat {
                machine,
                at: r.at,
                age: now.since(r.heard),
                content: r.content,
            })
            .collect()
    }

    /// A leader delegates. An older leader's word, however late, changes nothing.
    pub fn delegation_received(&mut self, from: &NodeName, delegation: Delegation, now: MonotonicTime) {
        let Delegation { fencing_token, sequence, ready, node_weights } = delegation;
        if self.held.as_ref().is_some_and(|h| (fencing_token, sequence) <= (h.fencing_token, h.sequence)) {
            return;
        }
        if ready && self.fully_reported_to < fencing_token {
            // A new leader knows nothing yet: what each node has heard spares it a rush of every worker.
            self.fully_reported_to = fencing_token;
            self.heard.retain(|_, r| now.since(r.heard) < REMEMBERED);
            self.changed = self.heard.keys().cloned().collect();
            self.same.clear();
            self.next_changed = now;
        }
        self.held = Some(HeldDelegation {
            leader: from.clone(),
            fencing_token,
            sequence,
            at: now,
            ready,
            node_weights,
            only: None,
        });
    }

    /// The state service says who leads, though no delegation comes from there: what the leader delegates to all alike,
    /// this node has. Nobody is home anywhere by it, and nothing is told to the leader: a worker is sent on once, as
    /// somebody else may reach the leader, and answered when it comes back; and only those of this node's zone, `only`,
    /// since others may reach more than this node, and what stays here the leader doesn't hear.
    pub fn delegation_inferred(
        &mut self,
        leader: &NodeName,
        fencing_token: FencingToken,
        only: &Zone,
        now: MonotonicTime,
    ) {
        if self.held.as_ref().is_none_or(|h| h.fencing_token < fencing_token) {
            let at = now.before(FRESH);
            let (node_weights, only) = (NodeWeights::default(), Some(only.clone()));
            self.held = Some(HeldDelegation {
                leader: leader.clone(),
                fencing_token,
                sequence: 0,
                at,
                ready: false,
                node_weights,
                only,
            });
        }
    }

    /// The leader lacks what these machines last said.
    pub fn resend_requested(&mut self, machines: Vec<MachineId>) {
        self.changed.extend(machines.into_iter().filter(|m| self.heard.contains_key(m)));
    }

    /// When it heard of the leader last.
    pub fn heard_at(&self) -> MonotonicTime {
        self.held.as_ref().map(|h| h.at).unwrap_or_default()
    }

    /// Whether the leader counts as reachable from here.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.held.as_ref().is_some_and(|h| now.since(h.at) < FRESH)
    }

    /// Takes a report. `top`: the highest fence that this node knows of. `may_renew`: its own last look at the
    /// job records allows it to renew leases.
    pub fn heartbeat_received(
        &mut self,
        heartbeat: IncomingHeartbeat<'_>,
        top: FencingToken,
        may_renew: bool,
        now: MonotonicTime,
    ) -> Routing {
        let Some(held) = &self.held else { return Routing::NoDelegation };
        // A worker drops an answer by a lower fence than it has seen, and stays here while its lease runs out.
        // (The second is the same guard: whoever has seen a higher one says so with its next report.)
        let older = held.fencing_token < heartbeat.at.fencing_token || held.fencing_token < top;
        if older && self.out != Some(DelegateCheck::OlderFencingToken) {
            return Routing::NoDelegation;
        }
        if held.only.as_ref().is_some_and(|zone| zone != heartbeat.zone) {
            return Routing::NoDelegation;
        }
        // A withdrawal that no node inside a cut can see was told after the look; see the design's "Outages".
        if !may_renew && self.out != Some(DelegateCheck::OwnRead) {
            return Routing::TryAnotherNode;
        }
        let fencing_token = held.fencing_token;
        if let Some(turn) = self.redirect_for(heartbeat.machine, heartbeat.zone, now) {
            return turn;
        }
        self.heard(heartbeat, now);
        Routing::Answer(fencing_token)
    }

    /// Where a worker is sent instead of being answered here, if it is.
    pub(crate) fn redirect_for(
        &mut self,
        machine: &MachineId,
        zone: &Zone,
        now: MonotonicTime,
    ) -> Option<Routing> {
        let held = self.held.as_ref()?;
        let fresh = now.since(held.at) < FRESH;
        let home =
            held.node_weights.assigned_node(machine, zone).filter(|home| fresh && **home != self.me).cloned();
        let alone_since = (!fresh).then_some(held.at);
        if (fresh && home.is_none()) || self.came_back(machine, alone_since, now) {
            return None;
        }
        let turn = match home {
            Some(_) if !self.may_move(now) => return None,
            Some(home) => Routing::Redirect(home),
            // The leader may be reached from elsewhere. Whoever finds that it isn't comes back.
            None => Routing::TryAnotherNode,
        };
        self.redirected.insert(machine.clone(), Redirected { at: now, alone_since });
        // What it says next elsewhere is not known here.
        self.heard.remove(machine);
        self.changed.remove(machine);
        self.same.remove(machine);
        Some(turn)
    }

    /// Whether it was sent elsewhere for the same reason before, and so found nobody there. One that was sent
    /// home and comes from there because that node has lost the leader too has not: it must go on until it
    /// meets the leader (440 machines were answered by nodes that the leader did not hear, and given up; andina
    /// fleet, apart).
    fn came_back(&self, machine: &MachineId, alone_since: Option<MonotonicTime>, now: MonotonicTime) -> bool {
        self.redirected.get(machine).is_some_and(|s| match alone_since {
            Some(_) => s.alone_since == alone_since,
            None => s.alone_since.is_none() && now.since(s.at) < COMES_BACK,
        })
    }

    fn may_move(&mut self, now: MonotonicTime) -> bool {
        if now.since(self.moves.0) >= Duration::from_millis(1000) {
            self.moves = (now, 0);
        }
        self.moves.1 += 1;
        self.moves.1 <= MOVES_A_SECOND
    }

    fn heard(&mut self, heartbeat: IncomingHeartbeat<'_>, now: MonotonicTime) {
        let hash = content_hash(&heartbeat.content);
        let known = self.heard.get(heartbeat.machine);
        if known.is_some_and(|k| !heartbeat.at.is_newer(&k.at)) {
            return; // an old one, that came late
        }
        let like = |k: &ReceivedHeartbeat| {
            k.hash == hash
                && (k.at.worker_epoch, k.at.fencing_token)
                    == (heartbeat.at.worker_epoch, heartbeat.at.fencing_token)
        };
        if known.is_some_and(like) && !self.changed.contains(heartbeat.machine) {
            self.same.insert(heartbeat.machine.clone());
        } else {
            self.same.remove(heartbeat.machine);
            self.changed.insert(heartbeat.machine.clone());
        }
        let report = ReceivedHeartbeat { at: heartbeat.at, heard: now, content: heartbeat.content, hash };
        self.heard.insert(heartbeat.machine.clone(), report);
    }

    /// What the leader is to be told now, and which node that is.
    pub fn digest(&mut self, now: MonotonicTime) -> Option<(NodeName, HeartbeatDigest)> {
        self.prune(now);
        let held = self.held.as_ref().filter(|h| h.ready)?;
        let changed = !self.changed.is_empty() && now >= self.next_changed;
        let same = now >= self.next_same;
        if !changed && !same {
            return None;
        }
        self.next_changed = now + CHANGED_EVERY;
        let mut digest = HeartbeatDigest {
            fencing_token: held.fencing_token,
            sequence: held.sequence,
            full: Vec::new(),
            same: Vec::new(),
        };
        let mut bytes = 0;
        while bytes < DIGEST_BYTES
            && let Some(machine) = self.changed.pop_first()
        {
            let Some(r) = self.heard.get(&machine) else { continue };
            bytes += r.content.len();
            let (age, content) = (now.since(r.heard), r.content.clone());
            digest.full.push(FullHeartbeat { machine, at: r.at, age, content });
        }
        if same {
            self.next_same = now + SAME_EVERY;
            for machine in std::mem::take(&mut self.same) {
                let Some(r) = self.heard.get(&machine) else { continue };
                digest.same.push(UnchangedHeartbeat {
                    machine,
                    at: r.at,
                    age: now.since(r.heard),
                    hash: r.hash,
                });
            }
        }
        Some((held.leader.clone(), digest))
    }

    /// Forgets machines that have not been heard for long, here or after they were sent elsewhere.
    pub(crate) fn prune(&mut self, now: MonotonicTime) {
        if now < self.next_prune {
            return;
        }
        self.next_prune = now + Duration::from_millis(5000);
        self.heard.retain(|_, r| now.since(r.heard) < COMES_BACK);
        let delegated = self.held.as_ref().map(|h| h.at);
        let lasts = |s: &Redirected| s.alone_since.is_some() && s.alone_since == delegated;
        self.redirected.retain(|_, s| now.since(s.at) < COMES_BACK || lasts(s));
    }
}

#[cfg(test)]
mod tests;
