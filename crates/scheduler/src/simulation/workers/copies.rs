//! Copies of heartbeats that arrive late or are kept for the next leader, and copies of start commands that
//! arrive once they would do harm.

use super::Worker;
use crate::election::LEADER_KEY;
use crate::simulation::Simulation;
use crate::simulation::events::Event;
use crate::simulation::faults::{KeptCopy, StartCopy};
use rand::RngExt;
use serde_json::Value;

/// The longest time after which a copy of a start command arrives, in milliseconds.
const START_COPY_WITHIN_MS: u64 = 100;

impl Simulation {
    /// Copies a heartbeat as the active faults require: to arrive late, and to be kept for the next leader.
    pub(super) fn copy_heartbeat(&mut self, machine: usize, body: &str) {
        let late = self.faults.late_heartbeats;
        if late > 0.0 && self.rng.random_bool(late) {
            let ms = self.rng_ms(2_000, 2 * self.lease_ms());
            let node = self.rng.random_range(0..self.settings.len());
            self.after(ms, Event::HeartbeatCopy { machine, node, body: body.to_string() });
        }
        let kept = self.faults.copies_for_next_leader;
        if kept > 0.0 && self.rng.random_bool(kept) {
            let leader_key = self.state.revision(LEADER_KEY);
            self.faults.kept_copies.push(KeptCopy { leader_key, machine, body: body.to_string() });
        }
    }

    /// Sends the kept copies of heartbeats once there is a new leader: half of them to every node, the rest
    /// to the leader.
    pub(in crate::simulation) fn release_copies(&mut self) {
        if self.faults.kept_copies.is_empty() {
            return;
        }
        let Some(leader) = self.leader() else { return };
        let leader_key = self.state.revision(LEADER_KEY);
        let copies = std::mem::take(&mut self.faults.kept_copies);
        let (released, kept): (Vec<KeptCopy>, Vec<KeptCopy>) =
            copies.into_iter().partition(|copy| copy.leader_key != leader_key);
        self.faults.kept_copies = kept;
        for KeptCopy { machine, body, .. } in released {
            if self.rng.random_bool(0.5) {
                self.count("copy to every node as a leader begins");
                for node in 0..self.nodes.len() {
                    let ms = self.rng_ms(1, 100);
                    self.after(ms, Event::HeartbeatCopy { machine, node, body: body.clone() });
                }
                continue;
            }
            self.count("copy for the next leader");
            let ms = self.rng_ms(100, 6_000);
            self.after(ms, Event::HeartbeatCopy { machine, node: leader, body });
        }
    }

    /// Keeps copies of the start commands in a request that a worker has carried out, as the active fault
    /// requires.
    pub(super) fn copy_starts(&mut self, machine: usize, body: &str) {
        let share = self.faults.start_copies;
        if share == 0.0 {
            return;
        }
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let commands = value["orders"].as_array().into_iter().flatten();
        for command in commands.filter(|command| command["verb"] == "start") {
            if self.rng.random_bool(share) {
                let task = command["shard"].as_str().unwrap_or_default().to_string();
                let body = body.to_string();
                self.faults.kept_starts.push(StartCopy { machine, body, task, sent_after_move: false });
            }
        }
    }

    /// Sends the kept copies of start commands whose task has moved or whose job was cancelled.
    pub(in crate::simulation) fn release_start_copies(&mut self) {
        for mut copy in std::mem::take(&mut self.faults.kept_starts) {
            if !self.workers[copy.machine].up {
                continue;
            }
            if self.rules.cancelled_too_long_ago(super::tasks::job_of(&copy.task), self.now) {
                self.send_start_copy(&copy, "a copy of a start after its job was cancelled");
                continue;
            }
            if !copy.sent_after_move && self.is_present_elsewhere(&copy) {
                self.send_start_copy(&copy, "a copy of a start after its task moved");
                copy.sent_after_move = true;
            }
            self.faults.kept_starts.push(copy);
        }
    }

    fn send_start_copy(&mut self, copy: &StartCopy, situation: &'static str) {
        let ms = self.rng_ms(1, START_COPY_WITHIN_MS);
        let StartCopy { machine, body, .. } = copy.clone();
        self.after(ms, Event::CommandCopy { machine, body, situation });
    }

    fn is_present_elsewhere(&self, copy: &StartCopy) -> bool {
        let others = self.workers.iter().enumerate().filter(|(machine, _)| *machine != copy.machine);
        let mut tasks = others.flat_map(|(_, worker)| &worker.tasks);
        tasks.any(|task| task.name == copy.task && task.present())
    }

    /// Handles a copy of a direct command. A machine that hangs handles it after the hang.
    pub(in crate::simulation) fn receive_command_copy(
        &mut self,
        machine: usize,
        body: String,
        situation: &'static str,
    ) {
        let Worker { up, hung_until, commands_lost_until, .. } = self.workers[machine];
        if !up || commands_lost_until > self.now {
            return;
        }
        if hung_until > self.now {
            return self.at(hung_until, Event::CommandCopy { machine, body, situation });
        }
        if self.execute_command(machine, &body) {
            self.count(situation);
        }
    }
}
