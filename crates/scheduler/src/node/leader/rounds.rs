//! Rounds: what waits, who places it, and the leader's check.

use super::candidates::Field;
use super::*;

/// What an ask of the look under way counts on in its controller's block.
struct Claim {
    node: NodeName,
    request: PlacementRequest,
    /// Places that the block has for it beyond what it needs.
    spare: u32,
}

/// Part of the time a gang's task waits for the others from which on their fetch is slow.
const SLOW_FETCH: f64 = 0.4;
const PREEMPTIONS_AT_ONCE: usize = 2;

impl Leader {
    // ---- rounds ----

    pub(super) fn priority_key(
        &self,
        id: &JobId,
        job_state: &JobState,
        guaranteed: &BTreeSet<JobId>,
    ) -> (Reverse<Priority>, bool, u64) {
        (Reverse(job_state.priority), !guaranteed.contains(id), job_state.job.submitted.0)
    }

    /// Jobs within their team's guarantee, alongside the team's earlier unfinished jobs.
    pub(super) fn guaranteed(&mut self) -> Arc<BTreeSet<JobId>> {
        if let Some(known) = &self.guaranteed {
            return known.clone();
        }
        let mut jobs: Vec<(&JobId, &JobState)> = self.job_states.iter().collect();
        jobs.sort_by_key(|(id, r)| (r.job.submitted, (*id).clone()));
        let mut taken: BTreeMap<&TeamName, Resources> = BTreeMap::new();
        let mut out = BTreeSet::new();
        for (id, job_state) in jobs {
            let spec = &job_state.job.spec;
            let Some(team) = self.settings.teams.get(&spec.team) else { continue };
            let sum = taken.entry(&spec.team).or_default();
            *sum = sum.plus(&spec.resources.times(f64::from(spec.tasks)));
            let fits = |g: Option<f64>, used: f64| g.is_none_or(|g| used <= g + 1e-6);
            let any = team.guaranteed_cpus.is_some() || team.guaranteed_gpus.is_some();
            if any && fits(team.guaranteed_cpus, sum.cpus) && fits(team.guaranteed_gpus, sum.gpus) {
                out.insert(id.clone());
            }
        }
        let out = Arc::new(out);
        self.guaranteed = Some(out.clone());
        out
    }

    /// What waits, most urgent first, as far as teams' limits allow.
    pub(super) fn waiting_asks(&mut self, most: usize, now: MonotonicTime) -> Vec<PlacementRequest> {
        let version = self.capacity_version;
        let mut ids: Vec<JobId> = self
            .job_states
            .iter()
            .filter(|(_, r)| r.offered == 0 && !r.finishing && r.not_before <= now)
            .filter(|(_, r)| r.tried < version)
            .filter(|(_, r)| r.waiting_count() > 0)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.is_empty() {
            return Vec::new();
        }
        let guaranteed = self.guaranteed();
        ids.sort_by_cached_key(|id| self.priority_key(id, &self.job_states[id], &guaranteed));
        let mut used = self.used.clone();
        for job_state in self.job_states.values().filter(|r| r.offered > 0) {
            let sum = used.entry(job_state.job.spec.team.clone()).or_default();
            *sum = sum.plus(&job_state.job.spec.resources.times(f64::from(job_state.offered)));
        }
        let mut requests = Vec::new();
        let mut left = most;
        for id in ids {
            if left == 0 {
                break;
            }
            let Some(job_state) = self.job_states.get(&id) else { continue };
            let spec = job_state.job.spec.clone();
            let zones = self.zone_capacity(&id, job_state);
            let Some(job_state) = self.job_states.get_mut(&id) else { continue };
            let gang = job_state.is_gang();
            if gang && !job_state.placed().is_empty() {
                job_state.reason = "the gang's last attempt is not off its machines yet";
                continue;
            }
            let mut tasks = job_state.waiting(if gang { usize::MAX } else { left });
            let Some(team) = self.settings.teams.get(&spec.team) else { continue };
            let sum = used.entry(spec.team.clone()).or_default();
            let fitting =
                (assignments::tasks_within_limit(team, sum, &spec.resources) as usize).min(tasks.len());
            if fitting == 0 || (gang && fitting < tasks.len()) {
                job_state.reason = "its team is at its limit";
                job_state.tried = version;
                continue;
            }
            tasks.truncate(fitting);
            *sum = sum.plus(&spec.resources.times(tasks.len() as f64));
            left = left.saturating_sub(tasks.len());
            requests.push(ask_for(&id, &spec, tasks, zones));
        }
        requests
    }

    /// The rounds to run now: per controller its block's id, machines and work.
    pub(super) fn build_rounds(
        &mut self,
        live: &BTreeSet<NodeName>,
        me: &NodeName,
        now: MonotonicTime,
    ) -> Vec<(NodeName, u64, Vec<MachineView>, Vec<PlacementRequest>)> {
        if self.partitions.needs_division(live, now) && self.pending_rounds.is_empty() {
            let mut work: BTreeMap<NodeName, u32> = live.iter().map(|n| (n.clone(), 0)).collect();
            for job_state in self.job_states.values() {
                let home = if live.contains(&job_state.home) { &job_state.home } else { me };
                *work.entry(home.clone()).or_default() += job_state.waiting_count().min(1000);
            }
            let up = self.machines.values().filter(|m| m.status == MachineStatus::Up);
            let up: BTreeSet<MachineId> = up.map(|m| m.id.clone()).collect();
            let lease = Duration::from_secs_f64(self.settings.operator.block_lease_s);
            self.partitions.divide(&up, &work, lease, now);
        }
        let mut requests = self.waiting_asks(self.settings.operator.round_tasks, now);
        let spared = self.spare_changes(&mut requests);
        if requests.is_empty() {
            return Vec::new();
        }
        let mut field = self.open_field(&requests, now);
        if let Some(records) = spared {
            self.narrow(&mut field, &requests, records);
        }
        let mut by_node: BTreeMap<NodeName, Vec<PlacementRequest>> = BTreeMap::new();
        let mut claims: Vec<Claim> = Vec::new();
        let mut scans = PREEMPTIONS_AT_ONCE;
        for mut request in requests {
            let Some(job_state) = self.job_states.get_mut(&request.job) else { continue };
            if !live.contains(&job_state.home) {
                job_state.home = me.clone();
            }
            let home = job_state.home.clone();
            if self.pending_rounds.contains_key(&home) {
                continue;
            }
            if request.job_type == JobType::Service {
                let kept = self.keep_for_image(&request, &field.views, &mut scans, now) as usize;
                request.tasks.truncate(request.tasks.len() - kept.min(request.tasks.len()));
                if request.tasks.is_empty() {
                    continue;
                }
            }
            // What fits nowhere is not offered: a round's answer would only say the same.
            if !self.make_fit(&home, &request, &mut field, &mut claims) {
                if scans > 0 && field.whole && self.heartbeat_collection.allows(LeaderAction::Preempt) {
                    scans -= usize::from(self.preempt(&request, now));
                }
                if request.job_type == JobType::Gang && request.tasks.len() > 1 {
                    self.hold_for_gang(&request, &mut field.views, now);
                }
                continue;
            }
            by_node.entry(home).or_default().push(request);
        }
        let mut rounds = Vec::new();
        for (node, requests) in by_node {
            let Some(id) = self.partitions.get(&node).map(|b| b.id) else { continue };
            let machines = field.of(&node).filter(|v| requests.iter().any(|a| a.allows(v)));
            let machines: Vec<MachineView> = machines.cloned().collect();
            for request in &requests {
                if let Some(job_state) = self.job_states.get_mut(&request.job) {
                    job_state.offered = request.tasks.len() as u32;
                }
            }
            rounds.push((node, id, machines, requests));
        }
        rounds
    }

    /// What an entry of the job's tasks takes in a record, whichever attempt it will be.
    pub(super) fn assignment_bytes(&self, task: &TaskId, spec: &JobSpec) -> usize {
        assignments::assignment_bytes(task, Attempt(u64::MAX), &spec.team, &spec.resources)
    }

    pub(super) fn health(&self, m: &Machine, now: MonotonicTime) -> Health {
        let o = &self.settings.operator;
        let heartbeat = Duration::from_secs_f64(self.settings.workers.report_s);
        m.health(now, heartbeat, o.degraded_reports, o.unreachable_reports)
    }

    /// A controller's proposals are in: commits those that the ledger and the global checks
    /// allow. What found no place is looked at again with the next rounds.
    pub(super) fn close_round(
        &mut self,
        node: &NodeName,
        requests: Vec<PlacementRequest>,
        proposals: Vec<Proposal>,
        now: MonotonicTime,
    ) {
        let mut by_job: BTreeMap<JobId, Vec<(u32, MachineId)>> = BTreeMap::new();
        for p in proposals {
            let inside = self.partitions.get(node).is_some_and(|b| b.machines.contains(&p.machine));
            if inside {
                by_job.entry(p.job).or_default().push((p.task, p.machine));
            }
        }
        for request in requests {
            let Some(job_state) = self.job_states.get_mut(&request.job) else { continue };
            job_state.offered = 0;
            let placements: Vec<(u32, MachineId)> = by_job
                .remove(&request.job)
                .unwrap_or_default()
                .into_iter()
                .filter(|(t, _)| request.tasks.contains(t))
                .collect();
            self.commit_placements(&request, placements, now);
        }
    }

    /// The leader's check. Gangs are placed whole or not at all.
    pub(super) fn commit_placements(
        &mut self,
        request: &PlacementRequest,
        placements: Vec<(u32, MachineId)>,
        now: MonotonicTime,
    ) -> usize {
        let gang = request.job_type == JobType::Gang;
        let Some(job_state) = self.job_states.get(&request.job) else { return 0 };
        let spec = job_state.job.spec.clone();
        let Some(team) = self.settings.teams.get(&spec.team).cloned() else { return 0 };
        if gang && (placements.len() < spec.tasks as usize || !job_state.placed().is_empty()) {
            return 0;
        }
        // A gang's tasks give up after `gang_wait_s`; fetches of some that take that long made the rest
        // give up, and the whole gang fetch again elsewhere.
        let slow_fetch = gang
            && placements.iter().filter_map(|(_, id)| self.machines.get(id)).any(|m| {
                let rate = self.instance_offers.type_of(&m.type_name).map_or(0.0, |t| t.fetch_gb_per_s);
                let fetch_s = if rate > 0.0 { spec.image_gb / rate } else { 0.0 };
                !m.has_image(&spec.image) && fetch_s > self.settings.workers.gang_wait_s * SLOW_FETCH
            });
        let attempt = self.attempts.issue();
        let mut placed = Vec::new();
        for (index, machine) in placements {
            let task = TaskId { job: request.job.clone(), index };
            if !self.may_place(&task, &spec, &team, &machine, now) {
                if gang {
                    break;
                }
                continue;
            }
            let attempt = if gang { attempt } else { self.attempts.issue() };
            let Some(m) = self.machines.get_mut(&machine) else { continue };
            let mut assignment = Assignment::new(
                &task,
                attempt,
                spec.team.clone(),
                spec.resources,
                AssignmentState::Planned,
                now,
            );
            assignment.after_fetches = slow_fetch && m.has_image(&spec.image);
            m.assignments.insert(task.clone(), assignment);
            self.pending_records.insert(machine.clone());
            self.recount(&machine, now);
            if let Some(job_state) = self.job_states.get_mut(&request.job) {
                job_state.place(index, machine.clone());
                job_state.attempt = Some(attempt);
                job_state.promised = job_state.promised.saturating_sub(1);
                if job_state.promised == 0 {
                    job_state.preempting_until = None;
                }
            }
            if let Some(m) = self.machines.get_mut(&machine)
                && m.held.as_ref().is_some_and(|(job, _)| *job == request.job)
            {
                m.held = None;
            }
            placed.push((task, machine));
        }
        if gang && placed.len() < spec.tasks as usize {
            for (task, machine) in &placed {
                self.stop_task(machine, task, 0.0, now);
            }
            return 0;
        }
        for (task, machine) in &placed {
            tracing::debug!(%task, %machine, kind = %spec.kind, "placed");
        }
        placed.len()
    }

    /// Everything the rules need, whatever a controller proposed.
    pub(super) fn may_place(
        &self,
        task: &TaskId,
        spec: &JobSpec,
        team: &crate::settings::Team,
        machine: &MachineId,
        now: MonotonicTime,
    ) -> bool {
        let (Some(job_state), Some(m)) = (self.job_states.get(&task.job), self.machines.get(machine)) else {
            return false;
        };
        let used = self.used.get(&spec.team).copied().unwrap_or_default();
        let zones = self.zone_capacity(&task.job, job_state);
        let unknown = self.machines_with_unknown_tasks.iter().filter_map(|id| self.machines.get(id));
        let unknown = unknown.into_iter().any(|m| m.unknown_tasks.contains(task));
        !job_state.finishing
            && !job_state.done().has(task.index)
            && !job_state.placed().contains_key(&task.index)
            && !unknown
            && m.open_for_tasks(now)
            && m.held_for(now).is_none_or(|j| *j == task.job)
            && !m.assignments.contains_key(task)
            && spec.resources.fits_in(&m.free())
            && m.record_holds(self.assignment_bytes(task, spec), self.settings.state.value_bytes)
            && spec.type_allowed(&m.type_name)
            && (spec.spot || !m.spot)
            && zones.iter().any(|(z, n)| *z == m.zone && *n > 0)
            && assignments::within_limit(team, &used, &spec.resources)
    }

    /// Whether the work fits its controller's block, if need be after moving machines there that
    /// fit it from blocks without a round under way. If not, it waits.
    ///
    /// What an earlier ask of the same look, a more urgent one, counts on stays where it is: a scarce machine
    /// used to go from block to block, and the least urgent ask had it in the end (inc-2777).
    fn make_fit(
        &mut self,
        node: &NodeName,
        request: &PlacementRequest,
        field: &mut Field,
        claims: &mut Vec<Claim>,
    ) -> bool {
        // A gang needs room for all its tasks at once.
        let gang = request.job_type == JobType::Gang;
        let need = if gang { request.tasks.len() as u32 } else { 1 };
        let (mut own, mut all): (BTreeMap<&Zone, u32>, BTreeMap<&Zone, u32>) = Default::default();
        let mut found = Vec::new();
        let Field { views, owners, whole } = field;
        for (i, v) in views.iter().enumerate().filter(|(_, v)| request.allows(v)) {
            let slots = v.free.count_of(&request.resources);
            match &owners[i] {
                Some(owner) if owner == node => *own.entry(&v.zone).or_default() += slots,
                Some(owner) if self.pending_rounds.contains_key(owner) || claimed(claims, owner, v) => {
                    continue;
                }
                _ => found.push(i),
            }
            *all.entry(&v.zone).or_default() += slots;
        }
        // Room counts as far as the zone may take tasks of the job, with `together` in one zone.
        let cap = |zone: &Zone| request.zones.iter().find(|(z, _)| z == zone).map_or(0, |(_, n)| *n);
        let capacity = |slots: &BTreeMap<&Zone, u32>| -> u32 {
            let in_zone = slots.iter().map(|(z, n)| (*n).min(cap(z)));
            if gang && request.together { in_zone.max().unwrap_or(0) } else { in_zone.sum() }
        };
        let mut places: u32 = own.values().sum();
        if capacity(&own) < need {
            let version = self.capacity_version;
            let Some(job_state) = self.job_states.get_mut(&request.job) else { return false };
            if capacity(&all) < need {
                // Of a part of what is open nothing follows for the rest.
                job_state.tried = if *whole { version } else { job_state.tried };
                job_state.reason = "no machine has room for it";
                return false;
            }
            job_state.reason = "machines move to its controller's block";
            let best = all.iter().max_by_key(|(_, n)| **n).map(|(z, _)| *z);
            let wanted = if gang { usize::MAX } else { request.tasks.len() };
            let fits = |zone: &Zone| !(gang && request.together) || best == Some(zone);
            let mut moved = 0;
            for i in found.into_iter().filter(|i| fits(&views[*i].zone)) {
                let v = &views[i];
                // Each that goes may leave the next one claimed.
                let owner = owners[i].clone();
                if moved >= wanted || owner.as_ref().is_some_and(|owner| claimed(claims, owner, v)) {
                    continue;
                }
                for claim in claims.iter_mut().filter(|c| Some(&c.node) == owner.as_ref()) {
                    claim.spare -=
                        if claim.request.allows(v) { v.free.count_of(&claim.request.resources) } else { 0 };
                }
                places += v.free.count_of(&request.resources);
                self.partitions.transfer(node, [v.id.clone()]);
                owners[i] = Some(node.clone());
                moved += 1;
            }
        }
        let spare = places.saturating_sub(request.tasks.len() as u32);
        claims.push(Claim { node: node.clone(), request: request.clone(), spare });
        true
    }
}

/// Whether an earlier ask of `owner`'s has no more places than it needs without this machine.
fn claimed(claims: &[Claim], owner: &NodeName, v: &MachineView) -> bool {
    let its = claims.iter().filter(|c| c.node == *owner && c.request.allows(v));
    its.into_iter().any(|c| c.spare < v.free.count_of(&c.request.resources))
}

fn ask_for(id: &JobId, spec: &JobSpec, tasks: Vec<u32>, zones: Vec<(Zone, u32)>) -> PlacementRequest {
    PlacementRequest {
        job: id.clone(),
        kind: spec.kind.clone(),
        job_type: spec.job_type,
        tasks,
        resources: spec.resources,
        types: spec.types.clone(),
        spot: spec.spot,
        zones,
        together: spec.together,
        image: spec.image.clone(),
        image_gb: spec.image_gb,
    }
}

#[cfg(test)]
mod tests;
