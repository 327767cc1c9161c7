//! The beat: once a second the controllers hear how jobs stand and what was learned of machines;
//! every few of them the counts are saved.

use super::*;

const BROADCAST_INTERVAL: Duration = Duration::from_millis(1000);
/// Counts are hints: their values and transactions stay well below the limits.
const COUNTS_BYTES: usize = 14_000;
const COUNTS_CHANGES: usize = 4;

impl Leader {
    pub(super) fn broadcast(&mut self, context: &mut StepContext) {
        let now = context.now;
        // A leader that only holds on must not keep the others from taking over: they may reach the
        // state service that it has lost.
        if !context.valid || now < self.next_broadcast {
            return;
        }
        self.next_broadcast = now + BROADCAST_INTERVAL;
        self.broadcasts_sent += 1;
        let changed_jobs = std::mem::take(&mut self.changed_jobs);
        let job_counts = |ids: &mut dyn Iterator<Item = &JobId>| -> Vec<(JobId, u32, u32)> {
            ids.filter_map(|id| self.counts_of_job(id).map(|(d, r)| (id.clone(), d, r))).collect()
        };
        let jobs = job_counts(&mut changed_jobs.iter());
        let (fencing_token, broadcast) = (self.fencing_token, self.broadcasts_sent);
        // A controller that has missed a beat gets everything instead; an answer may be under way.
        let in_step: Vec<bool> = context
            .peers
            .names()
            .iter()
            .map(|name| context.peers.in_step(name, fencing_token, broadcast))
            .collect();
        let all = match in_step.iter().all(|in_step| *in_step) {
            true => Vec::new(),
            false => job_counts(&mut self.job_states.keys()),
        };
        let placement_outcomes = std::mem::take(&mut self.placement_outcomes);
        placement_outcomes.iter().for_each(|l| context.success_counts.learn(l));
        let save = now >= self.next_counts && self.loaded();
        if save {
            self.next_counts = now + Duration::from_secs_f64(self.settings.operator.counts_save_s);
            let present: BTreeSet<MachineId> = self.machines.keys().cloned().collect();
            context.success_counts.keep(|id| present.contains(id));
        }
        for (peer, in_step) in context.peers.names().iter().zip(in_step) {
            let message = if in_step {
                PeerMessage::StatusBroadcast {
                    fencing_token,
                    broadcast,
                    jobs: jobs.clone(),
                    placement_outcomes: placement_outcomes.clone(),
                }
            } else {
                PeerMessage::StatusSnapshot {
                    fencing_token,
                    broadcast,
                    jobs: all.clone(),
                    success_counts: context.success_counts.clone(),
                }
            };
            context.out.tell(peer, message);
        }
        if save {
            self.save_counts(context);
        }
    }

    fn save_counts(&mut self, context: &mut StepContext) {
        let limits = &self.settings.state;
        let (max_bytes, most) = (limits.value_bytes.min(COUNTS_BYTES), limits.txn_ops.min(COUNTS_CHANGES));
        let parts = context.success_counts.take_changed(placement::PARTS_AT_ONCE, max_bytes);
        for parts in parts.chunks(most) {
            self.writes.take(parts.len() as f64, context.now);
            let put = |(part, value): &(u32, String)| Change::Put {
                key: format!("{}{part}", placement::COUNTS_PREFIX),
                value: value.clone(),
                lease: None,
            };
            let request = StoreRequest::Commit {
                conditions: vec![(election::LEADER_KEY.into(), Revision(self.fencing_token.0))],
                changes: parts.iter().map(put).collect(),
            };
            context
                .out
                .request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::SaveCounts));
        }
    }
}
