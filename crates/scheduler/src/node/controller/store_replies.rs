//! Passes replies of the key-value store to the sender of each request, and runs the reads that keep this
//! node's copies of records up to date.

use super::Controller;
use crate::election::ElectionChange;
use crate::node::outbox::{Pending, Read, WatchedPrefix};
use crate::node::prefix_watcher::ReadOutcome;
use crate::placement::COUNTS_PREFIX;
use crate::types::{Duration, RequestId};
use crate::wire::state::{StoreReply, StoreRequest};

/// Number of keys in the page of success counts that is read.
const SUCCESS_COUNTS_PAGE: u32 = 500;
/// The key-value store counts as unreachable for a node after this time without a reply.
const STORE_REPLY_TIMEOUT: Duration = Duration::from_millis(2500);

impl Controller {
    pub(super) fn store_reply(&mut self, request_id: RequestId, reply: StoreReply) {
        let answered = !matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        if answered && !self.outbox.is_extension_read(request_id) {
            self.store_answered_at = self.now;
        }
        if self.election.owns(request_id) {
            self.election_reply(reply);
            return;
        }
        let Some(pending) = self.outbox.take_pending(request_id) else { return };
        match pending {
            Pending::PrefixRead(WatchedPrefix::Jobs, read) => self.job_records_reply(read, reply),
            Pending::PrefixRead(WatchedPrefix::Extension(slot), read) => {
                self.extension_records_reply(slot, read, reply);
            }
            Pending::Create { waiting, job } => self.create_reply(waiting, job, reply),
            Pending::Cancel { waiting } => self.cancel_reply(waiting, reply),
            Pending::SuccessCounts => self.success_counts_reply(reply),
            Pending::ClusterVersion => self.cluster_version.reply(self.now, reply),
            // Nothing to do: the report is rewritten periodically, so a failed write needs no retry.
            Pending::IsolationReport => {}
            Pending::ExtensionCommit { slot, tag, changes } => {
                self.extension_commit_reply(slot, tag, changes, reply);
            }
            Pending::ExtensionMachines { slot, tag } => self.extension_machines_reply(slot, tag, reply),
            Pending::Leader(fencing_token, leader_request) => {
                let leadership_end = self
                    .leader_and_context()
                    // Ignores the reply to a request of an earlier leadership of this node.
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
        let outcome = self.job_watcher.reply(
            self.now,
            read,
            reply,
            &mut self.job_cache,
            &mut self.rng,
            &mut self.outbox,
        );
        let Some(outcome) = outcome else { return };
        if outcome == ReadOutcome::Succeeded {
            self.lease_renewal.records_read(self.job_watcher.fresh_at(), self.now);
        }
        self.finish_job_record_read(outcome);
    }

    /// Sends the reads of the job records that are due.
    pub(super) fn send_job_record_reads(&mut self) {
        let fresh_at = self.job_watcher.fresh_at();
        let leader_loading = self.leader.as_ref().is_some_and(|leader| leader.needs_job_records(fresh_at));
        let wanted = self.pending_requests.needs_read() || leader_loading || self.extensions_want_read();
        if self.job_watcher.send_due_reads(
            self.now,
            self.job_cache.store_revision(),
            wanted,
            &mut self.outbox,
        ) {
            self.pending_requests.begin_read();
        }
    }

    /// Whether this node has read the job records and the key-value store has replied recently.
    pub(super) fn store_reachable(&self) -> bool {
        self.job_cache.store_revision().is_some()
            && self.now.since(self.store_answered_at) < STORE_REPLY_TIMEOUT
    }

    /// Reads the stored success counts, once.
    pub(super) fn load_success_counts(&mut self) {
        if self.success_counts_loaded
            || self.outbox.has_pending(|pending| matches!(pending, Pending::SuccessCounts))
        {
            return;
        }
        let request = StoreRequest::Range { prefix: COUNTS_PREFIX, after: None, limit: SUCCESS_COUNTS_PAGE };
        self.outbox.request_store(request, Pending::SuccessCounts);
    }

    fn success_counts_reply(&mut self, reply: StoreReply) {
        let StoreReply::Pairs { pairs, .. } = reply else { return };
        self.success_counts_loaded = true;
        for pair in pairs {
            if let Err(error) = self.success_counts.add_part(&pair.value) {
                tracing::error!(key = pair.key, %error, "success counts can't be read; skipping them");
            }
        }
    }
}
