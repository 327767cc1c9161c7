//! Watching the fleet, writing records, renting and returning.

use super::*;

/// Silent workers that are asked at a time, at least, and a part of all; from how many report intervals of silence on.
const PROBES_AT_ONCE: usize = 16;
const PROBES_PART: usize = 32;
const PROBE_AFTER_REPORTS: f64 = 1.35;
/// A worker with replicas that are to start sooner than that is asked in between, but not more often than this.
const ASK_EVERY_S: f64 = 5.0;
/// Reports that are missed for a zone to count as quiet: by chance that hardly ever happens.
const REPORTS_MISSED: f64 = 6.0;
/// Questions in a row without an answer after which a worker counts as lost.
const PROBES_LOST: u32 = 2;
/// The same of one that a new leader has not heard yet, before it has waited for it long enough.
const PROBES_LOST_UNHEARD: u32 = 4;
/// After this long a new leader has read what nodes say that are apart, if they do.
const WORDS_COME: Duration = Duration::from_millis(7_000);
/// Part of a zone's machines that, silent together, are cut off rather than lost: if nobody else there has
/// been heard for a while either, or if it is most of them.
const ZONE_SILENT: f64 = 0.34;
const ZONE_QUIET: Duration = Duration::from_millis(2000);
const ZONE_MOSTLY: f64 = 0.67;
/// Part of each zone that, silent together, speaks of the nodes and not of the machines.
const FLEET_SILENT: f64 = 0.2;
/// A cut-off worker kills its tasks when its lease ends; shortly before, waiting gains no more.
const LEASE_MARGIN_S: f64 = 2.0;
/// Jobs that have to fail on a machine, with none done between, before it counts as faulty.
const MACHINE_AT_FAULT: usize = 2;
/// Waiting tasks that rentals are planned for at a time.
const NEEDS_AT_MOST: u32 = 20_000;
/// While most machines are silent, none is given up for this many report intervals.
const SUSPECT_REPORTS: f64 = 4.0;

/// Report intervals after which a machine is returned where a start may still arrive that is to be stopped.
const UNSTOPPED_HEARTBEATS: f64 = 4.0;
/// The same as a part of the hold: see the inequality in the design ("Outages").
const UNSTOPPED_HOLD_SHARE: f64 = 0.25;

/// How a zone's machines are heard.
#[derive(Debug, Default)]
struct ZoneSilence {
    all: u32,
    silent: u32,
    /// The newest report, or answer to a question, of any.
    newest: MonotonicTime,
}

impl ZoneSilence {
    /// A zone that is cut off goes on working inside until its workers' leases end: returning its machines
    /// before would only stop what runs. But of a zone where many have died the rest is heard, and what ran on
    /// the dead must start elsewhere at once: 82 machines that died together were taken for a cut zone, and
    /// their replicas were down for 20 s (tremorline fleet, loss).
    fn is_cut(&self, heartbeat: Duration, now: MonotonicTime) -> bool {
        let share = f64::from(self.silent) / f64::from(self.all.max(1));
        let missed = f64::from(self.all) * now.since(self.newest).as_secs_f64() / heartbeat.as_secs_f64();
        let quiet = !self.is_heard(now);
        quiet && missed >= REPORTS_MISSED
            || self.silent > 2 && share > ZONE_SILENT && (share > ZONE_MOSTLY || quiet)
    }

    fn is_heard(&self, now: MonotonicTime) -> bool {
        now.since(self.newest) <= ZONE_QUIET
    }
}

/// A machine is given up: to be returned.
fn lose(m: &mut Machine, partitions: &mut Partitions) {
    tracing::warn!(machine = %m.id, status = ?m.status, tasks = m.assignments.len(), "machine lost; returning it");
    m.status = MachineStatus::Releasing;
    partitions.remove(&m.id);
}

/// Since when a machine is to stop a task of a job that is over, if it is and has not said that it did.
fn over_since(m: &Machine, job_states: &BTreeMap<JobId, JobState>) -> Option<MonotonicTime> {
    let stopping = m.assignments.iter().filter_map(|(task, e)| Some((task, e.stop?.since)));
    stopping.filter(|(task, _)| !job_states.contains_key(&task.job)).map(|(_, since)| since).min()
}

impl Leader {
    // ---- watching the fleet ----

    /// Most machines fell silent at once: rather this node is cut off than all of them. But only
    /// if a peer hears workers meanwhile; else they are really gone, and another leader would
    /// only find the same.
    pub(super) fn self_cut_off(&mut self, peers_hear: bool, now: MonotonicTime) -> bool {
        let heartbeat = Duration::from_secs_f64(self.settings.workers.report_s);
        let up = self.machines.values().filter(|m| m.status == MachineStatus::Up);
        let (mut all, mut silent) = (0, 0);
        for m in up {
            all += 1;
            let late = m.last_heartbeat.is_none_or(|at| now.since(at) > heartbeat.times(2.0));
            silent += u32::from(late);
        }
        if all < 2 || silent * 2 <= all {
            self.silent_since = None;
            return false;
        }
        let since = *self.silent_since.get_or_insert(now);
        peers_hear && now.since(since) >= heartbeat.times(2.0)
    }

    pub(super) fn drain_warned(&mut self, now: MonotonicTime) {
        let mut stops = Vec::new();
        for m in self.machines.values() {
            let Some(taken_at) = m.taken_at else { continue };
            let left = taken_at.since(now);
            for (task, assignment) in m.assignments.iter().filter(|(_, e)| e.stop.is_none() && e.occupies()) {
                let Some(job_state) = self.job_states.get(&task.job) else { continue };
                let spec = &job_state.job.spec;
                let save = gangs::save_grace_s(spec);
                let ran = assignment.running_since.map(|s| now.since(s)).unwrap_or_default();
                // It may end by itself in time: then stopping it only loses its work.
                let ends_in_time = spec.job_type != JobType::Service
                    && spec.estimate.0 < ran.0 + left.0
                    && spec.estimate.0 > 0;
                if ends_in_time && left.as_secs_f64() > save {
                    continue;
                }
                let grace = if save > 0.0 && left.as_secs_f64() > save { save } else { 0.0 };
                stops.push((m.id.clone(), task.clone(), grace));
            }
        }
        for (machine, task, grace) in stops {
            let (gang, job) = match self.job_states.get(&task.job) {
                Some(job_state) => (job_state.is_gang(), task.job.clone()),
                None => continue,
            };
            if gang {
                self.stop_job(&job, grace, now);
            } else {
                self.stop_task(&machine, &task, grace, now);
            }
        }
    }

    /// Gangs that lost a task for good: the rest makes way for a new attempt.
    pub(super) fn mend_gangs(&mut self, now: MonotonicTime) {
        let broken: Vec<JobId> =
            self.job_states.iter().filter(|(_, r)| gangs::broken(r)).map(|(id, _)| id.clone()).collect();
        for id in broken {
            self.stop_job(&id, 0.0, now);
        }
    }

    /// Machines that fell silent, or never came up, are returned: the cloud's 200 is the quick
    /// proof that their tasks are gone.
    pub(super) fn find_lost(&mut self, zones_heard: &BTreeMap<Zone, MonotonicTime>, now: MonotonicTime) {
        let o = &self.settings.operator;
        let heartbeat = Duration::from_secs_f64(self.settings.workers.report_s);
        let suspect = self.silent_since.is_some_and(|at| now.since(at) < heartbeat.times(SUSPECT_REPORTS));
        let late = heartbeat.times(PROBE_AFTER_REPORTS);
        let mut zones: BTreeMap<&Zone, ZoneSilence> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.status == MachineStatus::Up) {
            let zone = zones.entry(&m.zone).or_default();
            zone.all += 1;
            zone.silent += u32::from(m.last_heartbeat.is_some_and(|at| now.since(at) > late));
            zone.newest = zone.newest.max(m.last_heartbeat.unwrap_or_default()).max(m.answered_at);
        }
        let heard: BTreeSet<Zone> =
            zones.iter().filter(|(_, z)| z.is_heard(now)).map(|(zone, _)| (*zone).clone()).collect();
        // Silence of a good part of every zone is ours: too few nodes, or overloaded ones, hear the workers.
        let everywhere =
            zones.len() > 1 && zones.values().all(|z| f64::from(z.silent) > FLEET_SILENT * f64::from(z.all));
        let alive = self.isolation_reports.alive(now);
        let is_cut = |zone: &Zone, z: &ZoneSilence| {
            everywhere || z.is_cut(heartbeat, now) || (alive.contains(zone) && !z.is_heard(now))
        };
        let cut_zones = zones.into_iter().filter(|(zone, z)| is_cut(zone, z));
        let cut_zones: BTreeSet<Zone> = cut_zones.map(|(zone, _)| zone.clone()).collect();
        cut_zones.intersection(&alive).for_each(|zone| {
            self.partitioned_until.insert(zone.clone(), now);
        });
        self.cut_zones.clone_from(&cut_zones);
        let lost_after = heartbeat.times(o.lost_reports);
        let lease_ends = Duration::from_secs_f64(self.settings.workers.lease_s - LEASE_MARGIN_S);
        let may_give_up = self.heartbeat_collection.may_give_up(now);
        let words_came = now.since(self.since) >= WORDS_COME;
        let gives_up = self.heartbeat_collection.allows(LeaderAction::GiveUp);
        let unstopped_limit = self.unstopped_limit();
        for m in self.machines.values_mut() {
            let over = over_since(m, &self.job_states);
            let lost = match (m.status, m.last_heartbeat) {
                // Nobody may have it: what is withdrawn must be gone in time, also from a machine that hangs, and each
                // leader counts its silence anew (seven of 500 seeds with a leader every ten seconds). In a cut zone
                // leases end in time by what its nodes may renew, but a machine that hangs there is not told apart.
                (MachineStatus::Up, Some(_))
                    if m.unanswered >= PROBES_LOST
                        && over.is_some_and(|at| {
                            let waited = now.since(at);
                            waited >= heartbeat && !cut_zones.contains(&m.zone) || waited > unstopped_limit
                        }) =>
                {
                    gives_up
                }
                // A node in there answers its workers: their leases live on, and nothing follows from this silence.
                (MachineStatus::Up, Some(_)) if cut_zones.contains(&m.zone) && alive.contains(&m.zone) => {
                    m.unanswered = 0;
                    false
                }
                (MachineStatus::Up, Some(at)) if cut_zones.contains(&m.zone) => {
                    let heard = zones_heard.get(&m.zone).map_or(at, |heard| at.min(*heard));
                    // A node in there that crashes may be back before the leases end that it has renewed.
                    let heard = self
                        .partitioned_until
                        .get(&m.zone)
                        .map_or(heard, |partitioned_until| heard.max(*partitioned_until));
                    !suspect && words_came && now.since(heard) > lost_after.max(lease_ends)
                }
                // Just after a take-over it may be this leader that is not found yet.
                (MachineStatus::Up, Some(_)) if !m.has_been_heard() && !may_give_up => {
                    gives_up && heard.contains(&m.zone) && m.unanswered >= PROBES_LOST_UNHEARD
                }
                (MachineStatus::Up, Some(at)) => {
                    // One that answers questions is there, though its reports reach nobody just now: it was returned
                    // with work on it where nodes crashed in turn (seed 5017). Its tasks live until their lease ends.
                    // Silence in a parted zone counts from when it is no longer parted.
                    let at = self
                        .partitioned_until
                        .get(&m.zone)
                        .map_or(at, |partitioned_until| at.max(*partitioned_until));
                    let alive = at.max(m.answered_at);
                    let silent = now.since(alive) > lost_after || now.since(at) > lease_ends.max(lost_after);
                    // Before it is late, only where it is surely not the zone.
                    let asked = heard.contains(&m.zone) || now.since(at) > late && words_came;
                    !suspect && (silent || asked && m.unanswered >= PROBES_LOST)
                }
                (MachineStatus::Booting, _) => self
                    .instance_offers
                    .types
                    .iter()
                    .find(|t| t.name == m.type_name)
                    .is_some_and(|t| now.since(m.rented_at) > autoscaler::boot_limit(t, o.boot_patience)),
                _ => false,
            };
            if lost {
                lose(m, &mut self.partitions);
            }
        }
    }

    /// How long what is withdrawn may go without a proof that it is stopped: with a lease to run out after it, should
    /// the cloud not answer either.
    fn unstopped_limit(&self) -> Duration {
        let workers = &self.settings.workers;
        Duration::from_secs_f64(workers.report_s)
            .times(UNSTOPPED_HEARTBEATS)
            .min(workers.hold().times(UNSTOPPED_HOLD_SHARE))
    }

    /// A start that may still act can't be stopped before it does; the cloud can prove it gone, long before a
    /// withdrawal's time is up. Nor can a leader that has not seen the job records for as long know what is withdrawn.
    pub(super) fn find_unstoppable(&mut self, lease_renewal: &LeaseRenewal, now: MonotonicTime) {
        let unstopped_limit = self.unstopped_limit();
        let blind = lease_renewal.is_blind_for(unstopped_limit, now);
        for m in self.machines.values_mut().filter(|m| m.status != MachineStatus::Releasing) {
            let overdue = m.unacknowledged.keys().any(|(task, attempt)| {
                m.assignments.get(task).is_some_and(|e| {
                    e.attempt == *attempt
                        && matches!(e.state, AssignmentState::Sent { .. })
                        && e.stop.is_some_and(|s| now.since(s.since) > unstopped_limit)
                })
            });
            if overdue || blind && m.has_unacknowledged_starts() {
                lose(m, &mut self.partitions);
            }
        }
    }

    /// A task of `job`, which has failed `errors` times in a row, failed on `machine`. Tells
    /// whether that makes the machine a faulty one, to be emptied and returned.
    pub(super) fn blame(&mut self, machine: &MachineId, job: &JobId, errors: u32) -> bool {
        let Some(m) = self.machines.get_mut(machine).filter(|_| errors < JOB_AT_FAULT) else { return false };
        if !m.failed.contains(job) && m.failed.len() < MACHINE_AT_FAULT {
            m.failed.push(job.clone());
        }
        if m.failed.len() >= MACHINE_AT_FAULT && !m.draining {
            tracing::warn!(%machine, "fails one job after another; returning it once it is empty");
            m.draining = true;
        }
        m.draining
    }

    /// Workers whose report is late and that are to be asked whether they are there.
    pub(super) fn silent_workers(&mut self, now: MonotonicTime) -> Vec<(MachineId, String, String)> {
        let late = Duration::from_secs_f64(self.settings.workers.report_s).times(PROBE_AFTER_REPORTS);
        let asked: BTreeSet<&MachineId> = self.probes.values().collect();
        // Those first that are to stop what is over, and at once if this leader has not heard them.
        let over = |m: &Machine| over_since(m, &self.job_states).is_some();
        let silent = self.machines.values().filter(|m| {
            m.status == MachineStatus::Up
                && m.last_heartbeat.is_some_and(|at| {
                    now.since(at) > late
                        || self.is_to_be_asked(m, at, late, now)
                        || !m.has_been_heard() && over(m)
                })
                && !asked.contains(&m.id)
        });
        let mut silent: Vec<&Machine> = silent.collect();
        silent.sort_by_cached_key(|m| !over(m));
        let most = PROBES_AT_ONCE.max(self.machines.len() / PROBES_PART).saturating_sub(asked.len());
        let question = |m: &Machine| {
            let body = workers::command(self.fencing_token, m.worker_epoch.max(m.last_known_epoch), &[]);
            m.addr.clone().map(|addr| (m.id.clone(), addr, body))
        };
        silent.into_iter().filter_map(question).take(most).collect()
    }

    /// Whether a worker is asked between its reports: where they come seldom, replicas that should start at once would
    /// wait for the next one before anybody knew that their machine is gone (offshore deployment: reports every 10 s,
    /// a start within 1 s; found after 7 to 17 s).
    fn is_to_be_asked(
        &self,
        m: &Machine,
        reported: MonotonicTime,
        late: Duration,
        now: MonotonicTime,
    ) -> bool {
        let silence = now.since(reported.max(m.answered_at)).as_secs_f64();
        if silence < ASK_EVERY_S || late.as_secs_f64() <= ASK_EVERY_S {
            return false;
        }
        m.assignments.iter().any(|(task, e)| {
            let spec = e
                .occupies()
                .then(|| self.job_states.get(&task.job))
                .flatten()
                .map(|job_state| &job_state.job.spec);
            spec.filter(|spec| spec.job_type == JobType::Service)
                .and_then(|spec| self.settings.wait_objective(&spec.kind, false))
                .is_some_and(|within| within < late.as_secs_f64() && silence >= within)
        })
    }

    /// Machines to return now.
    pub(super) fn returns(&mut self, now: MonotonicTime) -> Vec<(CloudRequest, CloudCall)> {
        let idle = Duration::from_secs_f64(self.settings.operator.idle_return_s);
        let may_return = self.heartbeat_collection.allows(LeaderAction::ReturnIdle);
        for m in self.machines.values_mut() {
            let empty = m.assignments.is_empty() && m.unknown_tasks.is_empty();
            let idle_for = m.empty_since.map(|at| now.since(at)).unwrap_or_default();
            if m.status == MachineStatus::Up && may_return && empty && (idle_for >= idle || m.draining) {
                tracing::info!(machine = %m.id, faulty = m.draining, "idle; returning it");
                m.status = MachineStatus::Releasing;
                self.partitions.remove(&m.id);
            }
        }
        let due: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.status == MachineStatus::Releasing && !self.releasing.contains(&m.id))
            .map(|m| m.id.clone())
            .take(100)
            .collect();
        if due.is_empty() || !self.cloud_calls.take(1.0, now) {
            return Vec::new();
        }
        self.releasing.extend(due.iter().cloned());
        vec![(CloudRequest::Release { machines: due.clone() }, CloudCall::Release { machines: due })]
    }

    /// The cloud has answered 200: the machine and everything on it are gone.
    pub(super) fn released(&mut self, id: &MachineId, now: MonotonicTime) {
        self.releasing.remove(id);
        self.unreadable_machines.remove(id);
        self.coordinator.forget(id);
        self.tombstones.insert(id.clone(), now);
        self.partitions.remove(id);
        let Some(mut m) = self.machines.remove(id) else { return };
        let assignments = std::mem::take(&mut m.assignments);
        m.recount(&mut self.used, now);
        self.machines_with_unknown_tasks.remove(id);
        self.pending_records.remove(id);
        for (task, assignment) in assignments {
            if assignment.state == AssignmentState::Done {
                continue; // being recorded; the outcome is known
            }
            self.task_gone(id, &task, &assignment, Outcome::Vanished, now);
        }
        self.pending_records.remove(id);
        if self.commit_pipeline.holds(&assignments::key(id)) {
            self.commit_pipeline.put(&assignments::key(id), None, CommitPriority::Normal);
        }
    }

    pub(super) fn rented(&mut self, id: MachineId, offer: &InstanceOffer, now: MonotonicTime) {
        if self.tombstones.contains_key(&id) || self.machines.contains_key(&id) {
            return;
        }
        let Some(total) = self.instance_offers.type_of(&offer.type_name).map(MachineType::resources) else {
            return;
        };
        let m = Machine::new(id.clone(), offer.type_name.clone(), offer.zone.clone(), offer.spot, total, now);
        self.machines.insert(id.clone(), m);
        self.pending_records.insert(id);
    }

    pub(super) fn listed(&mut self, listed: ListedMachine, now: MonotonicTime) {
        if self.tombstones.contains_key(&listed.id) {
            return;
        }
        if !self.machines.contains_key(&listed.id) {
            let offer = InstanceOffer { type_name: listed.type_name, zone: listed.zone, spot: listed.spot };
            self.rented(listed.id.clone(), &offer, now);
        }
        let Some(m) = self.machines.get_mut(&listed.id) else { return };
        if m.addr.is_none() {
            m.addr = listed.addr;
        }
        if listed.phase == MachinePhase::Failed && m.status != MachineStatus::Releasing {
            tracing::warn!(machine = %m.id, "machine failed; returning it");
            m.status = MachineStatus::Releasing;
            self.partitions.remove(&m.id);
        }
    }

    // ---- records and rentals ----

    pub(super) fn write_records(&mut self) {
        for id in std::mem::take(&mut self.pending_records) {
            let Some(m) = self.machines.get_mut(&id).filter(|_| !self.unreadable_machines.contains(&id))
            else {
                continue;
            };
            // A machine without tasks needs no record: its reports and the cloud's list show it.
            if m.assignments.is_empty() && !self.commit_pipeline.holds(&assignments::key(&id)) {
                continue;
            }
            let Some(value) = m.record().to_value(self.settings.state.value_bytes) else {
                tracing::debug!(machine = %id, "its record is too large to be written anew; stays as stored");
                continue;
            };
            let planned: Vec<TaskId> = m
                .assignments
                .iter()
                .filter(|(t, e)| e.state == AssignmentState::Planned && !m.planned.contains_key(*t))
                .map(|(t, _)| t.clone())
                .collect();
            // Starts wait for it; what has only left is proved gone again by whoever reads it.
            let replica = |task: &TaskId| {
                self.job_states
                    .get(&task.job)
                    .is_some_and(|job_state| job_state.job.spec.job_type == JobType::Service)
            };
            let commit_priority = match planned.is_empty() {
                true => CommitPriority::Background,
                false if planned.iter().any(replica) => CommitPriority::Critical,
                false => CommitPriority::Urgent,
            };
            let version = self.commit_pipeline.put(&assignments::key(&id), Some(value), commit_priority);
            for task in planned {
                m.planned.insert(task, version);
            }
        }
    }

    /// All that waits, most urgent first, as far as teams' limits allow.
    fn capacity_requests(&mut self, now: MonotonicTime) -> Vec<CapacityRequest> {
        let guaranteed = self.guaranteed();
        let mut ids: Vec<(&JobId, &JobState)> = self
            .job_states
            .iter()
            .filter(|(_, r)| r.waiting_count() > 0 && !r.finishing && r.not_before <= now)
            .collect();
        ids.sort_by_cached_key(|(id, r)| self.priority_key(id, r, &guaranteed));
        let mut used = self.used.clone();
        let mut left = NEEDS_AT_MOST;
        let mut capacity_requests = Vec::new();
        for (id, job_state) in ids {
            let spec = &job_state.job.spec;
            let Some(team) = self.settings.teams.get(&spec.team) else { continue };
            let sum = used.entry(spec.team.clone()).or_default();
            let fitting = assignments::tasks_within_limit(team, sum, &spec.resources)
                .min(job_state.waiting_count())
                .min(left);
            if fitting == 0 || (job_state.is_gang() && fitting < spec.tasks) {
                continue;
            }
            *sum = sum.plus(&spec.resources.times(f64::from(fitting)));
            left -= fitting;
            capacity_requests.push(CapacityRequest {
                tasks: fitting,
                resources: spec.resources,
                types: spec.types.clone(),
                spot: spec.spot,
                zones: self.zone_capacity(id, job_state),
                together: spec.together,
                patient: spec.job_type == JobType::Array && spec.estimate.0 > 0,
            });
        }
        self.judge_patience(&mut capacity_requests);
        capacity_requests
    }

    /// Tasks of arrays follow one another on the same places. While those that wait will get one
    /// sooner than a new machine would be up and done with its first, they needn't have dear ones.
    fn judge_patience(&self, capacity_requests: &mut [CapacityRequest]) {
        let arrays = || self.job_states.values().filter(|r| r.job.spec.job_type == JobType::Array);
        let (mut waiting, mut work_s) = (0.0, 0.0);
        for job_state in arrays() {
            let tasks = f64::from(job_state.waiting_count());
            waiting += tasks;
            work_s += tasks * job_state.job.spec.estimate.as_secs_f64();
        }
        let Some(need) = capacity_requests.iter().find(|n| n.patient).map(|n| n.resources) else { return };
        let placed: usize = arrays().map(|r| r.placed().len()).sum();
        let incoming = self.machines.values().filter(|m| m.status == MachineStatus::Booting);
        let incoming: u32 = incoming.map(|m| m.free().count_of(&need)).sum();
        let places = (placed as f64 + f64::from(incoming)).max(1.0);
        let boot_s = self.instance_offers.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let mean_s = if waiting > 0.0 { work_s / waiting } else { 0.0 };
        let soon = work_s / places <= boot_s + mean_s;
        for need in capacity_requests {
            need.patient &= soon;
        }
    }

    pub(super) fn rentals(&mut self, now: MonotonicTime) -> Vec<(CloudRequest, CloudCall)> {
        if !self.heartbeat_collection.allows(LeaderAction::Rent)
            || now < self.rent_not_before
            || now.since(self.since) < Duration::from_millis(2000)
            || self.instance_offers.types.is_empty()
        {
            return Vec::new();
        }
        self.plans.begins(now);
        let mut capacity_requests = self.capacity_requests(now);
        // What is rented in a zone that is cut off can't be used.
        for need in &mut capacity_requests {
            if need.zones.iter().any(|(zone, n)| *n > 0 && !self.cut_zones.contains(zone)) {
                need.zones.retain(|(zone, _)| !self.cut_zones.contains(zone));
            }
        }
        if capacity_requests.is_empty() {
            return Vec::new();
        }
        let least = capacity_requests.iter().map(|n| n.resources.gpus).fold(f64::MAX, f64::min);
        let mut groups: BTreeMap<(InstanceOffer, [u64; 3]), IncomingCapacity> = BTreeMap::new();
        let mut add = |offer: InstanceOffer, free: Resources, number: u32| {
            let key = [free.cpus, free.gpus, free.memory_gb].map(|x| (x.max(0.0) * 1000.0) as u64);
            let new = IncomingCapacity { instance_offer: offer.clone(), free, number: 0 };
            groups.entry((offer, key)).or_insert(new).number += number;
        };
        let mut per_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for m in self.machines.values() {
            *per_zone.entry(m.zone.clone()).or_default() += 1;
            // Room that is free now is about to be used by what waits.
            // Just after a take-over most have not been heard yet; their room will be there.
            let soon =
                m.status == MachineStatus::Booting || (m.status == MachineStatus::Up && !m.has_been_heard());
            if m.free().gpus + 1e-6 >= least && (soon || m.open_for_tasks(now)) {
                let offer =
                    InstanceOffer { type_name: m.type_name.clone(), zone: m.zone.clone(), spot: m.spot };
                add(offer, m.free(), 1);
            }
        }
        for request_id in self.cloud_calls_open.values() {
            if let CloudCall::Rent { offer, number } = request_id
                && let Some(t) = self.instance_offers.type_of(&offer.type_name)
            {
                add(offer.clone(), t.resources(), *number);
            }
        }
        let mut incoming: Vec<IncomingCapacity> = groups.into_values().collect();
        // Small gaps first: whole machines stay for those that need them whole.
        incoming.sort_by(|a, b| a.free.gpus.total_cmp(&b.free.gpus));
        let most = self.settings.operator.rent_at_most;
        let mut out = Vec::new();
        for (offer, number) in self.instance_offers.plan(capacity_requests, incoming, &per_zone, now) {
            if !self.cloud_calls.take(1.0, now) {
                break;
            }
            let number = number.min(most);
            let request = CloudRequest::Rent {
                claim: self.instance_offers.claim(self.fencing_token),
                type_name: offer.type_name.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                number,
            };
            out.push((request, CloudCall::Rent { offer, number }));
        }
        out
    }
}

#[cfg(test)]
mod tests;
