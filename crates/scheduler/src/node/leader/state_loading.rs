//! Failover: reads all records that earlier leaders stored before anything is decided.

use super::{Delayed, Leader, StepContext, take_due};
use crate::assignments::{self, MachineRecord};
use crate::jobs;
use crate::node::outbox::{LeaderRequest, Pending};
use crate::types::{Duration, JobId, MachineId, MonotonicTime, Resources};
use crate::wire::state::{Pair, StoreReply, StoreRequest};
use crate::workers::{Machine, MachineStatus};
use pearford_heartbeat::FullHeartbeat;
use pearford_recovery::FailoverPhase;

/// Records in a page. With a slow key-value store twenty-six pages, read one after the other, took
/// nine seconds after every change of leader (four times the andina fleet).
const PAGE: u32 = 500;
/// How long after a failed read it begins anew.
const RELOAD_PAUSE: Duration = Duration::from_millis(200);

/// The records that a new leader reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// What is on each machine.
    Machines,
    /// Which tasks of each job are done.
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

/// How far reading the records is, and what waits until they are complete.
#[derive(Debug)]
pub(super) struct RecordLoading {
    machines_loaded: bool,
    progress_loaded: bool,
    /// Progress records read so far.
    progress: Vec<Pair>,
    delayed: Vec<Delayed<RecordKind>>,
    /// Heartbeats that this node heard before it led.
    early_heartbeats: Vec<FullHeartbeat>,
}

impl RecordLoading {
    /// Nothing is read yet.
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

    /// Takes the heartbeats that this node heard before it led.
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
    /// Begins to read what earlier leaders stored.
    pub(in crate::node) fn load(&mut self, context: &mut StepContext) {
        self.load_page(context, RecordKind::Machines, None);
        self.load_page(context, RecordKind::Progress, None);
    }

    fn load_page(&self, context: &mut StepContext, kind: RecordKind, after: Option<String>) {
        let request = StoreRequest::Range { prefix: kind.prefix(), after, most: PAGE };
        context.outbox.request_store(request, Pending::Leader(self.fencing_token, kind.request()));
    }

    /// A page of records was read, or the read failed.
    pub(super) fn page_loaded(&mut self, context: &mut StepContext, kind: RecordKind, reply: StoreReply) {
        let StoreReply::Pairs { pairs, more, .. } = reply else {
            let due_at = context.now + RELOAD_PAUSE;
            self.record_loading.delayed.push(Delayed { due_at, item: kind });
            return;
        };
        for pair in &pairs {
            self.commits.loaded(&pair.key, pair.revision);
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
            Ok(record) if record.is_possible() => self.inherit(id.into(), record, now),
            Ok(_) => self.return_unreadable(&pair.key, id.into(), "says what nobody can have stored", now),
            Err(error) => self.return_unreadable(&pair.key, id.into(), &error.to_string(), now),
        }
    }

    /// What is on a machine whose record can't be read is not known, and might be started elsewhere
    /// too: the machine is returned, and nothing starts anywhere until the cloud has confirmed that.
    fn return_unreadable(&mut self, key: &str, id: MachineId, reason: &str, now: MonotonicTime) {
        tracing::error!(
            key,
            reason,
            "machine record can't be read; returning the machine before anything starts"
        );
        let mut machine = Machine::new(id.clone(), "".into(), "".into(), false, Resources::default(), now);
        machine.status = MachineStatus::Releasing;
        self.machines.insert(machine);
        self.machines.mark_unreadable(id);
    }

    /// Reads again what could not be read.
    pub(super) fn retry_loading(&mut self, context: &mut StepContext) {
        for kind in take_due(&mut self.record_loading.delayed, context.now) {
            // From the first page: taking in a page twice changes nothing.
            self.load_page(context, kind, None);
        }
    }

    /// Whether a copy of the job records as of `fresh_at` is too old to build the job states from.
    pub(in crate::node) fn needs_job_records(&self, fresh_at: MonotonicTime) -> bool {
        !self.loaded() && fresh_at < self.since
    }

    /// Whether all records are read and taken in.
    pub(super) fn loaded(&self) -> bool {
        self.heartbeat_collection.phase() > FailoverPhase::ReadingRecords
    }

    /// Builds the job states once all records are read: machines, progress, and job records by a
    /// read that began under this leadership. With an older copy of the jobs, tasks of one accepted
    /// meanwhile would be taken for unknown ones, and placed a second time when it shows up.
    pub(super) fn finish_loading(&mut self, context: &mut StepContext) {
        if self.loaded() || !self.record_loading.is_complete() || self.needs_job_records(context.jobs_read_at)
        {
            return;
        }
        self.heartbeat_collection.records_read(context.now);
        self.build_job_states(context.job_cache, context.now);
        tracing::info!(machines = self.machines.len(), jobs = self.job_states.len(), "records read");
        self.process_early_heartbeats(context);
    }

    /// Notes how many machines have sent heartbeats since this leadership began.
    pub(super) fn update_failover_phase(&mut self, now: MonotonicTime) {
        if self.heartbeat_collection.phase() == FailoverPhase::Steady {
            return;
        }
        let mut heard = 0;
        let mut all = 0;
        for machine in self.machines.iter().filter(|machine| machine.status == MachineStatus::Up) {
            heard += usize::from(machine.has_reported());
            all += 1;
        }
        if let Some(phase) = self.heartbeat_collection.update(heard, all, now) {
            let after_ms = now.since(self.since).0;
            tracing::info!(fencing_token = %self.fencing_token, after_ms, ?phase, heard, of = all, "failover");
            self.capacity_version += 1;
        }
    }

    /// Job records have changed, here or at another node.
    pub(in crate::node) fn jobs_changed(&mut self, context: &StepContext, ids: Vec<JobId>) {
        if !self.loaded() {
            return; // `build_job_states` reads the job cache
        }
        for id in ids {
            self.job_changed(context.job_cache, &id, context.now);
        }
    }
}
