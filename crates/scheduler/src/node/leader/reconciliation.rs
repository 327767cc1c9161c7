//! Taking over, reports and their outcomes: what the ledger and the runs learn.

use super::*;
use crate::jobs::{PROGRESS_PREFIX, Stage};
use pearford_recovery::{Adoption, RecordedState, TaskExit, adopt};

/// How long nothing is placed on a machine whose record the state service refuses.
const UNWRITABLE_PAUSE: Duration = Duration::from_millis(30_000);

impl Leader {
    // ---- take-over ----

    /// Takes a machine over from an earlier leader's record.
    pub(super) fn inherit(&mut self, id: MachineId, record: MachineRecord, now: MonotonicTime) {
        let total =
            self.instance_offers.type_of(&record.type_name).map(MachineType::resources).unwrap_or_default();
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            Machine::new(id.clone(), record.type_name.clone(), record.zone.clone(), record.spot, total, now)
        });
        if m.addr.is_none() {
            m.addr = record.addr;
        }
        if m.addr.is_some() && m.last_heartbeat.is_none() {
            // It has reported before: a silence from now on means something.
            m.status = MachineStatus::Up;
            m.last_heartbeat = Some(now);
            m.last_known_epoch = record.worker_epoch;
            self.to_push.insert(id);
        }
        if m.images.is_empty() {
            m.images = record.images;
        }
        for RecordedAssignment { task, attempt, team, resources } in record.assignments {
            let assignment =
                Assignment::new(&task, attempt, team, resources, AssignmentState::Inherited, now);
            m.assignments.entry(task).or_insert(assignment);
        }
        m.recount(&mut self.used, now);
    }

    /// All records are read: builds the runs, and stops what must not go on.
    pub(super) fn build_job_states(&mut self, job_cache: &jobs::JobCache, now: MonotonicTime) {
        for (id, _) in job_cache.iter().filter(|(_, known)| known.record.is_open()) {
            self.job_changed(job_cache, id, now);
        }
        for pair in std::mem::take(&mut self.progress) {
            let Some((id, chunk)) = pair.key.strip_prefix(PROGRESS_PREFIX).and_then(|k| k.rsplit_once('/'))
            else {
                continue;
            };
            match (self.job_states.get_mut(&JobId::from(id)), chunk.parse()) {
                (Some(job_state), Ok(chunk)) => {
                    if let Err(error) = job_state.add_chunk(chunk, &pair.value) {
                        tracing::error!(key = pair.key, %error, "progress can't be read");
                    }
                }
                _ if job_cache.is_unreadable(&id.into()) => {
                    self.unreadable_jobs.entry(id.into()).or_default().push(pair)
                }
                _ => {
                    self.commit_pipeline.put(&pair.key, None, CommitPriority::Normal);
                }
            }
        }
        let tasks = self.machines.values().flat_map(|m| m.assignments.keys());
        let unreadable_jobs = tasks.map(|task| &task.job).filter(|job| job_cache.is_unreadable(job));
        for job in unreadable_jobs.cloned().collect::<BTreeSet<_>>() {
            self.unreadable_jobs.entry(job).or_default();
        }
        self.adopt_assignments(None, now);
        // All tasks may be recorded as done without the job being so.
        let over: Vec<JobId> =
            self.job_states.iter().filter(|(_, r)| r.all_done()).map(|(id, _)| id.clone()).collect();
        for id in over {
            self.finish(&id);
        }
    }

    /// A job's record can be read again, or is over: what it has on machines and its progress become its run's.
    fn take_in_unread(&mut self, id: &JobId, now: MonotonicTime) {
        let Some(chunks) = self.unreadable_jobs.remove(id) else { return };
        for pair in chunks {
            let chunk = pair.key.rsplit_once('/').and_then(|(_, chunk)| chunk.parse().ok());
            match (self.job_states.get_mut(id), chunk) {
                (Some(job_state), Some(chunk)) => {
                    if let Err(error) = job_state.add_chunk(chunk, &pair.value) {
                        tracing::error!(key = pair.key, %error, "progress can't be read");
                    }
                }
                _ => {
                    self.commit_pipeline.put(&pair.key, None, CommitPriority::Normal);
                }
            }
        }
        self.adopt_assignments(Some(id), now);
        if self.job_states.get(id).is_some_and(JobState::all_done) {
            self.finish(id);
        }
    }

    /// Squares inherited entries, of one job or of all whose record can be read, with the runs.
    fn adopt_assignments(&mut self, only: Option<&JobId>, now: MonotonicTime) {
        let ours = |job: &JobId, unreadable_jobs: &BTreeMap<JobId, Vec<Pair>>| match only {
            Some(only) => job == only,
            None => !unreadable_jobs.contains_key(job),
        };
        // A task is planned anew only once its old entry is proved gone, but the records of the two
        // machines are written apart. Where the new one was in time and the old one's removal
        // wasn't, the lower attempt is that old entry. Taken for a live one it hid the other, and
        // its proof of absence let the task start twice (tremorline grown, troubles).
        let mut newest: BTreeMap<TaskId, Attempt> = BTreeMap::new();
        for (task, assignment) in self.machines.values().flat_map(|m| &m.assignments) {
            let attempt = newest.entry(task.clone()).or_insert(assignment.attempt);
            *attempt = assignment.attempt.max(*attempt);
        }
        let assignments: Vec<(MachineId, TaskId, AssignmentState, Attempt)> = self
            .machines
            .values()
            .flat_map(|m| m.assignments.iter().map(|(t, e)| (m.id.clone(), t.clone(), e.state, e.attempt)))
            .filter(|(_, task, ..)| ours(&task.job, &self.unreadable_jobs))
            .collect();
        for (machine, task, state, attempt) in assignments {
            let superseded = newest.get(&task).is_some_and(|newest| attempt < *newest);
            let job_state = self.job_states.get_mut(&task.job);
            let task_done = job_state.as_ref().is_some_and(|job_state| job_state.done().has(task.index));
            match (adopt(job_state.is_some(), task_done, superseded), job_state) {
                (Adoption::Superseded, _) => self.take_off(&machine, &task, now),
                (Adoption::Keep, Some(job_state)) => {
                    job_state.place(task.index, machine.clone());
                    job_state.attempt = Some(attempt);
                    // It was started there, so its image is there or on its way. The record was written before the
                    // fetch: what ran in a session that is over would be fetched anew elsewhere.
                    let job = job_state.job.clone();
                    if self.machines.get(&machine).is_some_and(|m| !m.has_image(&job.spec.image)) {
                        self.has_fetched(&machine, &job.spec);
                    }
                    if state == AssignmentState::Done {
                        self.task_done(&machine, &task, now);
                    }
                }
                (Adoption::Keep | Adoption::Over, _) => self.drop_or_stop(&machine, &task, now),
            }
        }
    }

    /// What the job records say of `id` has changed. A job gets a run, without which none of its tasks
    /// can be placed, once all that it needs is durably done.
    pub(super) fn job_changed(&mut self, job_cache: &jobs::JobCache, id: &JobId, now: MonotonicTime) {
        let Some(known) = job_cache.get(id) else { return };
        if let Some(terminal_status) = job_cache.terminal_status(id) {
            // The record may be seen by the watch before its commit is answered: counted there, every second was missed.
            if let Some(job_state) = self.job_states.get(id).filter(|_| terminal_status == jobs::Phase::Done)
            {
                let spec = &job_state.job.spec;
                tracing::info!(job = %id, class = %spec.kind, team = %spec.team, "done");
                self.served.count(Stage::Done, spec);
            }
            self.job_over(id, now);
            self.take_in_unread(id, now);
            if known.record.is_open() {
                // Withdrawn with a job that it needs. Status says so already; the record follows when
                // nothing urgent waits.
                let key = jobs::key(id);
                self.commit_pipeline.loaded(&key, known.revision);
                self.commit_pipeline.put(&key, Some(Record::Cancelled.to_value()), CommitPriority::Normal);
            }
        } else if let Some(job) = known.record.open().filter(|_| job_cache.ready(id)) {
            self.commit_pipeline.loaded(&jobs::key(id), known.revision);
            let job_state = self.job_states.entry(id.clone()).or_insert_with(|| {
                self.guaranteed = None;
                JobState::new(job.clone(), now)
            });
            let priority = job_cache.priority(id);
            if job_state.priority != priority {
                job_state.priority = priority;
                job_state.tried = 0; // room may be made for it now
            }
            self.take_in_unread(id, now);
        }
    }

    /// The state service refuses a value for good. What is stored stays; starts that depended on the
    /// new value are taken back, and nothing new goes to the machine for a while.
    pub(super) fn unwritable(&mut self, key: &str, now: MonotonicTime) {
        let Some(id) = key.strip_prefix(assignments::PREFIX).map(MachineId::from) else { return };
        let Some(m) = self.machines.get_mut(&id) else { return };
        m.not_before = now + UNWRITABLE_PAUSE;
        let planned = m.assignments.iter().filter(|(_, e)| e.state == AssignmentState::Planned);
        let planned: Vec<TaskId> = planned.map(|(t, _)| t.clone()).collect();
        for task in planned {
            self.stop_task(&id, &task, 0.0, now);
        }
        self.pending_records.remove(&id);
    }

    /// A task of a job that is over, or done already: off the ledger if that is proved, else stopped.
    pub(super) fn drop_or_stop(&mut self, machine: &MachineId, task: &TaskId, now: MonotonicTime) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.assignments.get(task).is_some_and(|e| e.state == AssignmentState::Done) {
            self.take_off(machine, task, now);
        } else {
            self.stop_task(machine, task, 0.0, now);
        }
    }

    /// Takes an entry off the ledger.
    fn take_off(&mut self, machine: &MachineId, task: &TaskId, now: MonotonicTime) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.assignments.remove(task);
        self.pending_records.insert(machine.clone());
        self.recount(machine, now);
    }

    /// A task of a job got its image on the machine.
    fn has_fetched(&mut self, machine: &MachineId, spec: &JobSpec) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let cache_gb = self.instance_offers.type_of(&m.type_name).map_or(0.0, |t| t.cache_gb);
        m.remember_image(&spec.image, spec.image_gb, cache_gb);
    }

    /// The job is withdrawn or done.
    pub(super) fn job_over(&mut self, id: &JobId, now: MonotonicTime) {
        // A "done" still waiting to be written must not follow a withdrawal: with the new version
        // as its condition it would overwrite the verdict the user was told (seed 247).
        self.commit_pipeline.give_up(&jobs::key(id));
        self.stop_job(id, 0.0, now);
        let Some(job_state) = self.job_states.remove(id) else { return };
        self.guaranteed = None;
        for (index, machine) in job_state.placed() {
            self.drop_or_stop(machine, &TaskId { job: id.clone(), index: *index }, now);
        }
        for chunk in 0..job_state.job.spec.tasks.div_ceil(jobs::CHUNK) {
            let key = format!("{PROGRESS_PREFIX}{id}/{chunk}");
            self.pending_outcomes.remove(&key);
            if self.commit_pipeline.revision(&key) > Revision(0) {
                self.commit_pipeline.put(&key, None, CommitPriority::Normal);
            }
        }
        self.pending_outcomes.remove(&jobs::key(id));
        self.capacity_version += 1;
    }

    // ---- reports and outcomes ----

    pub(super) fn process_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        if !self.machines.contains_key(&heartbeat.machine) {
            // Unexpected: a rental answered late or never. It is used like any other.
            let total = self
                .instance_offers
                .type_of(&heartbeat.type_name)
                .map(MachineType::resources)
                .unwrap_or_default();
            let m = Machine::new(
                heartbeat.machine.clone(),
                heartbeat.type_name.clone(),
                heartbeat.zone.clone(),
                heartbeat.spot,
                total,
                now,
            );
            self.machines.insert(heartbeat.machine.clone(), m);
            self.pending_records.insert(heartbeat.machine.clone());
        }
        let fencing_token = self.fencing_token;
        let again = self.start_again(heartbeat);
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        let was = (m.status, m.worker_epoch, m.addr.is_some());
        let outcome = m.process_heartbeat(heartbeat, fencing_token, &again, now);
        if outcome.stale {
            return;
        }
        if (m.status, m.worker_epoch, m.addr.is_some()) != was {
            self.pending_records.insert(heartbeat.machine.clone());
            self.capacity_version += 1;
        }
        let id = heartbeat.machine.clone();
        self.recount(&id, now);
        self.apply_heartbeat_outcome(&id, outcome, now);
    }

    /// Tasks stored on a machine that, should they not be there any more, start again right there: with the attempt
    /// that is stored, so that it costs no change, and where their image is.
    ///
    /// Records may name more than was there: removals are written late. So what is stored must be within the machine,
    /// the team's limit and the job's zones all together, or entries that have long made way would come back.
    fn start_again(&self, heartbeat: &Heartbeat) -> Vec<TaskId> {
        let Some(m) = self.machines.get(&heartbeat.machine) else { return Vec::new() };
        let may_be_gone = |e: &Assignment| match e.state.recorded_state() {
            RecordedState::Inherited => heartbeat.fencing_token == self.fencing_token,
            RecordedState::Listed => heartbeat.worker_epoch > m.worker_epoch,
            _ => false,
        };
        if !m.assignments.values().any(may_be_gone) || !Resources::default().fits_in(&m.free()) {
            return Vec::new();
        }
        let wanted = |(task, e): &(&TaskId, &Assignment)| {
            let Some(job_state) = self.job_states.get(&task.job) else { return false };
            let spec = &job_state.job.spec;
            // A gang's tasks find one another by their attempt: it begins anew as a whole.
            if job_state.is_gang()
                || job_state.finishing
                || job_state.done().has(task.index)
                || !may_be_gone(e)
            {
                return false;
            }
            let used = self.used.get(&spec.team).copied().unwrap_or_default();
            let unknown = self.machines_with_unknown_tasks.iter().filter_map(|id| self.machines.get(id));
            let unknown = unknown.into_iter().any(|m| m.unknown_tasks.contains(*task));
            let within = |team| assignments::within_limit(team, &used, &Resources::default());
            let zones = self.zones_of(&task.job, job_state);
            let apart = spec.spread && zones.get(&m.zone).is_some_and(|n| *n > spec.zone_cap());
            job_state.placed().get(&task.index) == Some(&m.id)
                && self.settings.teams.get(&spec.team).is_some_and(within)
                && !apart
                && !unknown
                && !(spec.together && zones.len() > 1)
        };
        m.assignments.iter().filter(wanted).map(|(task, _)| task.clone()).collect()
    }

    pub(super) fn apply_heartbeat_outcome(
        &mut self,
        machine: &MachineId,
        outcome: HeartbeatOutcome,
        now: MonotonicTime,
    ) {
        for task in outcome.began {
            tracing::debug!(%task, %machine, "runs");
            self.mark_changed(&task.job);
            if let Some(job_state) = self.job_states.get_mut(&task.job).filter(|job_state| !job_state.started)
            {
                job_state.started = true;
                let spec = &job_state.job.spec;
                tracing::info!(job = %task.job, class = %spec.kind, team = %spec.team, "started");
                self.served.count(Stage::Started, spec);
            }
        }
        for task in outcome.fetched {
            let Some(job_state) = self.job_states.get(&task.job) else { continue };
            let (job, gang) = (job_state.job.clone(), job_state.is_gang());
            self.has_fetched(machine, &job.spec);
            if gang {
                self.start_after_fetches(&task.job);
            }
        }
        if !outcome.again.is_empty() {
            tracing::debug!(%machine, tasks = outcome.again.len(), "not there any more; they start again here");
            outcome.again.iter().for_each(|task| self.mark_changed(&task.job));
            self.to_direct.insert(machine.clone());
        }
        for (task, _) in outcome.done {
            self.mark_changed(&task.job);
            self.task_done(machine, &task, now);
        }
        for (task, assignment, outcome) in outcome.gone {
            self.mark_changed(&task.job);
            self.task_gone(machine, &task, &assignment, outcome, now);
        }
    }

    /// Once all tasks of a gang that had to fetch have their image, the others start too.
    fn start_after_fetches(&mut self, job: &JobId) {
        let Some(job_state) = self.job_states.get(job) else { return };
        let assignment = |machines: &BTreeMap<MachineId, Machine>, index: u32, id: &MachineId| {
            let task = TaskId { job: job.clone(), index };
            machines.get(id).and_then(|m| m.assignments.get(&task)).map(|e| (e.has_image, e.after_fetches))
        };
        let tasks: Vec<(u32, MachineId)> = job_state.placed().iter().map(|(i, m)| (*i, m.clone())).collect();
        let state: Vec<Option<(bool, bool)>> =
            tasks.iter().map(|(i, m)| assignment(&self.machines, *i, m)).collect();
        if state.iter().flatten().any(|(has_image, after)| !has_image && !after) {
            return;
        }
        for ((index, id), state) in tasks.into_iter().zip(state) {
            let task = TaskId { job: job.clone(), index };
            if state.is_some_and(|(_, after)| after)
                && let Some(e) = self.machines.get_mut(&id).and_then(|m| m.assignments.get_mut(&task))
            {
                e.after_fetches = false;
                self.to_direct.insert(id);
            }
        }
    }

    /// A worker reports a task as done: records it, then lets go.
    pub(super) fn task_done(&mut self, machine: &MachineId, task: &TaskId, now: MonotonicTime) {
        let Some(job_state) = self.job_states.get_mut(&task.job) else {
            // The verdict on the job stands; nothing is left to record.
            if let Some(m) = self.machines.get_mut(machine) {
                m.assignments.remove(task);
                self.pending_records.insert(machine.clone());
            }
            return self.recount(machine, now);
        };
        if job_state.job.spec.job_type == JobType::Service {
            // Services run until they are withdrawn: one that ends by itself is replaced.
            job_state.unplace(task.index, machine);
            if let Some(m) = self.machines.get_mut(machine) {
                m.assignments.remove(task);
                self.pending_records.insert(machine.clone());
            }
            return self.recount(machine, now);
        }
        job_state.errors = 0;
        let kind = job_state.job.spec.kind.clone();
        if job_state.is_gang() {
            // They complete together: if one is done, all are.
            (0..job_state.job.spec.tasks).for_each(|i| job_state.mark_done(i));
        } else {
            job_state.mark_done(task.index);
        }
        let over = job_state.all_done();
        self.placement_outcomes.push(PlacementOutcome { machine: machine.clone(), kind, success: true });
        if let Some(m) = self.machines.get_mut(machine) {
            m.failed.clear();
        }
        let (key, version) = if over {
            self.finish(&task.job)
        } else {
            let chunk = task.index / jobs::CHUNK;
            let key = format!("{PROGRESS_PREFIX}{}/{chunk}", task.job);
            let value = self.job_states.get(&task.job).map(|r| r.done().chunk_value(chunk));
            // Not urgent: until it is written the worker goes on reporting the task as done.
            let version = self.commit_pipeline.put(&key, value, CommitPriority::Normal);
            (key, version)
        };
        let pending_outcomes = PendingOutcome { version, machine: machine.clone(), task: task.clone() };
        self.pending_outcomes.entry(key).or_default().push(pending_outcomes);
        self.capacity_version += 1;
    }

    /// Writes that a job is done.
    pub(super) fn finish(&mut self, id: &JobId) -> (String, WriteVersion) {
        let key = jobs::key(id);
        if let Some(job_state) = self.job_states.get_mut(id) {
            job_state.finishing = true;
        }
        let version = self.commit_pipeline.put(&key, Some(Record::Done.to_value()), CommitPriority::Urgent);
        (key, version)
    }

    /// A version of a key is durable. Gives the job that is done by it.
    pub(super) fn settle(&mut self, key: &str, version: WriteVersion, now: MonotonicTime) -> Option<JobId> {
        if let Some(id) = key.strip_prefix(assignments::PREFIX) {
            let m = self.machines.get_mut(&MachineId::from(id))?;
            let ready: Vec<TaskId> =
                m.planned.iter().filter(|(_, v)| **v <= version).map(|(t, _)| t.clone()).collect();
            for task in ready {
                m.planned.remove(&task);
                if let Some(assignment) = m.assignments.get_mut(&task)
                    && assignment.state == AssignmentState::Planned
                {
                    assignment.state = AssignmentState::Ready;
                    self.to_direct.insert(MachineId::from(id));
                }
            }
            return None;
        }
        if let Some(list) = self.pending_outcomes.get_mut(key) {
            let (settled, later): (Vec<_>, Vec<_>) =
                std::mem::take(list).into_iter().partition(|r| r.version <= version);
            if later.is_empty() {
                self.pending_outcomes.remove(key);
            } else {
                *list = later;
            }
            for r in settled {
                if let Some(m) = self.machines.get_mut(&r.machine)
                    && m.assignments.get(&r.task).is_some_and(|e| e.state == AssignmentState::Done)
                {
                    m.assignments.remove(&r.task);
                    self.pending_records.insert(r.machine.clone());
                }
                if let Some(job_state) = self.job_states.get_mut(&r.task.job) {
                    job_state.unplace(r.task.index, &r.machine);
                }
                self.recount(&r.machine, now);
            }
        }
        let id: JobId = key.strip_prefix(jobs::PREFIX)?.into();
        let done = self.job_states.get(&id).is_some_and(|r| r.finishing);
        done.then_some(id)
    }

    /// A task is proved gone without being done.
    pub(super) fn task_gone(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        assignment: &Assignment,
        outcome: Outcome,
        now: MonotonicTime,
    ) {
        self.pending_records.insert(machine.clone());
        self.capacity_version += 1;
        if outcome == Outcome::Ended(TaskExit::NoRoom)
            && let Some(m) = self.machines.get_mut(machine)
        {
            m.not_before = now + Duration::from_millis(2000);
        }
        let Some(job_state) = self.job_states.get_mut(&task.job) else { return };
        job_state.unplace(task.index, machine);
        tracing::debug!(%task, %machine, ?outcome, "task left");
        let mut blamed = None;
        match outcome {
            Outcome::Ended(TaskExit::Failed) => {
                job_state.errors += 1;
                // One failure speaks of the machine; several in a row may speak of the job.
                let pause = if job_state.errors < 3 { 0 } else { 250u64 << (job_state.errors - 2).min(7) };
                job_state.not_before = now + Duration::from_millis(pause);
                let (kind, errors) = (job_state.job.spec.kind.clone(), job_state.errors);
                if errors < JOB_AT_FAULT {
                    self.placement_outcomes.push(PlacementOutcome {
                        machine: machine.clone(),
                        kind,
                        success: false,
                    });
                }
                blamed = Some(errors);
            }
            Outcome::Ended(TaskExit::Refused | TaskExit::NoRoom) => {
                job_state.not_before = now + Duration::from_millis(1000)
            }
            _ => {}
        }
        let _ = assignment;
        if gangs::broken(job_state) {
            self.stop_job(&task.job, 0.0, now);
        }
        if let Some(errors) = blamed {
            self.blame(machine, &task.job, errors);
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
