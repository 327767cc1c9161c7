//! The status broadcast: once a second the controllers receive how jobs stand and which placements
//! succeeded; every few broadcasts the success counts are stored.

use super::{Leader, StepContext};
use crate::election;
use crate::node::outbox::{LeaderRequest, Pending};
use crate::peer_messages::{BroadcastPosition, JobTaskCounts, PeerMessage};
use crate::placement::{self, PlacementOutcome};
use crate::types::{Duration, JobId, MachineId, MonotonicTime, Revision};
use crate::wire::state::{Change, StoreRequest};
use std::collections::BTreeSet;

const BROADCAST_INTERVAL: Duration = Duration::from_millis(1000);
/// Largest value of a part of the counts, in bytes. The counts are hints only, so their values and
/// transactions stay well below the store's limits.
const COUNTS_VALUE_BYTES: usize = 14_000;
/// Changes in a transaction of counts, at most.
const COUNTS_CHANGES_PER_TXN: usize = 4;

/// What the next broadcast will carry, and when it is due.
#[derive(Debug)]
pub(super) struct StatusBroadcaster {
    /// Broadcasts sent so far: the number of the last one.
    sent: u64,
    /// Jobs whose counts have changed since the last broadcast.
    changed_jobs: BTreeSet<JobId>,
    /// Placements that succeeded or failed since the last broadcast.
    placement_outcomes: Vec<PlacementOutcome>,
    next_broadcast: MonotonicTime,
    next_counts_save: MonotonicTime,
    counts_save_interval: Duration,
}

impl StatusBroadcaster {
    /// Sends the first broadcast at once, and saves counts every `counts_save_interval`.
    pub fn new(counts_save_interval: Duration, now: MonotonicTime) -> Self {
        Self {
            sent: 0,
            changed_jobs: BTreeSet::new(),
            placement_outcomes: Vec::new(),
            next_broadcast: now,
            next_counts_save: now + counts_save_interval,
            counts_save_interval,
        }
    }

    /// Notes that a job's counts have changed.
    pub fn mark_changed(&mut self, job: &JobId) {
        if !self.changed_jobs.contains(job) {
            self.changed_jobs.insert(job.clone());
        }
    }

    /// Notes whether a task succeeded on its machine.
    pub fn add_outcome(&mut self, outcome: PlacementOutcome) {
        self.placement_outcomes.push(outcome);
    }

    /// Begins a broadcast and gives its number, if it is time for one.
    fn begin(&mut self, now: MonotonicTime) -> Option<u64> {
        if now < self.next_broadcast {
            return None;
        }
        self.next_broadcast = now + BROADCAST_INTERVAL;
        self.sent += 1;
        Some(self.sent)
    }

    /// Whether the counts are to be saved now; then the next time is a whole interval later.
    fn begin_counts_save(&mut self, now: MonotonicTime) -> bool {
        let save = now >= self.next_counts_save;
        if save {
            self.next_counts_save = now + self.counts_save_interval;
        }
        save
    }
}

impl Leader {
    /// Sends the broadcast if it is due: the changes to controllers that have all earlier
    /// broadcasts, a snapshot to the others.
    pub(super) fn broadcast(&mut self, context: &mut StepContext) {
        // A leader whose lease is no longer valid must not keep the others from taking over: they
        // may reach the key-value store that it has lost.
        if !context.lease_valid {
            return;
        }
        let Some(sequence) = self.broadcaster.begin(context.now) else { return };
        let position = BroadcastPosition { fencing_token: self.fencing_token, sequence };
        let changed_jobs = std::mem::take(&mut self.broadcaster.changed_jobs);
        let jobs = self.job_counts(changed_jobs.iter());
        // A controller that has missed a broadcast gets everything; an acknowledgement may be on its way.
        let up_to_date: Vec<bool> =
            context.peers.names().iter().map(|name| context.peers.is_up_to_date(name, position)).collect();
        let all_up_to_date = up_to_date.iter().all(|up_to_date| *up_to_date);
        let all_jobs = if all_up_to_date { Vec::new() } else { self.job_counts(self.job_states.keys()) };
        let placement_outcomes = std::mem::take(&mut self.broadcaster.placement_outcomes);
        placement_outcomes.iter().for_each(|outcome| context.success_counts.learn(outcome));
        let save_counts = self.loaded() && self.broadcaster.begin_counts_save(context.now);
        if save_counts {
            let present: BTreeSet<MachineId> = self.machines.ids().cloned().collect();
            context.success_counts.keep(|id| present.contains(id));
        }
        for (peer, up_to_date) in context.peers.names().iter().zip(up_to_date) {
            let message = if up_to_date {
                PeerMessage::StatusBroadcast {
                    position,
                    jobs: jobs.clone(),
                    placement_outcomes: placement_outcomes.clone(),
                }
            } else {
                PeerMessage::StatusSnapshot {
                    position,
                    jobs: all_jobs.clone(),
                    success_counts: context.success_counts.clone(),
                }
            };
            context.outbox.send(peer, message);
        }
        if save_counts {
            self.save_counts(context);
        }
    }

    /// Done and running tasks of each of the jobs, as a broadcast carries them.
    fn job_counts<'a>(&self, jobs: impl Iterator<Item = &'a JobId>) -> Vec<JobTaskCounts> {
        let counts = |id: &JobId| Some(JobTaskCounts { job: id.clone(), counts: self.counts_of_job(id)? });
        jobs.filter_map(counts).collect()
    }

    /// Stores the parts of the success counts that have changed.
    fn save_counts(&mut self, context: &mut StepContext) {
        let limits = &self.settings.state;
        let max_value_bytes = limits.value_bytes.min(COUNTS_VALUE_BYTES);
        let changes_per_txn = limits.txn_ops.min(COUNTS_CHANGES_PER_TXN);
        let parts = context.success_counts.take_changed(placement::PARTS_AT_ONCE, max_value_bytes);
        for parts in parts.chunks(changes_per_txn) {
            self.commits.take_writes(parts.len(), context.now);
            let put = |part: &placement::SavedPart| Change::Put {
                key: format!("{}{}", placement::COUNTS_PREFIX, part.number),
                value: part.value.clone(),
                lease: None,
            };
            let request = StoreRequest::Commit {
                conditions: vec![(election::LEADER_KEY.into(), Revision(self.fencing_token.0))],
                changes: parts.iter().map(put).collect(),
            };
            let pending = Pending::Leader(self.fencing_token, LeaderRequest::SaveCounts);
            context.outbox.request_store(request, pending);
        }
    }
}
