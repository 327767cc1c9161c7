//! Checks every rule of the protocol from what the simulated components observe. The text of a failure begins
//! with the rule's name.

use super::Simulation;
use super::workers::{Task, Worker};
use crate::settings::Team;
use crate::types::{JobId, MachineId, TeamName};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What users had been told about a job by some moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Known {
    pub accepted: bool,
    pub terminal_status: Option<String>,
}

/// What users requested and were told about a job so far.
#[derive(Debug, Default)]
struct JobHistory {
    accepted: bool,
    terminal_status: Option<String>,
    /// When a user was first told that the job is cancelled, in milliseconds.
    cancelled_at: Option<u64>,
    cancel_requested: bool,
}

/// By how much a team may exceed its limit, to allow for rounding errors.
const QUOTA_TOLERANCE: f64 = 1e-6;

/// What the rules need to know about jobs, and which rules were broken.
pub struct Rules {
    /// The broken rules, with their times; the simulation stops at the first.
    pub broken: Vec<String>,
    /// How long a cancelled job's tasks may keep running, in milliseconds.
    cancel_ms: u64,
    /// The number of accelerators that each team may use.
    limits: BTreeMap<String, f64>,
    /// The submissions, by job.
    bodies: BTreeMap<String, Value>,
    /// The indices of the completed tasks, by job.
    done: BTreeMap<String, BTreeSet<u64>>,
    histories: BTreeMap<String, JobHistory>,
    /// How many times a task has started.
    pub started: u64,
    pub starts: Vec<Start>,
}

/// The start of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// In milliseconds.
    pub at: u64,
    pub task: String,
    pub machine: MachineId,
}

/// A task that is present on a machine.
#[derive(Clone, Copy)]
struct PresentTask<'a> {
    worker: &'a Worker,
    task: &'a Task,
}

fn present_tasks(workers: &[Worker]) -> impl Iterator<Item = PresentTask<'_>> {
    let all =
        workers.iter().flat_map(|worker| worker.tasks.iter().map(move |task| PresentTask { worker, task }));
    all.filter(|present| present.task.present())
}

/// Splits a task's name into the job's ID and the task's index.
fn split(task: &str) -> (&str, u64) {
    let (job, index) = task.rsplit_once('/').unwrap_or((task, "0"));
    (job, index.parse().unwrap_or(0))
}

impl Rules {
    /// Creates the rules for teams with their limits. A cancelled job's tasks may keep running for `cancel_s`
    /// seconds.
    pub fn new(cancel_s: f64, teams: &BTreeMap<TeamName, Team>) -> Self {
        Self {
            broken: Vec::new(),
            cancel_ms: (cancel_s * 1000.0) as u64,
            limits: teams
                .iter()
                .map(|(name, team)| (name.to_string(), team.max_gpus.unwrap_or(f64::MAX)))
                .collect(),
            bodies: BTreeMap::new(),
            done: BTreeMap::new(),
            histories: BTreeMap::new(),
            started: 0,
            starts: Vec::new(),
        }
    }

    /// Returns a job's submission, if the job was submitted.
    pub fn body(&self, job: &str) -> Option<Value> {
        self.bodies.get(job).cloned()
    }

    /// Records that a user submits a job.
    pub fn record_submission(&mut self, id: &str, body: &Value) {
        self.bodies.insert(id.into(), body.clone());
    }

    /// Records that a user requests a job's cancellation.
    pub fn record_cancel_request(&mut self, id: &str) {
        self.histories.entry(id.into()).or_default().cancel_requested = true;
    }

    /// Whether a task has completed.
    pub fn task_done(&self, task: &str) -> bool {
        let (job, index) = split(task);
        self.done.get(job).is_some_and(|done| done.contains(&index))
    }

    /// Records that a task has completed; with `gang`, that all tasks of its job have.
    pub fn record_completion(&mut self, task: &str, gang: bool) {
        let (job, index) = split(task);
        let tasks = self.bodies[job]["shards"].as_u64().unwrap_or(1);
        let done = self.done.entry(job.into()).or_default();
        if gang {
            done.extend(0..tasks);
        } else {
            done.insert(index);
        }
    }

    /// Whether all tasks of a job have completed.
    pub fn all_done(&self, job: &str) -> bool {
        let tasks = self.bodies.get(job).and_then(|body| body["shards"].as_u64()).unwrap_or(u64::MAX);
        self.done.get(job).is_some_and(|done| done.len() as u64 >= tasks)
    }

    /// Returns the jobs that a job depends on directly.
    fn dependencies(&self, job: &str) -> Vec<String> {
        let named = self.bodies.get(job).and_then(|body| body["awaits"].as_array());
        named.into_iter().flatten().filter_map(|id| id.as_str().map(String::from)).collect()
    }

    /// Returns a job and all jobs that it depends on, directly or transitively.
    fn with_dependencies(&self, job: &str) -> BTreeSet<String> {
        let mut seen = BTreeSet::new();
        let mut next = vec![job.to_string()];
        while let Some(job) = next.pop() {
            if seen.insert(job.clone()) {
                next.extend(self.dependencies(&job));
            }
        }
        seen
    }

    /// Whether the job was cancelled so long ago that none of its tasks may be on a machine.
    pub(super) fn cancelled_too_long_ago(&self, job: &str, now: u64) -> bool {
        let cancelled_at = self.histories.get(job).and_then(|history| history.cancelled_at);
        cancelled_at.is_some_and(|at| now > at + self.cancel_ms)
    }

    /// Records that a rule was broken.
    pub fn fail(&mut self, now: u64, what: String) {
        self.broken.push(format!("at {now} ms: {what}"));
    }

    /// Checks the start of a task that has its image: its dependencies, its machine and its job's state.
    pub fn check_start(&mut self, now: u64, worker: &Worker, task: &str, workers: &[Worker]) {
        self.started += 1;
        self.starts.push(Start { at: now, task: task.into(), machine: worker.id.clone() });
        let (job, _) = split(task);
        let Some(body) = self.body(job) else {
            return self.fail(now, format!("invented: {task} starts, but its job was not submitted"));
        };
        for dependency in self.dependencies(job) {
            if !self.all_done(&dependency) {
                self.fail(
                    now,
                    format!("too_early: {task} starts, but its dependency {dependency} is not done"),
                );
            }
        }
        let Worker { id: machine, type_name, zone, spot, .. } = worker;
        let runs_elsewhere =
            present_tasks(workers).any(|other| other.task.name == task && other.worker.id != *machine);
        if runs_elsewhere {
            self.fail(now, format!("ran_twice: {task} starts on {machine} while it runs on another machine"));
        }
        if !is_allowed_on(&body, worker) || !is_allowed_with_others(&body, worker, task, workers) {
            self.fail(
                now,
                format!("wrong_place: {task} starts on {machine} ({type_name}, {zone}, spot {spot})"),
            );
        }
        if self.cancelled_too_long_ago(job, now) {
            self.fail(now, format!("ran_cancelled: {task} starts although its job was cancelled"));
        }
    }

    /// Returns what users have been told about a job so far.
    pub fn known(&self, id: &str) -> Known {
        let history = self.histories.get(id);
        history.map_or(Known::default(), |history| Known {
            accepted: history.accepted,
            terminal_status: history.terminal_status.clone(),
        })
    }

    /// Checks an answer that reached its user against `before`, what users had been told when the request was
    /// sent: the answers to two overlapping requests may arrive in either order.
    pub fn check_answer(
        &mut self,
        now: u64,
        id: &str,
        before: &Known,
        submitting: bool,
        status: u16,
        phase: &str,
    ) {
        match status {
            422 if submitting && self.depends_only_on_accepted_jobs(id) => {
                self.fail(now, format!("refused: {id}, although all its dependencies were accepted"));
            }
            200 | 201 => self.check_state(now, id, before, phase),
            404 if before.accepted => self.fail(now, format!("forgotten: accepted job {id} got 404")),
            400 | 422 if before.accepted && submitting => {
                self.fail(
                    now,
                    format!("forgotten: accepted job {id} got {status} for a repeated submission"),
                );
            }
            _ => {}
        }
    }

    /// Whether a job has dependencies, and all of them are accepted jobs that can complete.
    fn depends_only_on_accepted_jobs(&self, id: &str) -> bool {
        let dependencies = self.dependencies(id);
        let is_daemon = |job: &String| self.bodies.get(job).is_some_and(|body| body["shape"] == "daemon");
        !dependencies.is_empty()
            && dependencies.iter().all(|job| self.accepted(job) && !is_daemon(job) && job != id)
    }

    /// Checks a job's state that a user was told: it must be possible and consistent with earlier answers.
    fn check_state(&mut self, now: u64, id: &str, before: &Known, phase: &str) {
        let all_done = self.all_done(id);
        let jobs = self.with_dependencies(id);
        let cancel_requested =
            jobs.iter().any(|job| self.histories.get(job).is_some_and(|history| history.cancel_requested));
        let is_orphan = jobs.iter().any(|job| self.cancelled_too_long_ago(job, now));
        let is_terminal = matches!(phase, "done" | "withdrawn");
        let history = self.histories.entry(id.into()).or_default();
        history.accepted = true;
        let told_before = if is_terminal { &history.terminal_status } else { &before.terminal_status };
        let mut failures = Vec::new();
        if let Some(status) = told_before
            && status != phase
        {
            failures.push(format!("went_back: {id} was {status} and is now {phase}"));
        }
        if is_terminal {
            history.terminal_status = Some(phase.into());
        }
        if phase == "withdrawn" {
            history.cancelled_at.get_or_insert(now);
        }
        if phase == "done" && !all_done {
            failures.push(format!("not_done: {id} is reported done, but tasks have not completed"));
        }
        if phase == "withdrawn" && !cancel_requested {
            failures.push(format!("went_back: {id} is withdrawn, but no user cancelled it or a dependency"));
        }
        if is_orphan && phase != "withdrawn" {
            failures.push(format!("orphaned: {id} is {phase}, although it or a dependency was cancelled"));
        }
        failures.into_iter().for_each(|failure| self.fail(now, failure));
    }

    /// Returns the terminal status that users were told, if any.
    pub fn terminal_status(&self, id: &str) -> Option<&str> {
        self.histories.get(id).and_then(|history| history.terminal_status.as_deref())
    }

    /// Returns the number of accelerators that a team may use.
    pub fn limit(&self, team: &str) -> f64 {
        self.limits.get(team).copied().unwrap_or(0.0)
    }

    /// Whether a user has been told that the job is accepted.
    pub fn accepted(&self, id: &str) -> bool {
        self.histories.get(id).is_some_and(|history| history.accepted)
    }
}

/// Whether a job's constraints allow a machine.
pub(super) fn is_allowed_on(body: &Value, worker: &Worker) -> bool {
    let allows_type = |types: &Vec<Value>| types.iter().any(|name| name == worker.type_name.as_str());
    body["flavors"].as_array().is_none_or(allows_type)
        && body["region"].as_str().is_none_or(|zone| zone == worker.zone)
        && (!worker.spot || body["preemptible"] == true)
}

/// Whether a job's spread or colocation allows a task on a machine, given the job's other tasks.
fn is_allowed_with_others(body: &Value, worker: &Worker, task: &str, workers: &[Worker]) -> bool {
    let (job, _) = split(task);
    let others = || present_tasks(workers).filter(|other| other.task.job() == job && other.task.name != task);
    let in_zone = others().filter(|other| other.worker.zone == worker.zone).count() as u64;
    let in_other_zones = others().filter(|other| other.worker.zone != worker.zone).count();
    let most_in_zone = body["shards"].as_u64().unwrap_or(1).div_ceil(2);
    (body["spread"] != true || in_zone < most_in_zone) && (body["together"] != true || in_other_zones == 0)
}

impl Simulation {
    /// Checks the quotas and cancellations over all tasks that are present on machines now.
    pub fn check_present(&mut self) {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut failures = Vec::new();
        for PresentTask { worker, task } in present_tasks(&self.workers) {
            let Some(body) = self.rules.bodies.get(task.job()) else { continue };
            let owner = body["owner"].as_str().unwrap_or_default().to_string();
            *used.entry(owner).or_default() += body["accelerators"].as_f64().unwrap_or(0.0);
            if self.rules.cancelled_too_long_ago(task.job(), self.now) {
                failures.push(format!("ran_cancelled: {} still runs on {}", task.name, worker.id));
            }
        }
        for (team, used) in used {
            if used > self.rules.limit(&team) + QUOTA_TOLERANCE {
                failures.push(format!("quota: team {team} uses {used} accelerators"));
            }
        }
        let now = self.now;
        failures.into_iter().for_each(|failure| self.rules.fail(now, failure));
    }

    /// Checks that a node sends no start command for a job that it knows to have finished. Commands sent
    /// before the node knew are allowed; `check_present` checks that such tasks end in time.
    pub(super) fn check_commands(&mut self, node: usize, body: &str) {
        if !body.contains("\"start\"") {
            return;
        }
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let commands = value["orders"].as_array().into_iter().flatten();
        for command in commands.filter(|command| command["verb"] == "start") {
            let task = command["shard"].as_str().unwrap_or_default();
            let (job, _) = task.split_once('/').unwrap_or((task, ""));
            let controller = self.nodes[node].controller.as_ref();
            if controller.is_some_and(|controller| controller.knows_finished(&JobId::from(job))) {
                let failure = format!(
                    "node {node} sends a start of {task} although it knows that the job has finished"
                );
                self.rules.fail(self.now, failure);
            }
        }
    }
}
