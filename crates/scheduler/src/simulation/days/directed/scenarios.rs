//! The days of `ROWS`. One combination of faults occurs on each.

use crate::simulation::days::ordinary::{cut_zone, day};
use crate::simulation::days::{DAY_ENDS, TROUBLE_ENDS, schedule_fault, schedule_period};
use crate::simulation::{Fault, Host, LeaderFault, NODES, Simulation, job};
use rand::RngExt;

/// Schedules crashes of the leader, `every` milliseconds apart on average. Crashed nodes restart within
/// 400 ms on even seeds and within 4 s on odd seeds.
fn schedule_leader_crashes(simulation: &mut Simulation, seed: u64, from: u64, to: u64, every: u64) {
    simulation.restart_delay_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    let mut ms = from;
    while ms < to {
        schedule_fault(simulation, ms, Fault::Leader(LeaderFault::Crashes, 0));
        ms += simulation.rng_ms(every / 2, every * 3 / 2);
    }
}

/// Schedules `count` machine faults: machines die, hang or receive no commands.
fn schedule_machine_faults(simulation: &mut Simulation, count: usize) {
    for number in 0..count {
        let at = simulation.rng_ms(8_000, 75_000);
        let lasts_ms = simulation.rng.random_range(3_000..30_000).min(14_000);
        let fault = match number % 3 {
            0 => Fault::MachineDies,
            1 => Fault::MachineHangs(lasts_ms),
            _ => Fault::CommandsLost(lasts_ms),
        };
        schedule_fault(simulation, at, fault);
    }
}

/// Adds short jobs of one or two tasks that are submitted at random times until `to`. A share of them is
/// cancelled.
fn add_job_stream(simulation: &mut Simulation, first: usize, jobs: usize, to: u64, cancelled_share: f64) {
    for number in first..first + jobs {
        let tasks = simulation.rng.random_range(1..3);
        let mut body = job(number, "array", tasks);
        body["expected_s"] = simulation.rng.random_range(1.0..4.0).into();
        body["vcpus"] = 1.0.into();
        let submitted_at = simulation.rng_ms(2_000, to);
        let is_cancelled = simulation.rng.random_bool(cancelled_share);
        let cancel_at = is_cancelled.then(|| submitted_at + simulation.rng.random_range(300..6_000));
        simulation.add_user(submitted_at, body, cancel_at);
    }
}

/// Users send requests to all nodes right after jobs are accepted, end or are cancelled, while leaders crash.
pub(super) fn close_reads(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 40, 70_000, 0.3);
        schedule_leader_crashes(simulation, seed, 20_000, 80_000, 20_000);
        schedule_machine_faults(simulation, 3);
    });
    schedule_period(&mut simulation, 1_000, TROUBLE_ENDS, Fault::CloseReads(true), Fault::CloseReads(false));
    schedule_period(&mut simulation, 10_000, 50_000, Fault::SlowStore(900), Fault::SlowStore(0));
    schedule_period(&mut simulation, 55_000, 80_000, Fault::LateWrites(0.3), Fault::LateWrites(0.0));
    simulation
}

/// The answers to many transactions of the key-value store are lost, and some transactions are applied late.
pub(super) fn lost_answers(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 30, 70_000, 0.4);
        schedule_leader_crashes(simulation, seed, 15_000, 80_000, 15_000);
        schedule_machine_faults(simulation, 3);
    });
    schedule_period(&mut simulation, 1_000, TROUBLE_ENDS, Fault::CloseReads(true), Fault::CloseReads(false));
    schedule_period(
        &mut simulation,
        4_000,
        85_000,
        Fault::LostStoreAnswers(0.4),
        Fault::LostStoreAnswers(0.0),
    );
    schedule_period(&mut simulation, 30_000, 60_000, Fault::LateWrites(0.2), Fault::LateWrites(0.0));
    simulation
}

/// Every team is at its limit. Jobs are cancelled while their machines hang or receive no commands, and the
/// leader crashes.
pub(super) fn full_teams(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 6);
    simulation.restart_delay_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    for number in 0..40 {
        let mut body = job(number, "array", 1);
        body["expected_s"] = simulation.rng.random_range(15.0..30.0).into();
        let submitted_at = simulation.rng_ms(500, 20_000);
        simulation.add_user(submitted_at, body, None);
    }
    simulation.keeps_images = true;
    for repetition in 0..3 {
        let ms = 25_000 + 20_000 * repetition;
        schedule_fault(&mut simulation, ms, Fault::CancelNow(5, 13_000));
        (0..3).for_each(|_| schedule_fault(&mut simulation, ms - 200, Fault::CommandsLost(12_000)));
        let ends = ms + simulation.rng_ms(0, 4_000);
        schedule_fault(&mut simulation, ends, Fault::Leader(LeaderFault::Crashes, 0));
    }
    simulation
}

/// Jobs are cancelled while a new leader takes over.
pub(super) fn failovers(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        for number in 20..110 {
            let mut body = job(number, "array", 1);
            body["expected_s"] = 3.0.into();
            (body["vcpus"], body["accelerators"]) = (0.5.into(), 0.1.into());
            let submitted_at = simulation.rng_ms(2_000, 80_000);
            let cancel_at = simulation
                .rng
                .random_bool(0.6)
                .then(|| submitted_at + simulation.rng.random_range(150..2_500));
            simulation.add_user(submitted_at, body, cancel_at);
        }
        schedule_leader_crashes(simulation, seed, 12_000, 85_000, 8_000);
        schedule_machine_faults(simulation, 3);
    });
    // Store requests are slow, so the nodes' caches of the job records lag by different amounts.
    schedule_period(&mut simulation, 5_000, TROUBLE_ENDS, Fault::SlowStore(600), Fault::SlowStore(0));
    simulation
}

/// New machines boot within seconds and receive tasks while store writes are delayed and leaders crash.
pub(super) fn fast_boots(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 50, 75_000, 0.2);
        schedule_leader_crashes(simulation, seed, 8_000, 80_000, 9_000);
        schedule_machine_faults(simulation, 6);
    });
    simulation.keeps_images = true;
    schedule_period(&mut simulation, 1, DAY_ENDS, Fault::FastBoots(true), Fault::FastBoots(false));
    schedule_period(&mut simulation, 5_000, 85_000, Fault::SlowStore(1_500), Fault::SlowStore(0));
    schedule_period(&mut simulation, 5_000, 80_000, Fault::LateWrites(0.25), Fault::LateWrites(0.0));
    simulation
}

/// Copies of heartbeats arrive late, many of them at a newly elected leader.
pub(super) fn old_heartbeats(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 40, 75_000, 0.3);
        schedule_leader_crashes(simulation, seed, 12_000, 85_000, 9_000);
        schedule_machine_faults(simulation, 6);
    });
    simulation.keeps_images = true;
    schedule_period(
        &mut simulation,
        5_000,
        85_000,
        Fault::HeartbeatCopiesForNextLeader(0.4),
        Fault::HeartbeatCopiesForNextLeader(0.0),
    );
    schedule_period(&mut simulation, 5_000, 85_000, Fault::LateHeartbeats(0.3), Fault::LateHeartbeats(0.0));
    simulation
}

/// Four jobs of one task are submitted per second for over a minute. A quarter of them are cancelled.
pub(super) fn small_jobs(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 60);
    simulation.cloud.max_machines_per_request = 12;
    for number in 0..280 {
        let mut body = job(number, "array", 1);
        body["expected_s"] = 2.0.into();
        body["vcpus"] = 1.0.into();
        body["accelerators"] = 0.25.into();
        let submitted_at = 2_000 + 250 * number as u64;
        let cancel_at = number.is_multiple_of(4).then(|| submitted_at + simulation.rng_ms(200, 4_000));
        if cancel_at.is_some() {
            body["expected_s"] = 100.0.into();
        }
        simulation.add_user(submitted_at, body, cancel_at);
    }
    schedule_leader_crashes(&mut simulation, seed, 30_000, 60_000, 20_000);
    schedule_machine_faults(&mut simulation, 3);
    simulation
}

/// Jobs are cancelled at the moment they end, or while they run and their machines hang. Even seeds have no
/// other fault.
pub(super) fn cancelled(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 50, 75_000, 0.0);
        for number in 70..90 {
            let mut body = job(number, ["array", "daemon"][number % 2], 1);
            body["expected_s"] = 150.0.into();
            body["accelerators"] = 0.25.into();
            simulation.add_user(1_000 + number as u64, body, Some(TROUBLE_ENDS));
        }
        if !seed.is_multiple_of(2) {
            schedule_leader_crashes(simulation, seed, 20_000, 80_000, 20_000);
            schedule_machine_faults(simulation, 3);
        }
    });
    schedule_period(&mut simulation, 1_000, 85_000, Fault::CancelAtEnd(0.7), Fault::CancelAtEnd(0.0));
    schedule_fault(&mut simulation, 20_000, Fault::CancelNow(6, 0));
    schedule_fault(&mut simulation, 30_000, Fault::CancelNow(8, 80_000));
    simulation
}

/// The heartbeats of all machines are lost for 25 s, and later those of some machines for 30 s. The machines
/// still receive direct commands.
pub(super) fn heartbeats_lost(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 30, 75_000, 0.3);
        schedule_machine_faults(simulation, 3);
    });
    simulation.restart_delay_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    schedule_fault(&mut simulation, 20_000, Fault::AllHeartbeatsLost(25_000));
    schedule_fault(&mut simulation, 22_000, Fault::Leader(LeaderFault::Crashes, 0));
    schedule_fault(&mut simulation, 26_000, Fault::CancelNow(6, 10_000));
    (0..5).for_each(|repetition| {
        schedule_fault(&mut simulation, 52_000 + 10 * repetition, Fault::HeartbeatsLost(30_000));
    });
    schedule_fault(&mut simulation, 60_000, Fault::Leader(LeaderFault::Crashes, 0));
    simulation
}

/// About ten leader changes within two minutes, with an outage of the key-value store in between. The tasks of
/// a job end at different times.
pub(super) fn ten_leaders(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        for number in 20..40 {
            let mut body = job(number, ["array", "ensemble"][number % 2], 2 + number as u32 % 2);
            body["expected_s"] = simulation.rng.random_range(1.0..14.0).into();
            body["accelerators"] = 0.5.into();
            let submitted_at = simulation.rng_ms(500, 60_000);
            simulation.add_user(submitted_at, body, None);
        }
        schedule_leader_crashes(simulation, seed, 5_000, 88_000, 7_000);
        schedule_machine_faults(simulation, 3);
    });
    schedule_period(&mut simulation, 30_000, 55_000, Fault::StoreOutage(true), Fault::StoreOutage(false));
    for node in 0..NODES {
        // All nodes crash at nearly the same time.
        schedule_fault(&mut simulation, 60_000 + node as u64, Fault::Crash(node));
    }
    simulation
}

/// Far more jobs of all urgencies than the resources allow, a slow key-value store, and malformed or
/// impossible requests throughout.
pub(super) fn overload(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 8);
    simulation.restart_delay_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    for number in 0..80 {
        let mut body = job(number, ["array", "ensemble", "array"][number % 3], 1 + number as u32 % 4);
        body["urgency"] = ["urgent", "idle", "normal", "production"][number % 4].into();
        body["expected_s"] = simulation.rng.random_range(1.0..3.0).into();
        let submitted_at = simulation.rng_ms(500, 40_000);
        simulation.add_user(submitted_at, body, None);
    }
    schedule_period(&mut simulation, 1_000, 85_000, Fault::OddRequests(true), Fault::OddRequests(false));
    schedule_period(&mut simulation, 5_000, 60_000, Fault::SlowStore(700), Fault::SlowStore(0));
    schedule_leader_crashes(&mut simulation, seed, 20_000, 70_000, 25_000);
    schedule_machine_faults(&mut simulation, 3);
    simulation
}

/// Jobs that are bound to one zone lose machines in that zone.
pub(super) fn bound_to_a_zone(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 40);
    for number in 0..20 {
        let mut body = job(number, ["array", "daemon", "ensemble"][number % 3], 3);
        body["region"] = ["z0", "z1"][number % 2].into();
        body["expected_s"] = simulation.rng.random_range(4.0..15.0).into();
        let submitted_at = simulation.rng_ms(500, 40_000);
        simulation.add_user(submitted_at, body, None);
    }
    schedule_leader_crashes(&mut simulation, seed, 25_000, 70_000, 25_000);
    for repetition in 0..9 {
        let ms = 12_000 + 6_000 * repetition;
        schedule_fault(
            &mut simulation,
            ms,
            [Fault::MachineDies, Fault::MachineHangs(20_000), Fault::SpotNotice][repetition as usize % 3]
                .clone(),
        );
    }
    simulation
}

/// A zone with workers and a node is partitioned from everything else for longer than a lease, while jobs are
/// cancelled.
pub(super) fn cut_off_zone(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 40, 80_000, 0.5);
        schedule_machine_faults(simulation, 3);
    });
    simulation.run_until(25_000);
    cut_zone(&mut simulation, seed as usize % NODES, true);
    schedule_fault(&mut simulation, 27_000, Fault::CancelNow(6, 0));
    schedule_fault(&mut simulation, 40_000, Fault::Leader(LeaderFault::Crashes, 0));
    simulation.run_until(70_000);
    simulation.count("a zone cut off");
    cut_zone(&mut simulation, seed as usize % NODES, false);
    simulation
}

/// All nodes are down for longer than a lease, and restart one after another.
pub(super) fn all_away(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 30, 70_000, 0.3);
        schedule_machine_faults(simulation, 3);
    });
    simulation.restart_delay_ms = 19_000..30_000;
    for node in 0..NODES {
        schedule_fault(&mut simulation, 25_000 + 40 * node as u64, Fault::Crash(node));
    }
    schedule_fault(&mut simulation, 24_900, Fault::CancelNow(6, 0));
    schedule_period(
        &mut simulation,
        15_000,
        60_000,
        Fault::HeartbeatCopiesForNextLeader(0.5),
        Fault::HeartbeatCopiesForNextLeader(0.0),
    );
    simulation
}

/// Commands, their answers and messages between nodes are held back. The leader is isolated while the cloud
/// is unreachable.
pub(super) fn held_messages(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| {
        add_job_stream(simulation, 20, 60, 75_000, 0.5);
        schedule_machine_faults(simulation, 3);
    });
    simulation.keeps_images = true;
    for repetition in 0..12 {
        let index = simulation.rng.random_range(0..NODES);
        let machine = Host::Machine(simulation.rng.random_range(0..10));
        let node = Host::Node(index);
        let peer = Host::Node((index + 1 + repetition % 2) % NODES);
        let (a, b) = match repetition % 3 {
            0 => (node, peer),
            1 => (node, machine),
            _ => (machine, node),
        };
        let from = simulation.rng_ms(8_000, 55_000);
        let to = from + simulation.rng_ms(3_000, 30_000);
        schedule_period(
            &mut simulation,
            from,
            to,
            Fault::Hold { a, b, on: true },
            Fault::Hold { a, b, on: false },
        );
        simulation.count("a link held");
    }
    schedule_fault(&mut simulation, 30_000, Fault::Leader(LeaderFault::Isolated, 25_001));
    schedule_period(&mut simulation, 30_000, 55_000, Fault::CloudOutage(true), Fault::CloudOutage(false));
    schedule_fault(&mut simulation, 32_000, Fault::CancelNow(6, 0));
    simulation
}

/// Copies of start commands that were carried out and answered reach the machines again, after their task has
/// moved or its job was cancelled. Machines hang and leaders crash, and both are back within a second. Urgent
/// work displaces other work, so that tasks move.
pub(super) fn repeated_starts(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 60);
    simulation.keeps_images = true;
    simulation.restart_delay_ms = 20..900;
    schedule_fault(&mut simulation, 1, Fault::StartCopies(1.0));
    for number in 0..16 {
        let tasks = simulation.rng.random_range(2..6);
        let mut body = job(number, ["array", "ensemble"][number % 2], tasks);
        body["urgency"] = "idle".into();
        body["expected_s"] = simulation.rng.random_range(4.0..60.0).into();
        let submitted_at = simulation.rng_ms(500, 30_000);
        let is_cancelled = simulation.rng.random_bool(0.4);
        let cancel_at = is_cancelled.then(|| submitted_at + simulation.rng.random_range(5_000..40_000));
        simulation.add_user(submitted_at, body, cancel_at);
    }
    for number in 16..24 {
        let mut body = job(number, ["daemon", "array"][number % 2], 3);
        body["urgency"] = "production".into();
        body["expected_s"] = 10.0.into();
        let submitted_at = simulation.rng_ms(30_000, 70_000);
        let cancel_at = submitted_at + simulation.rng.random_range(5_000..30_000);
        simulation.add_user(submitted_at, body, number.is_multiple_of(2).then_some(cancel_at));
    }
    // Replicas keep their machines from being returned before copies arrive there.
    for number in 28..40 {
        let mut body = job(number, "daemon", 1);
        body["vcpus"] = 1.0.into();
        body["preemptible"] = false.into();
        simulation.add_user(500, body, None);
    }
    schedule_machine_returns(&mut simulation);
    for _ in 0..3 {
        let at = simulation.rng_ms(15_000, 35_000);
        schedule_fault(&mut simulation, at, Fault::Leader(LeaderFault::Crashes, 0));
    }
    let full = Fault::CloudFull;
    schedule_period(&mut simulation, 30_000, TROUBLE_ENDS, full(true), full(false));
    simulation
}

/// Machines hang for less than a second, lose everything and are back at once, or are taken by the cloud.
fn schedule_machine_returns(simulation: &mut Simulation) {
    for number in 0..12 {
        let at = simulation.rng_ms(10_000, 85_000);
        let ms = simulation.rng_ms(100, 1_000);
        let fault = [Fault::MachineHangs(ms), Fault::WorkerRestarts, Fault::SpotNotice][number % 3].clone();
        schedule_fault(simulation, at, fault);
    }
}

/// Copies of start commands of tasks that are done reach the machines again, long after their job was cancelled.
/// Replicas keep the machines from being returned before.
pub(super) fn repeated_starts_of_done_tasks(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.keeps_images = true;
    schedule_fault(&mut simulation, 1, Fault::StartCopies(1.0));
    for number in 0..8 {
        let mut body = job(number, "daemon", 1);
        body["vcpus"] = 4.5.into();
        body["accelerators"] = 0.0.into();
        body["preemptible"] = false.into();
        simulation.add_user(500, body, None);
    }
    let mut body = job(20, "array", 60);
    body["expected_s"] = 4.0.into();
    simulation.add_user(12_000, body, Some(40_000));
    schedule_machine_returns(&mut simulation);
    simulation
}
