//! The scheduling pass: sorts the waiting tasks by urgency, distributes them among the controllers,
//! and builds a round for each controller from its requests and the machines of its partition.

use super::Leader;
use super::candidates::Candidates;
use super::partition_moves::Claim;
use super::scheduling_rounds::Round;
use crate::assignments;
use crate::jobs::{JobSpec, JobType, WaitingReason};
use crate::placement::{MachineView, PlacementRequest};
use crate::types::{Attempt, Duration, JobId, MachineId, MonotonicTime, NodeName, Resources, TaskId};
use crate::types::{TeamName, Zone};
use crate::workers::MachineStatus;
use pearford_recovery::LeaderAction;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of searches of all machines for preemption in one pass.
const PREEMPTIONS_PER_PASS: usize = 2;
/// Maximum number of a job's waiting tasks that count when machines are divided among controllers.
const MAX_WAITING_COUNTED: u32 = 1000;

/// The state of a scheduling pass.
struct Pass<'a> {
    /// Controllers that may receive a round.
    live: &'a BTreeSet<NodeName>,
    own_node: &'a NodeName,
    candidates: Candidates,
    /// Capacity that the requests handled so far need in their controllers' partitions.
    claims: Vec<Claim>,
    /// Searches for preemption that this pass may still make.
    searches_left: usize,
    now: MonotonicTime,
}

impl Leader {
    /// The rounds to run now, one for each controller that has requests.
    pub(super) fn build_rounds(
        &mut self,
        live: &BTreeSet<NodeName>,
        own_node: &NodeName,
        now: MonotonicTime,
    ) -> Vec<Round> {
        self.divide_partitions_if_due(live, own_node, now);
        let mut requests = self.waiting_requests(self.settings.operator.round_tasks, now);
        let max_records = self.limit_requests_to_write_budget(&mut requests);
        if requests.is_empty() {
            return Vec::new();
        }
        let mut candidates = self.candidates(&requests, now);
        if let Some(records) = max_records {
            self.limit_candidates_to_write_budget(&mut candidates, &requests, records);
        }
        let searches_left = PREEMPTIONS_PER_PASS;
        let mut pass = Pass { live, own_node, candidates, claims: Vec::new(), searches_left, now };
        let mut requests_by_node: BTreeMap<NodeName, Vec<PlacementRequest>> = BTreeMap::new();
        for request in requests {
            if let Some((node, request)) = self.prepare_offer(&mut pass, request) {
                requests_by_node.entry(node).or_default().push(request);
            }
        }
        let rounds = requests_by_node.into_iter();
        rounds.filter_map(|(node, requests)| self.build_round(node, requests, &pass.candidates)).collect()
    }

    /// Divides the machines among the controllers again if that is due and no round is in progress.
    fn divide_partitions_if_due(
        &mut self,
        live: &BTreeSet<NodeName>,
        own_node: &NodeName,
        now: MonotonicTime,
    ) {
        if !self.partitions.needs_division(live, now) || self.rounds.any_pending() {
            return;
        }
        let mut waiting_tasks: BTreeMap<NodeName, u32> = live.iter().map(|node| (node.clone(), 0)).collect();
        for job_state in self.job_states.values() {
            let node =
                if live.contains(&job_state.assigned_node) { &job_state.assigned_node } else { own_node };
            *waiting_tasks.entry(node.clone()).or_default() +=
                job_state.waiting_count().min(MAX_WAITING_COUNTED);
        }
        let up = self.machines.iter().filter(|machine| machine.status == MachineStatus::Up);
        let up: BTreeSet<MachineId> = up.map(|machine| machine.id.clone()).collect();
        let lease = Duration::from_secs_f64(self.settings.operator.block_lease_s);
        self.partitions.divide(&up, &waiting_tasks, lease, now);
    }

    /// Requests for waiting tasks, most urgent first, within the teams' limits. The total is at most
    /// `max_tasks`, except that a gang is never split.
    fn waiting_requests(&mut self, max_tasks: usize, now: MonotonicTime) -> Vec<PlacementRequest> {
        let mut ids: Vec<JobId> = self
            .job_states
            .iter()
            .filter(|(_, job_state)| {
                job_state.tasks_in_round == 0 && !job_state.finishing && job_state.not_before <= now
            })
            .filter(|(_, job_state)| job_state.failed_capacity_version < self.capacity_version)
            .filter(|(_, job_state)| job_state.waiting_count() > 0)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.is_empty() {
            return Vec::new();
        }
        let guaranteed = self.guaranteed_jobs();
        ids.sort_by_cached_key(|id| self.scheduling_order(id, &self.job_states[id], &guaranteed));
        let mut used = self.used_including_offered();
        let mut requests = Vec::new();
        let mut left = max_tasks;
        for id in ids {
            if left == 0 {
                break;
            }
            if let Some(request) = self.request_for(&id, left, &mut used) {
                left = left.saturating_sub(request.tasks.len());
                requests.push(request);
            }
        }
        requests
    }

    /// Resources that each team uses, including those of tasks offered in rounds in progress.
    fn used_including_offered(&self) -> BTreeMap<TeamName, Resources> {
        let mut used = self.machines.used_by_teams().clone();
        for job_state in self.job_states.values().filter(|job_state| job_state.tasks_in_round > 0) {
            let spec = &job_state.job.spec;
            let sum = used.entry(spec.team.clone()).or_default();
            *sum = sum.plus(&spec.resources.times(f64::from(job_state.tasks_in_round)));
        }
        used
    }

    /// The request for a job's waiting tasks: at most `max_tasks`, or all tasks if the job is a gang.
    /// Adds the resources of the request to `used`.
    fn request_for(
        &mut self,
        id: &JobId,
        max_tasks: usize,
        used: &mut BTreeMap<TeamName, Resources>,
    ) -> Option<PlacementRequest> {
        let job_state = self.job_states.get(id)?;
        let spec = job_state.job.spec.clone();
        let zones = self.zone_capacity(id, job_state);
        let job_state = self.job_states.get_mut(id)?;
        let gang = job_state.is_gang();
        if gang && !job_state.placed().is_empty() {
            job_state.reason = WaitingReason::GangStillPlaced;
            return None;
        }
        let mut tasks = job_state.waiting(if gang { usize::MAX } else { max_tasks });
        let team = self.settings.teams.get(&spec.team)?;
        let sum = used.entry(spec.team.clone()).or_default();
        let fitting = (assignments::tasks_within_limit(team, sum, &spec.resources) as usize).min(tasks.len());
        if fitting == 0 || (gang && fitting < tasks.len()) {
            job_state.reason = WaitingReason::TeamAtLimit;
            job_state.failed_capacity_version = self.capacity_version;
            return None;
        }
        tasks.truncate(fitting);
        *sum = sum.plus(&spec.resources.times(tasks.len() as f64));
        Some(placement_request(id, &spec, tasks, zones))
    }

    /// The controller that will place the request, and the request with the tasks to offer; `None` if
    /// the request is not offered in this pass.
    fn prepare_offer(
        &mut self,
        pass: &mut Pass,
        mut request: PlacementRequest,
    ) -> Option<(NodeName, PlacementRequest)> {
        let job_state = self.job_states.get_mut(&request.job)?;
        if !pass.live.contains(&job_state.assigned_node) {
            job_state.assigned_node = pass.own_node.clone();
        }
        let node = job_state.assigned_node.clone();
        if self.rounds.is_pending_at(&node) {
            return None;
        }
        if request.job_type == JobType::Service {
            let withheld =
                self.withhold_for_image(&request, &pass.candidates, &mut pass.searches_left, pass.now)
                    as usize;
            request.tasks.truncate(request.tasks.len() - withheld.min(request.tasks.len()));
            if request.tasks.is_empty() {
                return None;
            }
        }
        // A request that doesn't fit is not offered: the round would find no placement either.
        if !self.fit_into_partition(&node, &request, &mut pass.candidates, &mut pass.claims) {
            self.free_resources_for(pass, &request);
            return None;
        }
        Some((node, request))
    }

    /// Preempts less urgent tasks for a request that does not fit, and holds machines for it if it is a
    /// gang.
    fn free_resources_for(&mut self, pass: &mut Pass, request: &PlacementRequest) {
        let may_preempt = pass.searches_left > 0
            && pass.candidates.complete
            && self.heartbeat_collection.allows(LeaderAction::Preempt);
        if may_preempt {
            pass.searches_left -= usize::from(self.preempt(request, pass.now));
        }
        if request.job_type == JobType::Gang && request.tasks.len() > 1 {
            self.hold_machines_for_gang(request, &mut pass.candidates, pass.now);
        }
    }

    /// The controller's round; `None` if it has no partition.
    fn build_round(
        &mut self,
        node: NodeName,
        requests: Vec<PlacementRequest>,
        candidates: &Candidates,
    ) -> Option<Round> {
        let partition = self.partitions.get(&node)?.id;
        let machines = candidates
            .in_partition_of(&node)
            .filter(|view| requests.iter().any(|request| request.allows(view)));
        let machines: Vec<MachineView> = machines.cloned().collect();
        for request in &requests {
            if let Some(job_state) = self.job_states.get_mut(&request.job) {
                job_state.tasks_in_round = request.tasks.len() as u32;
            }
        }
        Some(Round { node, partition, machines, requests })
    }

    /// Upper bound, over all attempt numbers, of the bytes that an assignment of the task takes in a
    /// machine's record.
    pub(super) fn assignment_bytes(&self, task: &TaskId, spec: &JobSpec) -> usize {
        assignments::assignment_bytes(task, Attempt(u64::MAX), &spec.team, &spec.resources)
    }
}

fn placement_request(
    id: &JobId,
    spec: &JobSpec,
    tasks: Vec<u32>,
    zones: Vec<(Zone, u32)>,
) -> PlacementRequest {
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
