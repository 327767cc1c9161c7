//! Faults that a day brings about: what they are, and how each changes the stand-ins and links.

use super::Simulation;
use super::events::Event;
use super::links::Host;
use super::workers::Worker;
use crate::types::Revision;
use rand::RngExt;

/// How long a spot machine runs on after the cloud has announced that it takes it back, in milliseconds.
const SPOT_NOTICE_MS: u64 = 8_000;
/// How many machines beyond those there are the fault of held commands covers: some are added while it lasts.
const MACHINES_TO_COME: usize = 100;

/// A change of what the simulated surroundings do to the nodes. Times are in milliseconds, shares from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A node's process ends, and starts again later.
    Crash(usize),
    /// The key-value store is down for everybody, or up again.
    StoreOutage(bool),
    /// The key-value store refuses a node, or serves it again.
    StoreRefuses(usize, bool),
    /// Cuts (true) or mends a link both ways; `late`: what was sent meanwhile arrives after.
    Cut { a: Host, b: Host, on: bool, late: bool },
    /// The cloud refuses every request, or answers again.
    CloudOutage(bool),
    /// Holds back what goes from `a` to `b` alone, and delivers it in its order when that has ended.
    Hold { a: Host, b: Host, on: bool },
    /// A fault of whichever node leads then, for so long.
    Leader(LeaderFault, u64),
    /// That share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones.
    LateWrites(f64),
    /// Of that share of the workers' heartbeats a copy arrives again, 2 s to two leases later.
    LateHeartbeats(f64),
    /// That share of transactions is carried out at once, and only the answer is lost.
    LostStoreAnswers(f64),
    /// Of that share of the workers' heartbeats a copy is kept until a new leader has acted, and sent to it then.
    HeartbeatCopiesForNextLeader(f64),
    /// The key-value store takes up to so long for an answer.
    SlowStore(u64),
    /// Users cancel that many jobs that run and have long to go, within a fifth of a second; up to eight of their
    /// machines hang for so long.
    CancelNow(usize, u64),
    /// That share of the jobs that end is cancelled at the moment of the end.
    CancelAtEnd(f64),
    /// Users send requests to all nodes within milliseconds after a job was accepted, ended or cancelled.
    CloseReads(bool),
    /// Users repeat submissions with faults in them, cancel what is done, and send what can't run.
    OddRequests(bool),
    /// A machine's heartbeats reach no node for so long, while direct commands reach it.
    HeartbeatsLost(u64),
    /// The same of all machines there are.
    AllHeartbeatsLost(u64),
    /// New machines are up within two seconds.
    FastBoots(bool),
    /// A machine ends, and the cloud lists it as failed.
    MachineDies,
    /// A machine does nothing for so long.
    MachineHangs(u64),
    /// A machine's heartbeats arrive for so long; answers and direct commands to it are lost.
    CommandsLost(u64),
    /// The cloud announces that it takes a spot machine back.
    SpotNotice,
    /// Ends a node's process, which comes back with the new version.
    Upgrade(usize),
    /// The key-value store's next limits come into force.
    NextStoreLimits,
}

/// A fault of the node that leads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaderFault {
    /// The key-value store refuses it.
    Refused,
    /// It reaches neither the key-value store nor its peers, but workers and users.
    Isolated,
    /// What it sends to each second machine, also to those to come, is held back.
    CommandsHeld,
    /// Its process ends.
    Crashes,
}

/// The faults that last, as they are now. Shares are from 0 to 1.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    /// The share of transactions carried out late.
    pub(super) late_writes: f64,
    /// The share of heartbeats that arrive a second time.
    pub(super) late_heartbeats: f64,
    /// The share of transactions of which the answer is lost.
    pub(super) lost_store_answers: f64,
    /// The share of heartbeats of which a copy is kept for the next leader.
    pub(super) copies_for_next_leader: f64,
    /// Heartbeats kept for the next leader.
    pub(super) kept_copies: Vec<KeptCopy>,
    pub(super) fast_boots: bool,
    /// The share of jobs cancelled as they end.
    pub(super) cancel_at_end: f64,
    pub(super) close_reads: bool,
    pub(super) odd_requests: bool,
    /// The longest time that the key-value store takes for an answer, in milliseconds; 0: it takes none.
    pub(super) slow_store_ms: u64,
}

/// A copy of a heartbeat that is kept for the next leader.
#[derive(Debug)]
pub(super) struct KeptCopy {
    /// The leader key's revision as the copy was made.
    pub(super) leader_key: Option<Revision>,
    pub(super) machine: usize,
    pub(super) body: String,
}

impl Simulation {
    /// Brings a fault about, or ends it.
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(node) => self.crash_node(node),
            Fault::Upgrade(node) => {
                self.previous_version.remove(&node);
                self.crash_node(node);
            }
            Fault::Cut { a, b, on: true, late } => self.cut_link(a, b, late),
            Fault::Cut { a, b, on: false, .. } => self.mend_link(a, b),
            Fault::Hold { a, b, on: true } => self.hold_link(a, b),
            Fault::Hold { a, b, on: false } => self.release_link(a, b),
            Fault::Leader(fault, ms) => self.apply_leader_fault(fault, ms),
            Fault::StoreOutage(on) => self.state.outage(on, self.now),
            Fault::StoreRefuses(node, on) => self.state.refuse(node, on),
            Fault::NextStoreLimits => self.state.limits = self.settings[0].state.clone(),
            Fault::SlowStore(ms) => self.faults.slow_store_ms = ms,
            Fault::LateWrites(share) => self.faults.late_writes = share,
            Fault::LostStoreAnswers(share) => self.faults.lost_store_answers = share,
            Fault::LateHeartbeats(share) => self.faults.late_heartbeats = share,
            Fault::HeartbeatCopiesForNextLeader(share) => self.faults.copies_for_next_leader = share,
            Fault::CloudOutage(on) => self.cloud.outage = on,
            Fault::FastBoots(on) => self.faults.fast_boots = on,
            Fault::CancelNow(count, hang_ms) => self.cancel_now(count, hang_ms),
            Fault::CancelAtEnd(share) => self.faults.cancel_at_end = share,
            Fault::CloseReads(on) => self.faults.close_reads = on,
            Fault::OddRequests(on) => {
                self.faults.odd_requests = on;
                self.after(1, Event::OddRequest);
            }
            Fault::HeartbeatsLost(_)
            | Fault::AllHeartbeatsLost(_)
            | Fault::MachineDies
            | Fault::MachineHangs(_)
            | Fault::CommandsLost(_)
            | Fault::SpotNotice => self.apply_machine_fault(&fault),
        }
    }

    /// Brings a fault of a machine about; any machine that is up and fits may have it.
    fn apply_machine_fault(&mut self, fault: &Fault) {
        let now = self.now;
        if let Fault::AllHeartbeatsLost(ms) = fault {
            let running = self.workers.iter_mut().filter(|worker| worker.up);
            return running.for_each(|worker| worker.heartbeats_lost_until = now + ms);
        }
        let only_spot = *fault == Fault::SpotNotice;
        let Some(machine) = self.any_machine(|worker| worker.spot || !only_spot) else { return };
        let worker = &mut self.workers[machine];
        match fault {
            Fault::HeartbeatsLost(ms) => worker.heartbeats_lost_until = now + ms,
            Fault::CommandsLost(ms) => worker.commands_lost_until = now + ms,
            Fault::MachineHangs(ms) => worker.hung_until = now + ms,
            Fault::SpotNotice => worker.taken_at = Some(now + SPOT_NOTICE_MS),
            Fault::MachineDies => {
                self.machine_ends(machine);
                self.cloud.fail(&self.workers[machine].id, now);
            }
            _ => {}
        }
    }

    /// Brings a fault of the leader about for so many milliseconds, if a node leads.
    fn apply_leader_fault(&mut self, fault: LeaderFault, ms: u64) {
        let Some(leader) = self.leader() else { return };
        let host = Host::Node(leader);
        match fault {
            LeaderFault::Crashes => self.crash_node(leader),
            LeaderFault::Refused => self.apply_for(ms, |on| Fault::StoreRefuses(leader, on)),
            LeaderFault::CommandsHeld => {
                for machine in (0..self.workers.len() + MACHINES_TO_COME).step_by(2) {
                    self.apply_for(ms, |on| Fault::Hold { a: host, b: Host::Machine(machine), on });
                }
            }
            LeaderFault::Isolated => {
                // A day chooses by the time's parity what becomes of the messages.
                let late = ms.is_multiple_of(2);
                let peers = (0..self.nodes.len()).filter(|node| *node != leader).map(Host::Node);
                for other in peers.chain([Host::Store]) {
                    self.apply_for(ms, |on| Fault::Cut { a: host, b: other, on, late });
                }
            }
        }
    }

    /// Brings a fault about now, and ends it after so many milliseconds.
    fn apply_for(&mut self, ms: u64, fault: impl Fn(bool) -> Fault) {
        self.apply_fault(fault(true));
        self.after(ms, Event::Fault(fault(false)));
    }

    /// Draws one of the machines that are up and suit.
    fn any_machine(&mut self, suits: impl Fn(&Worker) -> bool) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.workers.len())
            .filter(|machine| self.workers[*machine].up && suits(&self.workers[*machine]))
            .collect();
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }
}
