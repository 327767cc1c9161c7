//! The beat: once a second the controllers hear how jobs stand and what was learned of machines;
//! every few of them the counts are saved.

use super::*;

const BEAT_EVERY: Duration = Duration::from_millis(1000);
/// Counts are hints: their values and transactions stay well below the limits.
const COUNTS_BYTES: usize = 14_000;
const COUNTS_CHANGES: usize = 4;

impl Master {
    pub(super) fn beat(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        // A leader that only holds on must not keep the others from taking over: they may reach the
        // state service that it has lost.
        if !ctx.valid || now < self.next_beat {
            return;
        }
        self.next_beat = now + BEAT_EVERY;
        self.beats += 1;
        let touched = std::mem::take(&mut self.touched);
        let standings = |ids: &mut dyn Iterator<Item = &JobId>| -> Vec<(JobId, u32, u32)> {
            ids.filter_map(|id| self.standing_of(id).map(|(d, r)| (id.clone(), d, r))).collect()
        };
        let jobs = standings(&mut touched.iter());
        let (fencing_token, beat) = (self.fencing_token, self.beats);
        // A controller that has missed a beat gets everything instead; an answer may be under way.
        let in_step: Vec<bool> =
            ctx.peers.names().iter().map(|name| ctx.peers.in_step(name, fencing_token, beat)).collect();
        let all = match in_step.iter().all(|in_step| *in_step) {
            true => Vec::new(),
            false => standings(&mut self.runs.keys()),
        };
        let learned = std::mem::take(&mut self.learned);
        learned.iter().for_each(|l| ctx.counts.learn(l));
        let save = now >= self.next_counts && self.loaded();
        if save {
            self.next_counts = now + Duration::from_secs_f64(self.settings.operator.counts_save_s);
            let present: BTreeSet<MachineId> = self.machines.keys().cloned().collect();
            ctx.counts.keep(|id| present.contains(id));
        }
        for (peer, in_step) in ctx.peers.names().iter().zip(in_step) {
            let message = if in_step {
                PeerMessage::StatusBroadcast {
                    fencing_token,
                    beat,
                    jobs: jobs.clone(),
                    learned: learned.clone(),
                }
            } else {
                PeerMessage::StatusSnapshot {
                    fencing_token,
                    beat,
                    jobs: all.clone(),
                    counts: ctx.counts.clone(),
                }
            };
            ctx.out.tell(peer, message);
        }
        if save {
            self.save_counts(ctx);
        }
    }

    fn save_counts(&mut self, ctx: &mut Ctx) {
        let limits = &self.settings.state;
        let (max_bytes, most) = (limits.value_bytes.min(COUNTS_BYTES), limits.txn_ops.min(COUNTS_CHANGES));
        let parts = ctx.counts.take_changed(placement::PARTS_AT_ONCE, max_bytes);
        for parts in parts.chunks(most) {
            self.writes.take(parts.len() as f64, ctx.now);
            let put = |(part, value): &(u32, String)| Change::Put {
                key: format!("{}{part}", placement::COUNTS_PREFIX),
                value: value.clone(),
                lease: None,
            };
            let request = StateRequest::Commit {
                conditions: vec![(election::LEADER_KEY.into(), Revision(self.fencing_token.0))],
                changes: parts.iter().map(put).collect(),
            };
            ctx.out.ask_state(request, Pending::Leader(self.fencing_token, LeaderRequest::SaveCounts));
        }
    }
}
