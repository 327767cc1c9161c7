//! Days on which all nodes of a larger cluster crash while several machines fail.

use super::{schedule_fault, schedule_period};
use crate::simulation::{Fault, Host, Simulation, job};
use rand::RngExt;

/// The number of nodes on these days.
pub const NODES: usize = 5;

/// The simulated time by which link cuts and store refusals have ended, in milliseconds.
const LAST_FAULT_ENDS: u64 = 70_000;

/// The simulated time at which these days end, in milliseconds.
pub const ENDS: u64 = 170_000;

/// How often all nodes crash. The exact times are random.
#[derive(Debug, Clone, Copy)]
pub enum Down {
    Once,
    /// Repeatedly every few seconds, until leases have expired.
    InARow,
    /// Four times, while the restarted nodes load records, collect heartbeats or reconcile.
    Midst,
}

/// Crashes all nodes within 400 ms.
pub fn crash_all(simulation: &mut Simulation, at: u64) {
    for node in 0..NODES {
        let after = simulation.rng_ms(0, 400);
        schedule_fault(simulation, at + after, Fault::Crash(node));
    }
}

/// A day with jobs of all shapes, crashes of all nodes, machine failures and at most one other fault.
pub fn day(seed: u64, down: Down, jobs: usize) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 400);
    simulation.cloud.max_machines_per_request = 50;
    for number in 0..jobs {
        add_job(&mut simulation, number);
    }
    schedule_crashes(&mut simulation, down);
    fail_machines(&mut simulation);
    schedule_drawn_fault(&mut simulation);
    simulation
}

fn add_job(simulation: &mut Simulation, number: usize) {
    let job_type = ["array", "ensemble", "daemon", "array", "daemon"][number % 5];
    let max_tasks = match job_type {
        "array" => 26,
        "ensemble" => 6,
        _ => 9,
    };
    let tasks = simulation.rng.random_range(2..max_tasks);
    let mut body = job(number, job_type, tasks);
    body["together"] = (job_type == "ensemble" && number.is_multiple_of(2)).into();
    body["spread"] = (job_type == "daemon").into();
    body["expected_s"] = simulation.rng.random_range(6.0..25.0).into();
    let at = simulation.rng_ms(500, 20_000);
    let is_cancelled = simulation.rng.random_bool(0.15);
    let cancel_at = is_cancelled.then(|| at + simulation.rng_ms(15_000, 60_000));
    simulation.add_user(at, body, cancel_at);
}

fn schedule_crashes(simulation: &mut Simulation, down: Down) {
    let mut at = simulation.rng_ms(24_000, 30_000);
    match down {
        Down::Once => crash_all(simulation, at),
        Down::InARow => {
            while at < 52_000 {
                crash_all(simulation, at);
                at += simulation.rng_ms(2_000, 5_000);
            }
        }
        Down::Midst => {
            for _ in 0..4 {
                crash_all(simulation, at);
                // A crashed node restarts after 1 to 4 s.
                at += simulation.rng_ms(4_500, 12_000);
            }
        }
    }
}

/// Schedules 5 to 11 random machine failures.
fn fail_machines(simulation: &mut Simulation) {
    for _ in 0..simulation.rng.random_range(5..12) {
        let at = simulation.rng_ms(23_000, 60_000);
        let fault = match simulation.rng.random_range(0..4) {
            0 => Fault::MachineDies,
            // Some hang for longer than a lease: their tasks have ended when the machine resumes.
            1 | 2 => Fault::MachineHangs(simulation.rng.random_range(2_000..35_000)),
            _ => Fault::SpotNotice,
        };
        schedule_fault(simulation, at, fault);
    }
}

/// Schedules at random a store outage, a cut between a node and machines, a node whose requests the store
/// refuses, or nothing.
fn schedule_drawn_fault(simulation: &mut Simulation) {
    let at = simulation.rng_ms(22_000, 55_000);
    match simulation.rng.random_range(0..4) {
        0 => {
            let outage = Fault::StoreOutage;
            schedule_period(simulation, at, at + 8_000, outage(true), outage(false));
        }
        1 => {
            let node = Host::Node(simulation.rng.random_range(0..NODES));
            let until = (at + 15_000).min(LAST_FAULT_ENDS);
            for machine in (0..20).map(Host::Machine) {
                let cut = |on| Fault::Cut { a: node, b: machine, on, late: true };
                schedule_period(simulation, at, until, cut(true), cut(false));
            }
        }
        2 => {
            let node = simulation.rng.random_range(0..NODES);
            let until = (at + 12_000).min(LAST_FAULT_ENDS);
            let refuse = |on| Fault::StoreRefuses(node, on);
            schedule_period(simulation, at, until, refuse(true), refuse(false));
        }
        _ => {}
    }
}

/// Crashed nodes restart quickly (on most seeds within 300 ms) while connections, the lease and transactions
/// of the previous process still exist. Single nodes crash once or several times in a row, and all nodes
/// crash together. Some messages are delivered a second time up to 20 s later.
pub fn day_of_quick_returns(seed: u64, jobs: usize) -> Simulation {
    let mut simulation = day(seed, Down::Once, jobs);
    simulation.restart_delay_ms = if seed.is_multiple_of(3) { 20..5_000 } else { 20..300 };
    simulation.duplicate_share = if seed.is_multiple_of(2) { 0.05 } else { 0.3 };
    let mut at = simulation.rng_ms(8_000, 12_000);
    while at < 60_000 {
        let node = simulation.rng.random_range(0..NODES);
        match simulation.rng.random_range(0..3) {
            0 => schedule_fault(&mut simulation, at, Fault::Crash(node)),
            1 => {
                for repetition in 0..4 {
                    schedule_fault(&mut simulation, at + 350 * repetition, Fault::Crash(node));
                }
            }
            _ => crash_all(&mut simulation, at),
        }
        at += simulation.rng_ms(300, 9_000);
    }
    simulation
}

/// The simulated time at which all nodes crash on the day of lost leases, in milliseconds.
pub const DOWN_MS: u64 = 30_000;

/// A day with services only, on which all leases expire while there is no leader.
pub fn day_of_lost_leases(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 400);
    simulation.cloud.max_machines_per_request = 50;
    for number in 0..20 {
        let mut body = job(number, "daemon", 4);
        body["spread"] = number.is_multiple_of(2).into();
        simulation.add_user(500 + 50 * number as u64, body, None);
    }
    // Restarted nodes cannot serve requests during the outage of the key-value store.
    crash_all(&mut simulation, DOWN_MS);
    let up = DOWN_MS + 24_000;
    schedule_period(&mut simulation, DOWN_MS, up, Fault::StoreOutage(true), Fault::StoreOutage(false));
    simulation
}
