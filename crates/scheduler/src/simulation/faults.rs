//! The faults that days inject, and how each changes the simulated components and links.

use super::Simulation;
use super::events::Event;
use super::links::Host;
use super::workers::Worker;
use crate::types::Revision;
use rand::RngExt;

/// The time between the cloud's preemption notice for a spot machine and the preemption, in milliseconds.
const SPOT_NOTICE_MS: u64 = 8_000;
/// The number of machines beyond the existing ones whose links `CommandsHeld` holds, as some are added while
/// it lasts.
const MACHINES_TO_COME: usize = 100;

/// The start or the end of a fault. Times are in milliseconds, shares from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A node's process ends and restarts later.
    Crash(usize),
    /// The key-value store refuses all requests, or serves them again.
    StoreOutage(bool),
    /// The key-value store refuses one node's requests, or serves them again.
    StoreRefuses(usize, bool),
    /// Partitions (`on`) or heals a link in both directions. With `late`, messages sent during the partition
    /// arrive after it; otherwise they are lost.
    Cut { a: Host, b: Host, on: bool, late: bool },
    /// The cloud refuses every request, or serves them again.
    CloudOutage(bool),
    /// The cloud has no machine left to rent, or has some again.
    CloudFull(bool),
    /// Holds back messages from `a` to `b`, in this direction only, and delivers them in order when the fault
    /// ends.
    Hold { a: Host, b: Host, on: bool },
    /// A fault of the node that leads when it begins, for this time.
    Leader(LeaderFault, u64),
    /// This share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones.
    LateWrites(f64),
    /// A copy of this share of the workers' heartbeats arrives between 2 s and two worker leases later.
    LateHeartbeats(f64),
    /// This share of transactions is carried out immediately, but the answer is lost.
    LostStoreAnswers(f64),
    /// A copy of this share of the start commands that a worker has carried out and answered arrives once their
    /// task has moved to another machine, and once its job was cancelled longer than `cancel_s` ago.
    StartCopies(f64),
    /// A copy of this share of the workers' heartbeats is kept until there is a new leader, and sent then.
    HeartbeatCopiesForNextLeader(f64),
    /// The key-value store takes up to this time for an answer.
    SlowStore(u64),
    /// Users cancel up to this number of running jobs within 200 ms; up to eight of their machines hang for
    /// the given time.
    CancelNow(usize, u64),
    /// This share of the jobs that complete is cancelled at the moment of completion.
    CancelAtEnd(f64),
    /// Users send requests to all nodes within milliseconds after a job was accepted, completed or cancelled.
    CloseReads(bool),
    /// Users repeat submissions with errors in them, cancel completed jobs and submit jobs that can never
    /// run.
    OddRequests(bool),
    /// A machine's heartbeats are lost for this time, while direct commands reach it.
    HeartbeatsLost(u64),
    /// The heartbeats of all running machines are lost for this time, while direct commands reach them.
    AllHeartbeatsLost(u64),
    /// New machines boot within two seconds.
    FastBoots(bool),
    /// A machine stops, and the cloud lists it as failed.
    MachineDies,
    /// A machine's worker loses all tasks and what it knows, and begins its next epoch immediately.
    WorkerRestarts,
    /// A machine hangs for this time.
    MachineHangs(u64),
    /// Answers and direct commands to a machine are lost for this time, while its heartbeats arrive.
    CommandsLost(u64),
    /// The cloud sends a preemption notice for a spot machine.
    SpotNotice,
    /// A node's process ends and restarts later with the new version.
    Upgrade(usize),
    /// The key-value store's next limits take effect.
    NextStoreLimits,
}

/// A fault of the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaderFault {
    /// The key-value store refuses the leader's requests.
    Refused,
    /// The leader is partitioned from the key-value store and its peers, but not from workers and users.
    Isolated,
    /// Messages of the leader to every second machine, including machines rented later, are held back.
    CommandsHeld,
    /// The leader's process ends and restarts later.
    Crashes,
}

/// The current state of the faults that last. Shares are from 0 to 1.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    /// The share of transactions that are carried out late.
    pub(super) late_writes: f64,
    /// The share of heartbeats that arrive a second time.
    pub(super) late_heartbeats: f64,
    /// The share of transactions whose answer is lost.
    pub(super) lost_store_answers: f64,
    /// The share of heartbeats whose copy is kept for the next leader.
    pub(super) copies_for_next_leader: f64,
    /// The share of start commands of which a copy is kept.
    pub(super) start_copies: f64,
    /// Copies of start commands that have not been sent yet.
    pub(super) kept_starts: Vec<StartCopy>,
    /// Heartbeats kept for the next leader.
    pub(super) kept_copies: Vec<KeptCopy>,
    pub(super) fast_boots: bool,
    /// The share of jobs that are cancelled on completion.
    pub(super) cancel_at_end: f64,
    pub(super) close_reads: bool,
    pub(super) odd_requests: bool,
    /// The longest time that the key-value store takes for an answer, in milliseconds; 0 turns the fault off.
    pub(super) slow_store_ms: u64,
}

/// A copy of a heartbeat that is kept for the next leader.
#[derive(Debug)]
pub(super) struct KeptCopy {
    /// The leader key's revision when the copy was made.
    pub(super) leader_key: Option<Revision>,
    pub(super) machine: usize,
    pub(super) body: String,
}

/// A copy of a start command that a worker has carried out.
#[derive(Debug, Clone)]
pub(super) struct StartCopy {
    pub(super) machine: usize,
    pub(super) body: String,
    /// The task that it starts.
    pub(super) task: String,
    /// Whether the copy has been sent because the task had moved.
    pub(super) sent_after_move: bool,
}

impl Simulation {
    /// Begins or ends a fault.
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(node) => self.crash_node(node),
            Fault::Upgrade(node) => {
                self.previous_version.remove(&node);
                self.crash_node(node);
            }
            Fault::Cut { a, b, on: true, late } => self.partition_link(a, b, late),
            Fault::Cut { a, b, on: false, .. } => self.heal_link(a, b),
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
            Fault::StartCopies(share) => self.faults.start_copies = share,
            Fault::HeartbeatCopiesForNextLeader(share) => self.faults.copies_for_next_leader = share,
            Fault::CloudOutage(on) => self.cloud.outage = on,
            Fault::CloudFull(on) => self.cloud.is_full = on,
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
            | Fault::WorkerRestarts
            | Fault::CommandsLost(_)
            | Fault::SpotNotice => self.apply_machine_fault(&fault),
        }
    }

    /// Applies a machine fault to all running machines, or to a random one that is eligible.
    fn apply_machine_fault(&mut self, fault: &Fault) {
        let now = self.now;
        if let Fault::AllHeartbeatsLost(ms) = fault {
            let running = self.workers.iter_mut().filter(|worker| worker.up);
            return running.for_each(|worker| worker.heartbeats_lost_until = now + ms);
        }
        let only_spot = *fault == Fault::SpotNotice;
        let Some(machine) = self.random_machine(|worker| worker.spot || !only_spot) else { return };
        let worker = &mut self.workers[machine];
        match fault {
            Fault::HeartbeatsLost(ms) => worker.heartbeats_lost_until = now + ms,
            Fault::CommandsLost(ms) => worker.commands_lost_until = now + ms,
            Fault::MachineHangs(ms) => worker.hung_until = now + ms,
            Fault::WorkerRestarts => worker.restart(now),
            Fault::SpotNotice => worker.taken_at = Some(now + SPOT_NOTICE_MS),
            Fault::MachineDies => {
                self.end_machine(machine);
                self.cloud.mark_failed(&self.workers[machine].id, now);
            }
            _ => {}
        }
    }

    /// Applies a fault to the leader for `ms` milliseconds, if there is a leader.
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
                // Days choose by the parity of the duration: even delivers the messages late, odd loses them.
                let late = ms.is_multiple_of(2);
                let peers = (0..self.nodes.len()).filter(|node| *node != leader).map(Host::Node);
                for other in peers.chain([Host::Store]) {
                    self.apply_for(ms, |on| Fault::Cut { a: host, b: other, on, late });
                }
            }
        }
    }

    /// Begins a fault now and ends it after `ms` milliseconds.
    fn apply_for(&mut self, ms: u64, fault: impl Fn(bool) -> Fault) {
        self.apply_fault(fault(true));
        self.after(ms, Event::Fault(fault(false)));
    }

    /// Draws one of the running machines that satisfy a condition.
    fn random_machine(&mut self, suits: impl Fn(&Worker) -> bool) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.workers.len())
            .filter(|machine| self.workers[*machine].up && suits(&self.workers[*machine]))
            .collect();
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }
}
