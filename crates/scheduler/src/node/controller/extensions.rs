//! Features in their slots: what happens is handed to them, and what they want is done.

use super::{Controller, read_pause};
use crate::assignments;
use crate::election;
use crate::extension::{
    Action, Call, Extension, Input, MachinePage, Machines, Outcome, Records, Share, View,
};
use crate::jobs;
use crate::node::Effect;
use crate::node::outbox::{Pending, Read, WatchedPrefix};
use crate::node::prefix_watcher::PrefixWatcher;
use crate::rate_limit::TokenBucket;
use crate::types::{Duration, JobId, MachineId, MonotonicTime, RequestId, Revision};
use crate::wire::state::{Change, Pair, StoreReply, StoreRequest};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How long a feature waits for a read that it asked for.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Reads of machines' records a second that a feature has: each may bring half a megabyte.
const MACHINE_READS: f64 = 2.0;

pub(super) struct Slot {
    /// Out of its place while it takes a step.
    feature: Option<Box<dyn Extension>>,
    records: Records,
    watcher: PrefixWatcher,
    reads: Vec<Asked>,
    machine_reads: TokenBucket,
    /// Of its own, so that the core's draws are the same with and without it.
    rng: StdRng,
}

/// A read asked for, and how many had begun by then.
struct Asked {
    tag: u64,
    at: MonotonicTime,
    own: u64,
    jobs: u64,
}

impl Controller {
    /// Adds a feature. Its slot is the number of those added before.
    pub fn with_feature(mut self, feature: Box<dyn Extension>) -> Self {
        let watched = WatchedPrefix::Extension(self.extensions.len());
        let watcher = PrefixWatcher::new(watched, feature.prefix(), read_pause(&self.settings));
        let rng = StdRng::seed_from_u64(self.extensions.len() as u64);
        let (records, reads) = (Records::default(), Vec::new());
        let machine_reads = TokenBucket::new(MACHINE_READS);
        self.extensions.push(Slot { feature: Some(feature), records, watcher, reads, machine_reads, rng });
        self
    }

    pub(super) fn call(&mut self, slot: usize, request: RequestId, call: Call) {
        if slot >= self.extensions.len() {
            return self.out.refuse(request, 404, "no such path");
        }
        self.hand(slot, Input::Call { request, call });
    }

    pub(super) fn extensions_tick(&mut self) {
        let now = self.now;
        for slot in 0..self.extensions.len() {
            let overdue = self.extensions[slot].reads.extract_if(.., |a| now.since(a.at) >= READ_TIMEOUT);
            for tag in overdue.map(|a| a.tag).collect::<Vec<_>>() {
                self.hand(slot, Input::Read { tag, fresh: false });
            }
            self.hand(slot, Input::Tick);
        }
    }

    pub(super) fn extensions_learn_jobs(&mut self, changed: &[JobId]) {
        for slot in 0..self.extensions.len() {
            self.hand(slot, Input::Jobs(changed));
        }
    }

    pub(super) fn extensions_want_read(&self) -> bool {
        // Of the two reads that each needs one may be over before the other.
        self.extensions.iter().flat_map(|s| &s.reads).any(|a| self.job_watcher.is_past(a.jobs).is_none())
    }

    /// Reads their records, and tells them of reads that are over.
    pub(super) fn extensions_pump(&mut self) {
        for slot in 0..self.extensions.len() {
            let s = &mut self.extensions[slot];
            let wanted = s.reads.iter().any(|a| s.watcher.is_past(a.own).is_none());
            s.watcher.pump(self.now, s.records.store_revision(), wanted, &mut self.out);
            let changed = s.records.take_changed();
            if !changed.is_empty() {
                self.hand(slot, Input::Records(&changed));
            }
            let (s, jobs) = (&mut self.extensions[slot], &self.job_watcher);
            let mut over = Vec::new();
            s.reads.retain(|a| match (s.watcher.is_past(a.own), jobs.is_past(a.jobs)) {
                (Some(true), Some(true)) => {
                    over.push((a.tag, true));
                    false
                }
                (Some(false), _) | (_, Some(false)) => {
                    over.push((a.tag, false));
                    false
                }
                _ => true,
            });
            for (tag, fresh) in over {
                self.hand(slot, Input::Read { tag, fresh });
            }
        }
    }

    pub(super) fn extension_read(&mut self, slot: usize, read: Read, reply: StoreReply) {
        let Some(s) = self.extensions.get_mut(slot) else { return };
        s.watcher.reply(self.now, read, reply, &mut s.records, &mut s.rng, &mut self.out);
    }

    pub(super) fn extension_committed(
        &mut self,
        slot: usize,
        tag: u64,
        changes: Vec<Change>,
        reply: StoreReply,
    ) {
        let outcome = match reply {
            StoreReply::Committed { store_revision } => {
                // Known here at once, not only when the watch brings it.
                for change in &changes {
                    self.learn_change(slot, store_revision, change);
                }
                Outcome::Done { store_revision }
            }
            StoreReply::Conflict { failed } => Outcome::Conflict(failed),
            StoreReply::Malformed => Outcome::Malformed,
            _ => Outcome::Unknown,
        };
        self.hand(slot, Input::Committed { tag, outcome });
    }

    fn learn_change(&mut self, slot: usize, store_revision: u64, change: &Change) {
        match change {
            Change::Put { key, value, .. } => match key.strip_prefix(jobs::PREFIX) {
                Some(id) => match serde_json::from_str(value) {
                    Ok(record) => self.job_cache.learn(JobId::from(id), Revision(store_revision), record),
                    Err(error) => tracing::error!(key, %error, "a job record written here can't be read"),
                },
                None => self.extensions[slot].records.learn(key, Revision(store_revision), value),
            },
            Change::Delete { key } => {
                self.extensions[slot].records.learn_removed(key, Revision(store_revision))
            }
        }
    }

    fn hand(&mut self, slot: usize, input: Input<'_>) {
        let actions = self.step_extension(slot, input);
        self.act(slot, actions);
    }

    fn step_extension(&mut self, slot: usize, input: Input<'_>) -> Vec<Action> {
        let Some(mut feature) = self.extensions[slot].feature.take() else { return Vec::new() };
        let fencing_token = self.election.valid(self.now).then(|| self.election.fencing_token());
        let (leader, job_counts) = (&self.leader, &self.job_counts);
        let view = View {
            now: self.now,
            wall_time: self.wall_time,
            node: &self.settings.node,
            settings: &self.settings,
            jobs: &self.job_cache,
            records: &self.extensions[slot].records,
            leads: fencing_token.filter(|_| leader.is_some()),
            admission: self.admission(),
            standing: &|id| match leader {
                Some(leader) => leader.counts_of_job(id),
                None => job_counts.get(id).copied(),
            },
            waiting: &|id| leader.as_ref().and_then(|m| m.waiting_of(id)),
            remaining_quota: &|team| leader.as_ref().and_then(|m| m.remaining_quota(team)),
        };
        let actions = feature.step(&view, input);
        self.extensions[slot].feature = Some(feature);
        actions
    }

    fn act(&mut self, slot: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { request, status, retry_after_s, headers, body } => {
                    self.out.push(Effect::Answer { request, status, retry_after_s, headers, body });
                }
                Action::Read { tag } => {
                    let (own, jobs) = (self.extensions[slot].watcher.begun(), self.job_watcher.begun());
                    self.extensions[slot].reads.push(Asked { tag, at: self.now, own, jobs });
                }
                Action::Machines { tag, which } => self.read_machines(slot, tag, which),
                Action::Commit { tag, share, conditions, changes } => {
                    self.commit_for(slot, tag, share, conditions, changes);
                }
            }
        }
    }

    fn read_machines(&mut self, slot: usize, tag: u64, which: Machines) {
        if !self.extensions[slot].machine_reads.take(1.0, self.now) {
            return self.hand(slot, Input::Machines { tag, found: Err(Outcome::NoBudget) });
        }
        let request = match which {
            Machines::One(id) => StoreRequest::Get { key: assignments::key(&id) },
            Machines::Page { after, most } => StoreRequest::Range {
                prefix: assignments::PREFIX,
                after: after.map(|id| assignments::key(&id)),
                most,
            },
        };
        self.out.request_store(request, Pending::Machines { slot, tag });
    }

    pub(super) fn extension_machines(&mut self, slot: usize, tag: u64, reply: StoreReply) {
        let read = |pair: &Pair| match serde_json::from_str(&pair.value) {
            Ok(record) => Some((MachineId::from(pair.key.strip_prefix(assignments::PREFIX)?), record)),
            Err(error) => {
                tracing::error!(key = pair.key, %error, "a machine's record can't be read");
                None
            }
        };
        let found = match reply {
            StoreReply::Found(pair) => {
                Ok(MachinePage { machines: read(&pair).into_iter().collect(), more: false })
            }
            StoreReply::Missing { .. } => Ok(MachinePage::default()),
            StoreReply::Pairs { pairs, more, .. } => {
                Ok(MachinePage { machines: pairs.iter().filter_map(read).collect(), more })
            }
            _ => Err(Outcome::Unknown),
        };
        self.hand(slot, Input::Machines { tag, found });
    }

    fn commit_for(
        &mut self,
        slot: usize,
        tag: u64,
        share: Share,
        mut conditions: Vec<(String, Revision)>,
        changes: Vec<Change>,
    ) {
        let paid = match share {
            Share::Users => self.user_writes.take(changes.len() as f64, self.now),
            Share::Upkeep => {
                let valid = self.election.valid(self.now);
                conditions.push((election::LEADER_KEY.into(), Revision(self.election.fencing_token().0)));
                let now = self.now;
                valid && self.leader.as_mut().is_some_and(|m| m.spare_writes(changes.len(), now))
            }
        };
        if !paid {
            return self.hand(slot, Input::Committed { tag, outcome: Outcome::NoBudget });
        }
        let request = StoreRequest::Commit { conditions, changes: changes.clone() };
        self.out.request_store(request, Pending::Extension { slot, tag, changes });
    }

    pub(super) fn extensions_metrics(&self, lines: &mut Vec<String>) {
        self.extensions.iter().filter_map(|s| s.feature.as_ref()).for_each(|f| f.metrics(lines));
    }
}
