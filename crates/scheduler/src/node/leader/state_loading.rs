//! Taking over: reading all records before anything is judged or done.

use super::*;

/// With a slow state service twenty-six pages one after the other took nine seconds after every change of leader (four
/// times the andina fleet).
const PAGE: u32 = 500;

impl Leader {
    /// Begins to read what the leaders before left.
    pub(in crate::node) fn load(&mut self, context: &mut StepContext) {
        self.load_page(context, assignments::PREFIX, None, LeaderRequest::LoadMachines);
        self.load_page(context, jobs::PROGRESS_PREFIX, None, LeaderRequest::LoadProgress);
    }

    fn load_page(
        &self,
        context: &mut StepContext,
        prefix: &'static str,
        after: Option<String>,
        request_id: LeaderRequest,
    ) {
        let request = StoreRequest::Range { prefix, after, most: PAGE };
        context.out.request_store(request, Pending::Leader(self.fencing_token, request_id));
    }

    pub(super) fn loaded_page(
        &mut self,
        context: &mut StepContext,
        request_id: LeaderRequest,
        reply: StoreReply,
    ) {
        let machines = matches!(request_id, LeaderRequest::LoadMachines);
        let prefix = if machines { assignments::PREFIX } else { jobs::PROGRESS_PREFIX };
        let StoreReply::Pairs { pairs, more, .. } = reply else {
            self.reload.push((context.now + Duration::from_millis(200), request_id));
            return;
        };
        for pair in &pairs {
            self.commit_pipeline.loaded(&pair.key, pair.revision);
            if !machines {
                self.progress.push(pair.clone());
                continue;
            }
            let Some(id) = pair.key.strip_prefix(assignments::PREFIX) else { continue };
            match serde_json::from_str::<MachineRecord>(&pair.value) {
                Ok(record) if record.is_possible() => self.inherit(id.into(), record, context.now),
                Ok(_) => self.return_unreadable(
                    &pair.key,
                    id.into(),
                    "says what nobody can have stored",
                    context.now,
                ),
                Err(error) => self.return_unreadable(&pair.key, id.into(), &error.to_string(), context.now),
            }
        }
        match pairs.last() {
            Some(last) if more => self.load_page(context, prefix, Some(last.key.clone()), request_id),
            _ if machines => self.machines_loaded = true,
            _ => self.progress_loaded = true,
        }
    }

    /// What is on a machine whose record can't be read is not known, and might be started elsewhere too: it is
    /// returned, and nothing starts anywhere until the cloud has confirmed that.
    fn return_unreadable(&mut self, key: &str, id: MachineId, reason: &str, now: MonotonicTime) {
        tracing::error!(
            key,
            reason,
            "machine record can't be read; returning the machine before anything starts"
        );
        let mut m = Machine::new(id.clone(), "".into(), "".into(), false, Resources::default(), now);
        m.status = MachineStatus::Releasing;
        self.machines.insert(id.clone(), m);
        self.unreadable_machines.insert(id);
    }

    /// Reads again what could not be read.
    pub(super) fn reload_due(&mut self, context: &mut StepContext) {
        for request_id in due(&mut self.reload, context.now) {
            // From the top: taking in a page twice changes nothing.
            let machines = matches!(request_id, LeaderRequest::LoadMachines);
            let prefix = if machines { assignments::PREFIX } else { jobs::PROGRESS_PREFIX };
            self.load_page(context, prefix, None, request_id);
        }
    }

    /// Builds the runs once all records are read: machines, progress, and job records by a read
    /// that began under this leadership. With an older copy of the jobs, tasks of one accepted
    /// meanwhile would be taken for strays, and placed a second time when it shows up.
    pub(super) fn records_loaded(&mut self, context: &mut StepContext) {
        if self.loaded()
            || !self.machines_loaded
            || !self.progress_loaded
            || self.wants_jobs(context.fresh_at)
        {
            return;
        }
        self.heartbeat_collection.records_read(context.now);
        self.build_job_states(context.job_cache, context.now);
        tracing::info!(machines = self.machines.len(), jobs = self.job_states.len(), "records read");
        self.take_early(context);
    }

    /// How far the reports are in.
    pub(super) fn gather(&mut self, now: MonotonicTime) {
        if self.heartbeat_collection.phase() == FailoverPhase::Steady {
            return;
        }
        let up = self.machines.values().filter(|m| m.status == MachineStatus::Up);
        let (heard, all) =
            up.fold((0, 0), |(heard, all), m| (heard + usize::from(m.has_been_heard()), all + 1));
        if let Some(phase) = self.heartbeat_collection.heard(heard, all, now) {
            let after_ms = now.since(self.since).0;
            tracing::info!(fencing_token = %self.fencing_token, after_ms, ?phase, heard, of = all, "take-over");
            self.capacity_version += 1;
        }
    }

    /// Job records changed, here or at another node.
    pub(in crate::node) fn jobs_changed(&mut self, context: &StepContext, ids: Vec<JobId>) {
        if !self.loaded() {
            return; // `build_job_states` reads the mirror
        }
        for id in ids {
            self.job_changed(context.job_cache, &id, context.now);
        }
    }
}
