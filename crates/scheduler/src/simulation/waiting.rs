//! Checks that no job starves: once the faults have ended, no job waits for long while a suitable machine has
//! free resources and the job's team is below its limit. The check uses only what the simulated components
//! observe.

#![cfg(test)]

use super::rules::is_allowed_on;
use super::workers::{Amount, Task, Worker};
use super::{Simulation, Stage, User};
use serde_json::Value;
use std::collections::BTreeMap;

/// How long a job may wait although it could start, in milliseconds.
const MAX_WAIT_MS: u64 = 90_000;

fn amount(body: &Value, key: &str) -> f64 {
    body[key].as_f64().unwrap_or(0.0)
}

/// Since when each job has waited although it could start.
#[derive(Default)]
pub(super) struct Waiting {
    since: BTreeMap<String, u64>,
}

impl Waiting {
    /// Records the jobs that wait now, and returns a message about one that has waited for too long.
    pub(super) fn overdue_job(&mut self, simulation: &Simulation) -> Option<String> {
        let fits = |user: &&User| {
            user.stage != Stage::Finished
                && simulation.rules.accepted(&user.id)
                && simulation.could_start(user)
        };
        let now: Vec<&str> = simulation.users.iter().filter(fits).map(|user| user.id.as_str()).collect();
        self.since.retain(|id, _| now.contains(&id.as_str()));
        for id in now {
            let since = *self.since.entry(id.to_string()).or_insert(simulation.now);
            if simulation.now - since > MAX_WAIT_MS {
                return Some(format!("{id} has waited since {since} ms although it could start"));
            }
        }
        None
    }
}

/// What a job needs to start: the resources of its next task or of its whole gang.
struct Need<'a> {
    id: &'a str,
    body: &'a Value,
    /// How many tasks the job has.
    tasks: u64,
    /// How many tasks must start together.
    together: u64,
    /// The resources of one task.
    task: Amount,
}

impl<'a> Need<'a> {
    fn of(user: &'a User) -> Self {
        let body = &user.body;
        let tasks = body["shards"].as_u64().unwrap_or(1);
        Self {
            id: &user.id,
            body,
            tasks,
            together: if body["shape"] == "ensemble" { tasks } else { 1 },
            task: Amount { cpus: amount(body, "vcpus"), gpus: amount(body, "accelerators") },
        }
    }

    fn is_gang(&self) -> bool {
        self.body["shape"] == "ensemble"
    }

    /// Returns how many of the job's tasks fit into a machine's free resources.
    fn slots(&self, total: Amount, used: Amount) -> u64 {
        let slots = |free: f64, each: f64| if each > 0.0 { (free / each + 1e-9) as u64 } else { u64::MAX };
        slots(total.cpus - used.cpus, self.task.cpus).min(slots(total.gpus - used.gpus, self.task.gpus))
    }
}

impl Simulation {
    /// Whether a task of the job that is on no machine could start now; for a gang, whether all its tasks
    /// could.
    fn could_start(&self, user: &User) -> bool {
        let need = Need::of(user);
        self.may_start(&need) && self.is_within_limit(&need) && self.fits(&need)
    }

    /// Whether the job's state allows a start: it is unfinished, its dependencies are done, and some of its
    /// tasks are neither completed nor on a machine.
    fn may_start(&self, need: &Need) -> bool {
        let mut dependencies = need.body["awaits"].as_array().into_iter().flatten().filter_map(Value::as_str);
        if self.rules.terminal_status(need.id).is_some()
            || dependencies.any(|job| self.rules.terminal_status(job) != Some("done"))
        {
            return false;
        }
        let is_somewhere = |name: &str| {
            let is_it = |task: &Task| task.name == name && !task.has_exited();
            self.workers.iter().any(|worker| worker.tasks.iter().any(is_it))
        };
        let names = (0..need.tasks).map(|index| format!("{}/{index}", need.id));
        let missing = names.filter(|name| !self.rules.task_done(name) && !is_somewhere(name)).count() as u64;
        // A gang restarts only after its remaining tasks have ended.
        missing > 0 && !(need.is_gang() && missing < need.tasks)
    }

    fn is_within_limit(&self, need: &Need) -> bool {
        let team = &need.body["owner"];
        let is_of_team = |job: &str| self.rules.body(job).filter(|body| body["owner"] == *team);
        let used: f64 = self.workers.iter().map(|worker| worker.used_resources(is_of_team).gpus).sum();
        let limit = self.rules.limit(team.as_str().unwrap_or_default());
        used + need.task.gpus * need.together as f64 <= limit
    }

    /// Whether healthy machines that the job's constraints allow have the free resources, with regard to
    /// spread and colocation.
    fn fits(&self, need: &Need) -> bool {
        let mut slots: BTreeMap<&str, u64> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.is_fit(self.now)) {
            let used = worker.used_resources(|job| self.rules.body(job));
            let is_allowed = is_allowed_on(need.body, worker);
            *slots.entry(&worker.zone).or_default() +=
                if is_allowed { need.slots(worker.resources(), used) } else { 0 };
        }
        let running_in = |zone: &str| {
            let tasks =
                self.workers.iter().filter(|worker| worker.zone == zone).flat_map(|worker| &worker.tasks);
            tasks.filter(|task| task.job() == need.id && !task.has_exited()).count() as u64
        };
        if need.body["together"] == true {
            return slots.iter().any(|(zone, free)| {
                let runs_elsewhere = slots.keys().any(|other| other != zone && running_in(other) > 0);
                !runs_elsewhere && *free >= need.together
            });
        }
        if need.body["spread"] == true {
            let most_in_zone = need.tasks.div_ceil(2);
            let left =
                slots.iter().map(|(zone, slots)| (*slots).min(most_in_zone.saturating_sub(running_in(zone))));
            return left.sum::<u64>() >= need.together;
        }
        slots.values().sum::<u64>() >= need.together
    }
}

impl Worker {
    fn is_fit(&self, now: u64) -> bool {
        self.up
            && self.taken_at.is_none()
            && now >= self.hung_until
            && now >= self.commands_lost_until
            && now >= self.heartbeats_lost_until
    }
}
