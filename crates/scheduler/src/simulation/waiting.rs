//! No job is left waiting: once the troubles are over, none waits for long while a machine that fits has free resources and its
//! team is under its limit. Judged by what the stand-ins see.

#![cfg(test)]

use super::workers::{Task, Worker};
use super::{Simulation, Stage, User};
use serde_json::Value;
use std::collections::BTreeMap;

/// How long a job may wait although something fits.
const WAITS_MS: u64 = 90_000;

fn amount(body: &Value, key: &str) -> f64 {
    body[key].as_f64().unwrap_or(0.0)
}

/// Since when each job has waited although something fits.
#[derive(Default)]
pub struct Waiting {
    since: BTreeMap<String, u64>,
}

impl Waiting {
    /// Takes note of the jobs that wait now; one that has waited for too long.
    pub fn overdue_job(&mut self, w: &Simulation) -> Option<String> {
        let fits = |u: &&User| u.stage != Stage::Finished && w.rules.accepted(&u.id) && w.could_start(u);
        let now: Vec<&str> = w.users.iter().filter(fits).map(|u| u.id.as_str()).collect();
        self.since.retain(|id, _| now.contains(&id.as_str()));
        for id in now {
            let since = *self.since.entry(id.to_string()).or_insert(w.now);
            if w.now - since > WAITS_MS {
                return Some(format!("{id} has waited since {since} ms though something fits"));
            }
        }
        None
    }
}

impl Simulation {
    /// Whether a task of the job that is nowhere could start now: a whole gang's, if it is one.
    fn could_start(&self, user: &User) -> bool {
        let (id, body) = (&user.id, &user.body);
        let needs = body["awaits"].as_array().into_iter().flatten().filter_map(Value::as_str);
        if self.rules.terminal_status(id).is_some()
            || needs.into_iter().any(|n| self.rules.terminal_status(n) != Some("done"))
        {
            return false;
        }
        let all = body["shards"].as_u64().unwrap_or(1);
        let somewhere = |task: &str| {
            let there = |t: &Task| t.name == task && !t.has_exited();
            self.workers.iter().any(|w| w.tasks.iter().any(there))
        };
        let lacks = (0..all).map(|i| format!("{id}/{i}"));
        let lacks = lacks.filter(|t| !self.rules.task_done(t) && !somewhere(t)).count() as u64;
        let gang = body["shape"] == "ensemble";
        if lacks == 0 || gang && lacks < all {
            return false; // a gang that is partly there makes way first
        }
        let (cpus, gpus) = (amount(body, "vcpus"), amount(body, "accelerators"));
        let wanted = if gang { all } else { 1 };
        let used: f64 = self
            .workers
            .iter()
            .map(|w| w.used_resources(|j| self.rules.body(j).filter(|b| b["owner"] == body["owner"])).gpus)
            .sum();
        if used + gpus * wanted as f64 > self.rules.limit(body["owner"].as_str().unwrap_or_default()) {
            return false;
        }
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| w.is_fit(self.now)) {
            let allowed =
                body["flavors"].as_array().is_none_or(|f| f.iter().any(|f| f == w.type_name.as_str()))
                    && body["region"].as_str().is_none_or(|z| z == w.zone)
                    && (!w.spot || body["preemptible"] == true);
            let total = w.resources();
            let used = w.used_resources(|job| self.rules.body(job));
            let slots =
                |free: f64, each: f64| if each > 0.0 { (free / each + 1e-9) as u64 } else { u64::MAX };
            let slots = slots(total.cpus - used.cpus, cpus).min(slots(total.gpus - used.gpus, gpus));
            *zones.entry(&w.zone).or_default() += if allowed { slots } else { 0 };
        }
        let mates = |zone: &str| {
            let here = self.workers.iter().filter(|w| w.zone == zone).flat_map(|w| &w.tasks);
            here.filter(|t| t.job() == id && !t.has_exited()).count() as u64
        };
        let cap = all.div_ceil(2);
        match (body["together"] == true, body["spread"] == true) {
            (true, _) => zones.iter().any(|(zone, slots)| {
                let elsewhere = zones.keys().any(|other| other != zone && mates(other) > 0);
                !elsewhere && *slots >= wanted
            }),
            (_, true) => {
                let left = zones.iter().map(|(zone, slots)| (*slots).min(cap.saturating_sub(mates(zone))));
                left.sum::<u64>() >= wanted
            }
            _ => zones.values().sum::<u64>() >= wanted,
        }
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
