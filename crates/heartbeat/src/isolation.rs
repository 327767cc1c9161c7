//! Nodes that can't reach one another, but the state service: what they say through it.
//!
//! A node that doesn't hear the leader says, in a record of its own, under which fence it does not, and how many
//! workers of each zone it answers. From that the leader learns two things that silence can't tell it: that a zone it
//! doesn't hear is alive, and that more workers are on the other side, where another node should lead. Nothing is
//! proved by it: it only keeps machines from being returned, and lets a leader resign.

use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Revision, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How often a node says it: a change of the state service each.
const SAY_EVERY: Duration = Duration::from_millis(5_000);
/// How long a word holds: one more may be late.
const HOLDS: Duration = Duration::from_millis(12_000);
/// Workers that the others must hear beyond a leader's own for it to resign: a few more say nothing, and each change of
/// the lead costs seconds.
const MORE: f64 = 1.25;
const AT_LEAST: u32 = 3;

/// What a node that is apart from the leader says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IsolationReport {
    /// Of the leader that it does not hear.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// Workers that it answers, by zone.
    pub heard: BTreeMap<Zone, u32>,
}

/// Every node's part: whom it answers, and when to say so.
#[derive(Debug, Default)]
pub struct IsolationReporter {
    answered: BTreeMap<MachineId, (Zone, MonotonicTime)>,
    /// Under which fence it spoke last, and when it speaks again.
    said: FencingToken,
    next: MonotonicTime,
    next_prune: MonotonicTime,
}

impl IsolationReporter {
    /// It has answered a worker's report.
    pub fn answered(&mut self, machine: &MachineId, zone: &Zone, lease: Duration, now: MonotonicTime) {
        self.answered.insert(machine.clone(), (zone.clone(), now));
        if now >= self.next_prune {
            self.next_prune = now + SAY_EVERY;
            self.answered.retain(|_, (_, at)| now.since(*at) < lease);
        }
    }

    /// What to say now, if something is due: of whom it has answered in its `own` zone, and elsewhere `since` it is
    /// apart. `fencing_token`: of the leader that this node doesn't hear.
    pub fn isolation_report(
        &mut self,
        fencing_token: FencingToken,
        since: MonotonicTime,
        own: &Zone,
        lease: Duration,
        now: MonotonicTime,
    ) -> Option<IsolationReport> {
        if now < self.next && fencing_token == self.said {
            return None;
        }
        // Whose lease lives by an answer from here counts, though it is still on its way round nodes that don't answer.
        self.answered.retain(|_, (_, at)| now.since(*at) < lease);
        (self.said, self.next) = (fencing_token, now + SAY_EVERY);
        let mut heard = BTreeMap::new();
        let apart = self.answered.values().filter(|(zone, at)| zone == own || *at >= since);
        apart.for_each(|(zone, _)| *heard.entry(zone.clone()).or_default() += 1);
        Some(IsolationReport { fencing_token, heard })
    }
}

/// The leader's part: what it was told.
#[derive(Debug, Default)]
pub struct IsolationReports(BTreeMap<NodeName, (Revision, MonotonicTime, IsolationReport)>);

impl IsolationReports {
    /// A word as it was read. One that was there before says nothing new, however often it is read.
    pub fn learn(
        &mut self,
        node: NodeName,
        revision: Revision,
        isolation_report: IsolationReport,
        now: MonotonicTime,
    ) {
        if self.0.get(&node).is_none_or(|(known, ..)| *known < revision) {
            self.0.insert(node, (revision, now, isolation_report));
        }
    }

    fn recent(&self, now: MonotonicTime) -> impl Iterator<Item = &IsolationReport> {
        let holds = move |(_, at, _): &&(Revision, MonotonicTime, IsolationReport)| now.since(*at) < HOLDS;
        self.0.values().filter(holds).map(|(_, _, isolation_report)| isolation_report)
    }

    /// Zones whose workers are answered by nodes that are apart, whichever leader they speak of: their leases live on.
    pub fn alive(&self, now: MonotonicTime) -> BTreeSet<Zone> {
        self.recent(now).flat_map(|isolation_report| isolation_report.heard.keys().cloned()).collect()
    }

    /// Whether so many more workers are with nodes that are apart than the `mine` that the leader hears that one of
    /// those should lead. `mine` is counted only where somebody is apart.
    pub fn is_outnumbered(
        &self,
        mine: impl FnOnce() -> u32,
        fencing_token: FencingToken,
        now: MonotonicTime,
    ) -> bool {
        let recent =
            self.recent(now).filter(|isolation_report| isolation_report.fencing_token == fencing_token);
        let theirs =
            recent.map(|isolation_report| isolation_report.heard.values().sum::<u32>()).max().unwrap_or(0);
        if theirs < AT_LEAST {
            return false;
        }
        let mine = mine();
        theirs >= mine + AT_LEAST && f64::from(theirs) > f64::from(mine) * MORE
    }
}

#[cfg(test)]
mod tests;
