//! Loading of the stored state after a failover: the leader reads all records of earlier leaders before it
//! makes any decision.

use super::{Delayed, Leader, StepContext, take_due};
use crate::assignments::{self, MachineRecord};
use crate::jobs;
use crate::node::outbox::{LeaderRequest, Pending};
use crate::types::{Duration, JobId, MachineId, MonotonicTime, Resources};
use crate::wire::state::{Pair, StoreReply, StoreRequest};
use crate::workers::{Machine, MachineStatus};
use pearford_heartbeat::FullHeartbeat;
use pearford_recovery::FailoverPhase;

/// Records per page. Pages are read one after another, so more pages make a failover longer: at four times
/// the machines, reading 26 pages from a slow key-value store took nine seconds.
const PAGE_SIZE: u32 = 500;
/// How long after a failed read of a page the read is restarted.
const RELOAD_DELAY: Duration = Duration::from_millis(200);

/// A kind of record that a new leader reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// The assignments of each machine.
    Machines,
    /// The finished tasks of each job.
    Progress,
}

impl RecordKind {
    fn prefix(self) -> &'static str {
        match self {
            Self::Machines => assignments::PREFIX,
            Self::Progress => jobs::PROGRESS_PREFIX,
        }
    }

    fn request(self) -> LeaderRequest {
        match self {
            Self::Machines => LeaderRequest::LoadMachines,
            Self::Progress => LeaderRequest::LoadProgress,
        }
    }
}

/// Progress of loading the records, and the data that is processed once all are loaded.
#[derive(Debug)]
pub(super) struct RecordLoading {
    machines_loaded: bool,
    progress_loaded: bool,
    /// Progress records read so far.
    progress: Vec<Pair>,
    /// Kinds of records to read again after a failed read.
    delayed: Vec<Delayed<RecordKind>>,
    /// Heartbeats that this node received before it became leader.
    early_heartbeats: Vec<FullHeartbeat>,
}

impl RecordLoading {
    /// Creates a state in which nothing is loaded.
    pub fn new(early_heartbeats: Vec<FullHeartbeat>) -> Self {
        Self {
            machines_loaded: false,
            progress_loaded: false,
            progress: Vec::new(),
            delayed: Vec::new(),
            early_heartbeats,
        }
    }

    /// Takes the progress records that were read.
    pub fn take_progress(&mut self) -> Vec<Pair> {
        std::mem::take(&mut self.progress)
    }

    /// Takes the heartbeats that this node received before it became leader.
    pub fn take_early_heartbeats(&mut self) -> Vec<FullHeartbeat> {
        std::mem::take(&mut self.early_heartbeats)
    }

    fn is_complete(&self) -> bool {
        self.machines_loaded && self.progress_loaded
    }

    fn finish(&mut self, kind: RecordKind) {
        match kind {
            RecordKind::Machines => self.machines_loaded = true,
            RecordKind::Progress => self.progress_loaded = true,
        }
    }
}

impl Leader {
    /// Starts reading the records that earlier leaders stored.
    pub(in crate::node) fn load(&mut self, context: &mut StepContext) {
        self.load_page(context, RecordKind::Machines, None);
        self.load_page(context, RecordKind::Progress, None);
    }

    fn load_page(&self, context: &mut StepContext, kind: RecordKind, after: Option<String>) {
        let request = StoreRequest::Range { prefix: kind.prefix(), after, limit: PAGE_SIZE };
        context.outbox.request_store(request, Pending::Leader(self.fencing_token, kind.request()));
    }

    /// Processes a page of records, or schedules a retry if the read failed.
    pub(super) fn page_loaded(&mut self, context: &mut StepContext, kind: RecordKind, reply: StoreReply) {
        let StoreReply::Pairs { pairs, more, .. } = reply else {
            let due_at = context.now + RELOAD_DELAY;
            self.record_loading.delayed.push(Delayed { due_at, item: kind });
            return;
        };
        for pair in &pairs {
            self.commits.set_stored_revision(&pair.key, pair.revision);
            match kind {
                RecordKind::Progress => self.record_loading.progress.push(pair.clone()),
                RecordKind::Machines => self.machine_record_loaded(pair, context.now),
            }
        }
        match pairs.last() {
            Some(last) if more => self.load_page(context, kind, Some(last.key.clone())),
            _ => self.record_loading.finish(kind),
        }
    }

    fn machine_record_loaded(&mut self, pair: &Pair, now: MonotonicTime) {
        let Some(id) = pair.key.strip_prefix(assignments::PREFIX) else { return };
        match serde_json::from_str::<MachineRecord>(&pair.value) {
            Ok(record) if record.has_valid_amounts() => self.add_recorded_machine(id.into(), record, now),
            Ok(_) => self.return_unreadable(&pair.key, id.into(), "contains impossible values", now),
            Err(error) => self.return_unreadable(&pair.key, id.into(), &error.to_string(), now),
        }
    }

    /// Returns a machine whose record can't be read. Its tasks are unknown and could be started a second time
    /// on other machines, so no task starts anywhere until the cloud has confirmed the return.
    fn return_unreadable(&mut self, key: &str, id: MachineId, reason: &str, now: MonotonicTime) {
        tracing::error!(
            key,
            reason,
            "machine record can't be read; returning the machine. No task starts until the cloud confirms \
             its return"
        );
        let mut machine = Machine::new(id.clone(), "".into(), "".into(), false, Resources::default(), now);
        machine.status = MachineStatus::Releasing;
        self.machines.insert(machine);
        self.machines.mark_unreadable(id);
    }

    /// Retries failed reads that are due.
    pub(super) fn retry_loading(&mut self, context: &mut StepContext) {
        for kind in take_due(&mut self.record_loading.delayed, context.now) {
            // Restarts from the first page: processing a page twice has no further effect.
            self.load_page(context, kind, None);
        }
    }

    /// Whether building the job states must wait for a newer read of the job records, because the newest one,
    /// which began at `fresh_at`, began before this leadership.
    pub(in crate::node) fn needs_job_records(&self, fresh_at: MonotonicTime) -> bool {
        !self.loaded() && fresh_at < self.since
    }

    /// Whether all records are read and processed.
    pub(super) fn loaded(&self) -> bool {
        self.heartbeat_collection.phase() > FailoverPhase::ReadingRecords
    }

    /// Builds the job states once all records are read: machines, progress, and job records from a read that
    /// began under this leadership. An older read can miss a job that was accepted later: the job's running
    /// tasks would be treated as unknown, and placed a second time once the job is read.
    pub(super) fn finish_loading(&mut self, context: &mut StepContext) {
        if self.loaded() || !self.record_loading.is_complete() || self.needs_job_records(context.jobs_read_at)
        {
            return;
        }
        self.heartbeat_collection.records_read(context.now);
        self.build_job_states(context.job_cache, context.now);
        tracing::info!(
            machines = self.machines.len(),
            jobs = self.job_states.len(),
            "all stored records loaded"
        );
        self.process_early_heartbeats(context);
    }

    /// Updates the failover phase from the number of machines that have sent a heartbeat to this leader.
    pub(super) fn update_failover_phase(&mut self, now: MonotonicTime) {
        if self.heartbeat_collection.phase() == FailoverPhase::Steady {
            return;
        }
        let mut reporting = 0;
        let mut total = 0;
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            reporting += usize::from(machine.has_reported());
            total += 1;
        }
        if let Some(phase) = self.heartbeat_collection.update(reporting, total, now) {
            let after_ms = now.since(self.since).0;
            tracing::info!(fencing_token = %self.fencing_token, after_ms, ?phase, heard = reporting, of = total,
                "failover milestone reached");
            self.capacity_version += 1;
        }
    }

    /// Processes changes of job records, made by this node or another one.
    pub(in crate::node) fn jobs_changed(&mut self, context: &StepContext, ids: Vec<JobId>) {
        if !self.loaded() {
            return; // `build_job_states` will read the job cache
        }
        for id in ids {
            self.job_changed(context.job_cache, &id, context.now);
        }
    }
}
