//! Days on which two random faults overlap.

use super::ordinary::day;
use super::{TROUBLE_ENDS, crash_all_nodes, schedule_fault, schedule_period};
use crate::simulation::{Fault, Host, LeaderFault, NODES, Simulation, job};
use rand::RngExt;
use std::ops::Range;

/// The faults that are combined. `docs/design/combined_failures.md` describes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrawnFault {
    CommandsHeld,
    LateWrites,
    LateHeartbeats,
    LeaderIsolated,
    RepeatedFailovers,
    LeaderEnds,
    CommandsLost,
    SlowStore,
    RefusedThenOutage,
    AllNodesRestart,
    CancelledNow,
    CancelledAtEnd,
    HeartbeatsLost,
    OddRequests,
    CloseReads,
    LostStoreAnswers,
    HeartbeatCopiesForNextLeader,
    FastBoots,
}

/// All faults. The random draws are indices into this array, so its order must not change.
const ALL: [DrawnFault; 18] = [
    DrawnFault::CommandsHeld,
    DrawnFault::LateWrites,
    DrawnFault::LateHeartbeats,
    DrawnFault::LeaderIsolated,
    DrawnFault::RepeatedFailovers,
    DrawnFault::LeaderEnds,
    DrawnFault::CommandsLost,
    DrawnFault::SlowStore,
    DrawnFault::RefusedThenOutage,
    DrawnFault::AllNodesRestart,
    DrawnFault::CancelledNow,
    DrawnFault::CancelledAtEnd,
    DrawnFault::HeartbeatsLost,
    DrawnFault::OddRequests,
    DrawnFault::CloseReads,
    DrawnFault::LostStoreAnswers,
    DrawnFault::HeartbeatCopiesForNextLeader,
    DrawnFault::FastBoots,
];

/// The period of a day in which a fault occurs or lasts, in milliseconds of simulated time.
#[derive(Clone, Copy)]
struct Period {
    from: u64,
    to: u64,
}

impl Period {
    fn draw(self, simulation: &mut Simulation) -> u64 {
        simulation.rng_ms(self.from, self.to)
    }
}

/// Schedules a fault within a period.
fn schedule(simulation: &mut Simulation, fault: DrawnFault, period: Period) {
    let Period { from, to } = period;
    let mut schedule_for_period = |on, off| schedule_period(simulation, from, to, on, off);
    match fault {
        DrawnFault::CancelledAtEnd => schedule_for_period(Fault::CancelAtEnd(0.5), Fault::CancelAtEnd(0.0)),
        DrawnFault::OddRequests => schedule_for_period(Fault::OddRequests(true), Fault::OddRequests(false)),
        DrawnFault::CloseReads => schedule_for_period(Fault::CloseReads(true), Fault::CloseReads(false)),
        DrawnFault::FastBoots => schedule_for_period(Fault::FastBoots(true), Fault::FastBoots(false)),
        DrawnFault::LateWrites => schedule_share(simulation, period, 0.1..0.5, Fault::LateWrites),
        DrawnFault::LateHeartbeats => schedule_share(simulation, period, 0.2..0.6, Fault::LateHeartbeats),
        DrawnFault::LostStoreAnswers => {
            schedule_share(simulation, period, 0.1..0.5, Fault::LostStoreAnswers);
        }
        DrawnFault::HeartbeatCopiesForNextLeader => {
            schedule_share(simulation, period, 0.2..0.6, Fault::HeartbeatCopiesForNextLeader);
        }
        DrawnFault::SlowStore => {
            let ms = simulation.rng.random_range(200..4_000);
            schedule_period(simulation, from, to, Fault::SlowStore(ms), Fault::SlowStore(0));
        }
        DrawnFault::LeaderEnds => schedule_fault(simulation, from, Fault::Leader(LeaderFault::Crashes, 0)),
        DrawnFault::LeaderIsolated => {
            schedule_fault(simulation, from, Fault::Leader(LeaderFault::Isolated, to - from));
        }
        DrawnFault::CommandsHeld => hold_commands(simulation, period),
        DrawnFault::RepeatedFailovers => repeat_failovers(simulation, period),
        DrawnFault::RefusedThenOutage => refuse_leader_then_all(simulation, period),
        DrawnFault::AllNodesRestart => restart_all_repeatedly(simulation, period),
        DrawnFault::CommandsLost => lose_commands(simulation, period),
        DrawnFault::HeartbeatsLost => lose_heartbeats(simulation, period),
        DrawnFault::CancelledNow => cancel_running_jobs(simulation, period),
    }
}

/// Schedules a fault that affects a share of all messages. The share is drawn from a range.
fn schedule_share(
    simulation: &mut Simulation,
    period: Period,
    shares: Range<f64>,
    fault: impl Fn(f64) -> Fault,
) {
    let share = simulation.rng.random_range(shares);
    schedule_period(simulation, period.from, period.to, fault(share), fault(0.0));
}

/// Holds messages back in one direction of links between nodes and machines, mostly from the node to the
/// machine.
fn hold_commands(simulation: &mut Simulation, period: Period) {
    for _ in 0..8 {
        let node = Host::Node(simulation.rng.random_range(0..NODES));
        let machine = Host::Machine(simulation.rng.random_range(0..12));
        let (a, b) = if simulation.rng.random_bool(0.4) { (machine, node) } else { (node, machine) };
        let from = simulation.rng_ms(period.from, period.to - 2_000);
        let until = (from + simulation.rng_ms(1_000, 30_000)).min(period.to);
        let hold = |on| Fault::Hold { a, b, on };
        schedule_period(simulation, from, until, hold(true), hold(false));
    }
}

/// Crashes the leader every few seconds, and sometimes all nodes at once.
fn repeat_failovers(simulation: &mut Simulation, period: Period) {
    let mut at = period.from;
    while at < period.to {
        if simulation.rng.random_bool(0.2) {
            crash_all_nodes(simulation, at);
        } else {
            schedule_fault(simulation, at, Fault::Leader(LeaderFault::Crashes, 0));
        }
        at += simulation.rng_ms(2_000, 12_000);
    }
}

/// The key-value store refuses the requests of the leader, and becomes unreachable for all nodes afterwards.
fn refuse_leader_then_all(simulation: &mut Simulation, period: Period) {
    schedule_fault(simulation, period.from, Fault::Leader(LeaderFault::Refused, 9_000));
    let down = period.from + simulation.rng_ms(500, 8_000);
    let up = period.to.max(down + 1_000);
    schedule_period(simulation, down, up, Fault::StoreOutage(true), Fault::StoreOutage(false));
}

fn restart_all_repeatedly(simulation: &mut Simulation, period: Period) {
    let every = simulation.rng.random_range(2_000..4_000);
    let until = period.to.min(period.from + 22_000);
    for at in (period.from..until).step_by(every) {
        crash_all_nodes(simulation, at);
    }
}

fn lose_commands(simulation: &mut Simulation, period: Period) {
    for _ in 0..4 {
        let at = period.draw(simulation);
        let ms = simulation.rng.random_range(2_000..40_000).min(TROUBLE_ENDS - at);
        schedule_fault(simulation, at, Fault::CommandsLost(ms));
    }
}

/// Heartbeats are lost: in one period those of all machines, in three others those of some machine.
fn lose_heartbeats(simulation: &mut Simulation, period: Period) {
    for repetition in 0..4 {
        let at = period.draw(simulation);
        let ms = simulation.rng.random_range(2_000..40_000).min(TROUBLE_ENDS - at);
        let fault = if repetition == 0 { Fault::AllHeartbeatsLost(ms) } else { Fault::HeartbeatsLost(ms) };
        schedule_fault(simulation, at, fault);
    }
}

fn cancel_running_jobs(simulation: &mut Simulation, period: Period) {
    for _ in 0..2 {
        let at = period.draw(simulation);
        let count = simulation.rng.random_range(2..8);
        let hang_ms = simulation.rng.random_range(0..30_000).min(TROUBLE_ENDS - at);
        schedule_fault(simulation, at, Fault::CancelNow(count, hang_ms));
    }
}

/// A day with two pairs of overlapping faults, on which at least three machines fail. Also returns the four
/// faults.
pub fn day_of_combined_faults(seed: u64) -> (Simulation, Vec<DrawnFault>) {
    let mut drawn = Vec::new();
    let simulation = day(seed, |simulation| {
        simulation.keeps_images = true;
        simulation.restart_delay_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
        simulation.drift_ppm = vec![500, -500, 0];
        add_short_jobs(simulation);
        for part in [10_000..45_000, 48_000..TROUBLE_ENDS - 1_000] {
            let first = simulation.rng.random_range(0..ALL.len());
            let second = (first + simulation.rng.random_range(1..ALL.len())) % ALL.len();
            for fault in [ALL[first], ALL[second]] {
                let from = simulation.rng_ms(part.start, part.start + 10_000);
                let to = simulation.rng_ms(from + 10_000, part.end.max(from + 10_001)).min(TROUBLE_ENDS);
                schedule(simulation, fault, Period { from, to });
                drawn.push(fault);
            }
        }
        fail_machines(simulation);
    });
    (simulation, drawn)
}

/// Adds short jobs of two or three tasks, some of which are cancelled.
fn add_short_jobs(simulation: &mut Simulation) {
    for number in 20..30 {
        let job_type = ["array", "ensemble", "array"][number % 3];
        let mut body = job(number, job_type, 2 + number as u32 % 2);
        body["expected_s"] = simulation.rng.random_range(1.0..6.0).into();
        let at = simulation.rng_ms(500, 60_000);
        let is_cancelled = simulation.rng.random_bool(0.3);
        let cancel_at = is_cancelled.then(|| at + simulation.rng_ms(500, 15_000));
        simulation.add_user(at, body, cancel_at);
    }
}

fn fail_machines(simulation: &mut Simulation) {
    for number in 0..simulation.rng.random_range(3..6) {
        let at = simulation.rng_ms(8_000, 80_000);
        let ms = simulation.rng.random_range(2_000..30_000);
        let fault = match number % 4 {
            0 => Fault::MachineDies,
            2 => Fault::SpotNotice,
            _ => Fault::MachineHangs(ms),
        };
        schedule_fault(simulation, at, fault);
    }
}
