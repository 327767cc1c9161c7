//! Days on which the leader fails or loses its connection to the key-value store, which then becomes
//! unreachable for all nodes.

use super::{schedule_fault, schedule_period};
use crate::simulation::{Fault, Host, LeaderFault, NODES, Simulation, job};
use rand::RngExt;

/// The simulated time around which the faults begin, in milliseconds.
const FAULTS_BEGIN: u64 = 30_000;

/// A simulation in which each node's clock has the largest permitted drift, and machines keep fetched images.
fn drifting_simulation(seed: u64, gpus: u32) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, gpus);
    simulation.cloud.max_machines_per_request = 30;
    simulation.keeps_images = true;
    simulation.drift_ppm =
        (0..NODES as u64).map(|node| if (seed >> node) & 1 == 0 { -500 } else { 500 }).collect();
    simulation
}

/// A day with long jobs of all shapes, most of which are cancelled at about the time of the leader's fault.
/// Also returns the time by which the store outages and the held links have ended.
pub fn isolated_leader_day(seed: u64) -> (Simulation, u64) {
    let mut simulation = drifting_simulation(seed, 60);
    add_long_jobs(&mut simulation);
    let first = simulation.rng_ms(FAULTS_BEGIN, FAULTS_BEGIN + 2_000);
    isolate_leader(&mut simulation, first);
    disturb_takeover(&mut simulation, first);
    let outage_ends = schedule_outages(&mut simulation, seed, first);
    let ends = hold_links(&mut simulation).max(outage_ends);
    for number in 0..simulation.rng.random_range(3..7) {
        let at = simulation.rng_ms(FAULTS_BEGIN - 3_000, FAULTS_BEGIN + 20_000);
        let ms = simulation.rng.random_range(2_000..30_000);
        let fault =
            [Fault::MachineHangs(ms), Fault::CommandsLost(ms), Fault::MachineDies][number % 3].clone();
        schedule_fault(&mut simulation, at, fault);
    }
    (simulation, ends)
}

fn add_long_jobs(simulation: &mut Simulation) {
    for number in 0..36 {
        let job_type = ["daemon", "array", "ensemble", "daemon"][number % 4];
        let tasks = simulation.rng.random_range(1..3);
        let mut body = job(number, job_type, tasks);
        body["expected_s"] = 400.0.into();
        body["vcpus"] = 1.0.into();
        let at = simulation.rng_ms(500, 14_000);
        let is_cancelled = simulation.rng.random_bool(0.8);
        let cancel_at = is_cancelled.then(|| simulation.rng_ms(FAULTS_BEGIN - 8_000, FAULTS_BEGIN + 16_000));
        simulation.add_user(at, body, cancel_at);
    }
    // Short-lived jobs are submitted throughout, so that start commands are in flight at any time.
    for number in 36..70 {
        let mut body = job(number, "array", 1);
        body["expected_s"] = 400.0.into();
        body["vcpus"] = 1.0.into();
        let at = simulation.rng_ms(FAULTS_BEGIN - 4_000, FAULTS_BEGIN + 14_000);
        let cancel_at = at + simulation.rng_ms(300, 6_000);
        simulation.add_user(at, body, Some(cancel_at));
    }
}

/// The first fault affects only the leader: it is isolated, crashes, or is refused by the key-value store.
fn isolate_leader(simulation: &mut Simulation, at_ms: u64) {
    let lasts_ms = simulation.rng_ms(2_000, 20_000);
    let fault = match simulation.rng.random_range(0..4) {
        0 => LeaderFault::Isolated,
        1 => LeaderFault::Crashes,
        _ => LeaderFault::Refused,
    };
    schedule_fault(simulation, at_ms, Fault::Leader(fault, lasts_ms));
}

/// Schedules one fault or none during the takeover: a crash of all nodes, a crash of the leader, or a slow
/// key-value store.
fn disturb_takeover(simulation: &mut Simulation, first: u64) {
    simulation.restart_delay_ms = if simulation.rng.random_bool(0.5) { 20..300 } else { 1_000..9_000 };
    let at = simulation.rng_ms(first, first + 8_000);
    match simulation.rng.random_range(0..4) {
        0 => {
            for node in 0..NODES {
                schedule_fault(simulation, at + 30 * node as u64, Fault::Crash(node));
            }
        }
        1 => schedule_fault(simulation, at, Fault::Leader(LeaderFault::Crashes, 0)),
        2 => {
            let slow_ms = simulation.rng.random_range(100..2_500);
            schedule_period(simulation, at, at + 20_000, Fault::SlowStore(slow_ms), Fault::SlowStore(0));
        }
        _ => {}
    }
}

/// Schedules outages of the key-value store that last longer than `cancel_s`. Returns the time at which the
/// last ends.
fn schedule_outages(simulation: &mut Simulation, seed: u64, first: u64) -> u64 {
    let outage_starts = simulation.rng_ms(first, first + 16_000);
    let outage_ends = outage_starts + simulation.rng_ms(49_000, 75_000);
    schedule_period(
        simulation,
        outage_starts,
        outage_ends,
        Fault::StoreOutage(true),
        Fault::StoreOutage(false),
    );
    if !seed.is_multiple_of(3) {
        return outage_ends;
    }
    // After the outage leases run for their full duration, so the previous leader may keep its lease. The
    // store refuses the leader once more shortly afterwards.
    let refused_again_at = outage_ends + simulation.rng_ms(0, 1_500);
    schedule_fault(simulation, refused_again_at, Fault::Leader(LeaderFault::Refused, 14_000));
    let second_outage_ends = refused_again_at + 65_000;
    let outage = Fault::StoreOutage;
    schedule_period(simulation, refused_again_at + 1_500, second_outage_ends, outage(true), outage(false));
    second_outage_ends
}

/// Holds back commands to some machines, from one node or from all, and answers of others. Returns the time
/// at which the last hold ends.
fn hold_links(simulation: &mut Simulation) -> u64 {
    let mut ends = 0;
    for _ in 0..simulation.rng.random_range(0..5) {
        let machine = Host::Machine(simulation.rng.random_range(0..14));
        let only = simulation.rng.random_range(0..2 * NODES);
        let from = simulation.rng_ms(FAULTS_BEGIN - 3_000, FAULTS_BEGIN + 14_000);
        let holds_answers = simulation.rng.random_bool(0.2);
        let to = from + simulation.rng_ms(2_000, 90_000);
        for index in (0..NODES).filter(|index| only >= NODES || *index == only) {
            let node = Host::Node(index);
            let (a, b) = if holds_answers { (machine, node) } else { (node, machine) };
            let hold = |on| Fault::Hold { a, b, on };
            schedule_period(simulation, from, to, hold(true), hold(false));
        }
        ends = ends.max(to);
    }
    ends
}

/// The leader's start commands are held back for longer than the cancellation of a job may take, while other
/// nodes answer the heartbeats of the affected workers. The cloud is unreachable, so the leader cannot return
/// those machines, and later the key-value store is unreachable too. Also returns the time at which the last
/// fault, the store outage, ends.
pub fn held_starts_day(seed: u64) -> (Simulation, u64) {
    let mut simulation = drifting_simulation(seed, 200);
    add_jobs_around_the_hold(&mut simulation);
    let held_at = simulation.rng_ms(FAULTS_BEGIN - 500, FAULTS_BEGIN + 500);
    let held_for_ms = simulation.rng_ms(48_500, 57_000);
    schedule_fault(&mut simulation, held_at, Fault::Leader(LeaderFault::CommandsHeld, held_for_ms));
    let outage_starts = simulation.rng_ms(FAULTS_BEGIN + 5_000, FAULTS_BEGIN + 14_000);
    let outage_ends = outage_starts + 70_000;
    schedule_period(
        &mut simulation,
        outage_starts,
        outage_ends,
        Fault::StoreOutage(true),
        Fault::StoreOutage(false),
    );
    schedule_period(
        &mut simulation,
        FAULTS_BEGIN,
        outage_ends,
        Fault::CloudOutage(true),
        Fault::CloudOutage(false),
    );
    for number in 0..simulation.rng.random_range(3..6) {
        let at = simulation.rng_ms(FAULTS_BEGIN - 3_000, FAULTS_BEGIN + 20_000);
        let ms = simulation.rng.random_range(2_000..20_000);
        let fault =
            [Fault::MachineHangs(ms), Fault::MachineDies, Fault::CommandsLost(ms)][number % 3].clone();
        schedule_fault(&mut simulation, at, fault);
    }
    (simulation, outage_ends)
}

fn add_jobs_around_the_hold(simulation: &mut Simulation) {
    // These jobs end before the hold and leave free capacity on machines whose heartbeats all nodes have
    // received.
    for number in 0..24 {
        let mut body = job(number, "array", 2);
        let at = simulation.rng_ms(500, 8_000);
        body["expected_s"] = ((FAULTS_BEGIN - 8_000 - at) as f64 / 1000.0).into();
        simulation.add_user(at, body, None);
    }
    for number in 24..90 {
        let mut body = job(number, "array", 1);
        body["expected_s"] = 400.0.into();
        let at = simulation.rng_ms(FAULTS_BEGIN - 3_000, FAULTS_BEGIN + 1_500);
        let cancel_at = simulation.rng_ms(FAULTS_BEGIN - 1_500, FAULTS_BEGIN + 1_000);
        simulation.add_user(at, body, Some(cancel_at));
    }
}
