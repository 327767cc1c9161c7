//! The status broadcast: once a second the leader sends the controllers the task counts of jobs and the
//! outcomes of placements. At a longer interval it stores the success counts.

use super::{Leader, StepContext};
use crate::election;
use crate::node::outbox::{LeaderRequest, Pending};
use crate::peer_messages::{BroadcastPosition, JobTaskCounts, PeerMessage};
use crate::placement::{self, PlacementOutcome};
use crate::types::{Duration, JobId, MachineId, MonotonicTime, Revision};
use crate::wire::state::{Change, StoreRequest};
use std::collections::BTreeSet;

const BROADCAST_INTERVAL: Duration = Duration::from_millis(1000);
/// Largest value of a part of the success counts, in bytes. The counts only improve placement, so their
/// values and transactions stay well below the store's limits.
const COUNTS_VALUE_BYTES: usize = 14_000;
/// Maximum number of changes in a transaction of success counts.
const COUNTS_CHANGES_PER_TXN: usize = 4;

/// The content of the next broadcast, and when it is due.
#[derive(Debug)]
pub(super) struct StatusBroadcaster {
    /// Sequence number of the last broadcast; 0 before the first one.
    last_sequence: u64,
    /// Jobs whose counts have changed since the last broadcast.
    changed_jobs: BTreeSet<JobId>,
    /// Placements that succeeded or failed since the last broadcast.
    placement_outcomes: Vec<PlacementOutcome>,
    next_broadcast: MonotonicTime,
    next_counts_save: MonotonicTime,
    counts_save_interval: Duration,
}

impl StatusBroadcaster {
    /// Creates a broadcaster whose first broadcast is due now, and which saves the success counts every
    /// `counts_save_interval`.
    pub fn new(counts_save_interval: Duration, now: MonotonicTime) -> Self {
        Self {
            last_sequence: 0,
            changed_jobs: BTreeSet::new(),
            placement_outcomes: Vec::new(),
            next_broadcast: now,
            next_counts_save: now + counts_save_interval,
            counts_save_interval,
        }
    }

    /// Marks a job's counts as changed.
    pub fn mark_changed(&mut self, job: &JobId) {
        if !self.changed_jobs.contains(job) {
            self.changed_jobs.insert(job.clone());
        }
    }

    /// Adds the outcome of a placement to the next broadcast.
    pub fn add_outcome(&mut self, outcome: PlacementOutcome) {
        self.placement_outcomes.push(outcome);
    }

    /// Begins a broadcast, if one is due, and returns its sequence number.
    fn begin(&mut self, now: MonotonicTime) -> Option<u64> {
        if now < self.next_broadcast {
            return None;
        }
        self.next_broadcast = now + BROADCAST_INTERVAL;
        self.last_sequence += 1;
        Some(self.last_sequence)
    }

    /// Whether the success counts are to be saved now. If so, the next save is due a whole interval later.
    fn begin_counts_save(&mut self, now: MonotonicTime) -> bool {
        let is_due = now >= self.next_counts_save;
        if is_due {
            self.next_counts_save = now + self.counts_save_interval;
        }
        is_due
    }
}

impl Leader {
    /// Sends the broadcast if it is due: the changes to controllers that have applied all earlier broadcasts,
    /// and a snapshot to the others.
    pub(super) fn broadcast(&mut self, context: &mut StepContext) {
        // A leader whose lease is no longer valid must not keep other nodes from taking over: they may reach
        // the key-value store when this leader can't.
        if !context.lease_valid {
            return;
        }
        let Some(sequence) = self.broadcaster.begin(context.now) else { return };
        let position = BroadcastPosition { fencing_token: self.fencing_token, sequence };
        let changed_jobs = std::mem::take(&mut self.broadcaster.changed_jobs);
        let jobs = self.job_counts(changed_jobs.iter());
        // A controller that has missed a broadcast gets a snapshot. Broadcasts whose acknowledgement may
        // still be in flight do not count as missed.
        let up_to_date: Vec<bool> =
            context.peers.names().iter().map(|name| context.peers.is_up_to_date(name, position)).collect();
        let all_up_to_date = up_to_date.iter().all(|up_to_date| *up_to_date);
        let all_jobs = if all_up_to_date { Vec::new() } else { self.job_counts(self.job_states.keys()) };
        let placement_outcomes = std::mem::take(&mut self.broadcaster.placement_outcomes);
        placement_outcomes.iter().for_each(|outcome| context.success_counts.record(outcome));
        let save_counts = self.loaded() && self.broadcaster.begin_counts_save(context.now);
        if save_counts {
            let present: BTreeSet<MachineId> = self.machines.ids().cloned().collect();
            context.success_counts.retain(|id| present.contains(id));
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

    /// Task counts of each of the jobs, for a broadcast.
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
