//! Copies of heartbeats that arrive late or are kept for the next leader.

use crate::election::LEADER_KEY;
use crate::simulation::Simulation;
use crate::simulation::events::Event;
use crate::simulation::faults::KeptCopy;
use rand::RngExt;

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
}
