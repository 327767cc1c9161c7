//! Replies of the key-value store, handed to whoever sent the request; and the reads that keep this node's
//! copies of records up to date.

use super::Controller;
use crate::election::ElectionChange;
use crate::node::outbox::{Pending, Read, WatchedPrefix};
use crate::node::prefix_watcher::ReadOutcome;
use crate::placement::COUNTS_PREFIX;
use crate::types::{Duration, RequestId};
use crate::wire::state::{StoreReply, StoreRequest};

/// Success counts read in one page, in keys.
const SUCCESS_COUNTS_PAGE: u32 = 500;
/// A node without a reply of the key-value store for so long counts as cut off from it.
const STORE_SILENCE: Duration = Duration::from_millis(2500);

impl Controller {
    pub(super) fn store_reply(&mut self, request_id: RequestId, reply: StoreReply) {
        let answered = !matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        if answered && !self.out.is_extension_read(request_id) {
            self.store_answered_at = self.now;
        }
        if self.election.owns(request_id) {
            self.election_reply(reply);
            return;
        }
        let Some(pending) = self.out.answered(request_id) else { return };
        match pending {
            Pending::Follow(WatchedPrefix::Jobs, read) => self.job_records_reply(read, reply),
            Pending::Follow(WatchedPrefix::Extension(slot), read) => {
                self.extension_records_reply(slot, read, reply);
            }
            Pending::Create { waiting, job } => self.created(waiting, job, reply),
            Pending::Cancel { waiting } => self.cancelled(waiting, reply),
            Pending::SuccessCounts => self.success_counts_reply(reply),
            Pending::ClusterVersion => self.cluster_version.reply(self.now, reply),
            // Nothing to do: the report is written again soon, whatever became of this one.
            Pending::IsolationReport => {}
            Pending::ExtensionCommit { slot, tag, changes } => {
                self.extension_committed(slot, tag, changes, reply);
            }
            Pending::ExtensionMachines { slot, tag } => self.extension_machines_reply(slot, tag, reply),
            Pending::Leader(fencing_token, leader_request) => {
                let leadership_end = self
                    .leading()
                    // A request of an earlier leadership of this node is void.
                    .filter(|(leader, _)| leader.fencing_token() == fencing_token)
                    .and_then(|(leader, mut context)| {
                        leader.store_reply(&mut context, leader_request, reply)
                    });
                self.end_leadership(leadership_end);
            }
        }
    }

    fn election_reply(&mut self, reply: StoreReply) {
        let step = self.election.reply(self.now, reply);
        if let Some(request) = step.next_request {
            self.send_election_request(request);
        }
        match step.change {
            ElectionChange::Won(fencing_token) => self.become_leader(fencing_token),
            ElectionChange::Lost => self.step_down("the leadership lease has expired"),
            ElectionChange::Unchanged => {}
        }
    }

    fn job_records_reply(&mut self, read: Read, reply: StoreReply) {
        let outcome =
            self.job_watcher.reply(self.now, read, reply, &mut self.job_cache, &mut self.rng, &mut self.out);
        let Some(outcome) = outcome else { return };
        if outcome == ReadOutcome::Succeeded {
            self.lease_renewal.records_read(self.job_watcher.fresh_at(), self.now);
        }
        self.job_records_read(outcome);
    }

    /// Starts a read of the job records if one is needed and none is under way.
    pub(super) fn pump_job_watcher(&mut self) {
        let fresh_at = self.job_watcher.fresh_at();
        let leader_loading = self.leader.as_ref().is_some_and(|leader| leader.needs_job_records(fresh_at));
        let wanted = self.pending_requests.needs_read() || leader_loading || self.extensions_want_read();
        if self.job_watcher.pump(self.now, self.job_cache.store_revision(), wanted, &mut self.out) {
            self.pending_requests.begin_read();
        }
    }

    /// Whether this node has read the job records and the key-value store has answered lately.
    pub(super) fn store_reachable(&self) -> bool {
        self.job_cache.store_revision().is_some() && self.now.since(self.store_answered_at) < STORE_SILENCE
    }

    /// Reads the stored success counts, once.
    pub(super) fn load_success_counts(&mut self) {
        if self.success_counts_loaded
            || self.out.has_pending(|pending| matches!(pending, Pending::SuccessCounts))
        {
            return;
        }
        let request = StoreRequest::Range { prefix: COUNTS_PREFIX, after: None, most: SUCCESS_COUNTS_PAGE };
        self.out.request_store(request, Pending::SuccessCounts);
    }

    fn success_counts_reply(&mut self, reply: StoreReply) {
        let StoreReply::Pairs { pairs, .. } = reply else { return };
        self.success_counts_loaded = true;
        for pair in pairs {
            if let Err(error) = self.success_counts.add_part(&pair.value) {
                tracing::error!(key = pair.key, %error, "success counts can't be read; skipped");
            }
        }
    }
}
