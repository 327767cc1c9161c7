//! Ordinary days, days with a single kind of fault, and upgrades.

use super::{crash_all_nodes, schedule_fault, troubles};
use crate::node::Controller;
use crate::simulation::{Fault, Host, NODES, Simulation, Submits, job};
use crate::types::MonotonicTime;
use rand::RngExt;

/// A day with jobs of all shapes. `faults` schedules the faults of the day.
pub fn day(seed: u64, faults: impl FnOnce(&mut Simulation)) -> Simulation {
    let mut simulation = Simulation::new(seed);
    for number in 0..14 {
        let job_type = ["array", "ensemble", "daemon"][number % 3];
        let tasks = simulation.rng.random_range(1..5);
        let mut body = job(number, job_type, tasks);
        body["together"] = (number % 4 == 1).into();
        body["spread"] = (number % 5 == 2 && number % 4 != 1).into();
        body["preemptible"] = (number % 2 == 0).into();
        body["expected_s"] = simulation.rng.random_range(2.0..15.0).into();
        let at = simulation.rng_ms(500, 50_000);
        let is_cancelled = simulation.rng.random_bool(0.35);
        let cancel_at = is_cancelled.then(|| at + 5_000 + simulation.rng.random_range(0..30_000));
        simulation.add_user(at, body, cancel_at);
    }
    faults(&mut simulation);
    simulation
}

/// Cuts the links between a zone and everything else, or restores them if `on` is false.
pub fn cut_zone(simulation: &mut Simulation, zone: usize, on: bool) {
    cut_links_of_zone(simulation, zone, &[Host::Store, Host::Cloud, Host::User], on, false);
}

/// Cuts the links from a zone's node and machines to those of the other zones and to `others`, or restores
/// them if `on` is false.
fn cut_links_of_zone(simulation: &mut Simulation, zone: usize, others: &[Host], on: bool, late: bool) {
    let name = format!("z{zone}");
    let inside = |simulation: &Simulation, host: Host| match host {
        Host::Node(node) => node == zone,
        Host::Machine(machine) => simulation.workers[machine].zone == name,
        _ => false,
    };
    let nodes = (0..NODES).map(Host::Node);
    let machines = (0..simulation.workers.len()).map(Host::Machine);
    let hosts: Vec<Host> = nodes.chain(machines).chain(others.iter().copied()).collect();
    for (position, a) in hosts.iter().enumerate() {
        for b in &hosts[position + 1..] {
            if inside(simulation, *a) != inside(simulation, *b) {
                schedule_fault(simulation, simulation.now, Fault::Cut { a: *a, b: *b, on, late });
            }
        }
    }
}

/// Cuts the links between a zone and the other zones, or restores them if `on` is false. Both sides still
/// reach the key-value store, the cloud and users.
fn partition_zone(simulation: &mut Simulation, zone: usize, on: bool, late: bool) {
    cut_links_of_zone(simulation, zone, &[], on, late);
}

/// Returns the machines of a zone that are up and have a task of a service.
fn machines_with_services(simulation: &Simulation, zone: usize) -> Vec<usize> {
    let name = format!("z{zone}");
    let is_service =
        |job: &str| simulation.users.iter().any(|user| user.id == job && user.body["shape"] == "daemon");
    let works = |machine: &usize| {
        let worker = &simulation.workers[*machine];
        worker.up
            && worker.zone == name
            && worker.tasks.iter().any(|task| task.present() && is_service(task.job()))
    };
    (0..simulation.workers.len()).filter(works).collect()
}

/// A day with services in all zones, on which one zone is partitioned from the others for longer than a
/// lease. During the partition machines of other zones hang and, on odd seeds, the zone's node or a node of
/// another zone crashes. Also returns how many machines that ran services in the zone were returned to the
/// cloud during the partition (0 if there were at most two).
pub fn day_of_a_partitioned_zone(
    seed: u64,
    injected_fault: Option<fn(&mut Controller, u64)>,
) -> (Simulation, usize) {
    let mut simulation = Simulation::with_nodes(seed, NODES, 40);
    simulation.injected_fault = injected_fault;
    for number in 0..16 {
        let mut body = job(number, ["daemon", "array"][number % 2], 4);
        body["spread"] = (number % 2 == 0).into();
        body["preemptible"] = false.into();
        body["expected_s"] = 8.0.into();
        let at = simulation.rng_ms(500, 20_000);
        simulation.add_user(at, body, None);
    }
    simulation.run_until(30_000);
    // The first zone that runs a service, in an order that starts at the zone `seed % NODES`.
    let mut zones = (0..NODES).map(|offset| (seed as usize + offset) % NODES);
    let zone = zones
        .find(|zone| !machines_with_services(&simulation, *zone).is_empty())
        .expect("a zone runs a service");
    partition_zone(&mut simulation, zone, true, seed.is_multiple_of(2));
    simulation.run_until(31_000);
    let before = machines_with_services(&simulation, zone);
    assert!(!before.is_empty(), "seed {seed}: no service runs in the zone");
    match seed % 4 {
        // No node crashes on even seeds, on which messages are held back: a worker would retry the nodes in
        // turn for longer than a lease until the crashed node has restarted.
        1 => schedule_fault(&mut simulation, 45_000, Fault::Crash(zone)),
        3 => schedule_fault(&mut simulation, 45_000, Fault::Crash((zone + 1) % NODES)),
        _ => {}
    }
    // Five machines of other zones hang.
    let mut others: Vec<usize> = (0..NODES)
        .filter(|other| *other != zone)
        .flat_map(|other| machines_with_services(&simulation, other))
        .collect();
    others.truncate(5);
    others.iter().for_each(|m| simulation.workers[*m].hung_until = 60_000);
    simulation.run_until(85_000);
    // A partition that affects only two machines cannot be distinguished from two machines that hang.
    let returned = before.iter().filter(|m| !simulation.workers[**m].up && before.len() > 2).count();
    partition_zone(&mut simulation, zone, false, seed.is_multiple_of(2));
    (simulation, returned)
}

/// Which stage of a pipeline is cancelled, and when in milliseconds.
#[derive(Clone, Copy)]
struct Cancellation {
    stage: usize,
    at: u64,
}

/// Adds pipelines of arrays and ensembles with fan-out and fan-in, which depend on earlier jobs of the day.
/// The last stage of some is submitted only after its dependencies have finished, and one stage of some is
/// cancelled.
pub fn pipelines(simulation: &mut Simulation, from: u64, to: u64) {
    for pipeline in 0..6 {
        let first = 100 + 10 * pipeline;
        let id = |number: usize| format!("req-{:06}", first + number);
        let at = simulation.rng_ms(from, to);
        let cancellation = simulation.rng.random_bool(0.4).then(|| Cancellation {
            stage: simulation.rng.random_range(0..5),
            at: at + simulation.rng_ms(500, 40_000),
        });
        // An ordinary job of the day, which may belong to another team and may be done or cancelled already.
        let earlier = format!("req-{:06}", [0, 1, 3, 4][pipeline % 4]);
        let needs = [vec![earlier], vec![id(0)], vec![id(0)], vec![id(1), id(2)], vec![id(0), id(3), id(3)]];
        for (number, needs) in needs.into_iter().enumerate() {
            let job_type = if number == 3 { "ensemble" } else { "array" };
            let tasks = simulation.rng.random_range(1..if number == 1 { 12 } else { 4 });
            let mut body = job(first + number, job_type, tasks);
            body["accelerators"] = 0.0.into();
            body["vcpus"] = 1.0.into();
            body["memory_gb"] = 0.5.into();
            body["urgency"] = if number == 4 { "urgent" } else { "idle" }.into();
            body["expected_s"] = simulation.rng.random_range(1.0..6.0).into();
            body["awaits"] = serde_json::json!(needs);
            let cancel_at = cancellation.filter(|it| it.stage == number).map(|it| it.at);
            simulation.add_user(at + number as u64, body, cancel_at);
            if let Some(user) = simulation.users.last_mut().filter(|_| number == 4 && pipeline % 3 == 0) {
                user.submits = Submits::OnceFinished;
            }
        }
    }
}

/// All nodes start with the version that does not support dependencies and are upgraded one by one. If `hard`
/// is set, random faults occur and all nodes may crash between two upgrades. Afterwards the key-value store
/// lowers its limits.
pub fn upgrade_day(seed: u64, hard: bool) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.start_with_previous_version();
    let ordinary = day(seed, |_| {});
    for user in ordinary.users {
        let at = simulation.rng_ms(500, 50_000);
        simulation.add_user(at, user.body, user.cancel_at);
    }
    let mut at = simulation.rng_ms(8_000, 20_000);
    for node in 0..NODES {
        schedule_fault(&mut simulation, at, Fault::Upgrade(node));
        at += simulation.rng_ms(3_000, 9_000);
        if hard && simulation.rng.random_bool(0.5) {
            // Nodes that are not yet upgraded restart with the previous version.
            crash_all_nodes(&mut simulation, at);
            at += 6_000;
        }
    }
    schedule_fault(&mut simulation, at + 2_000, Fault::NextStoreLimits);
    pipelines(&mut simulation, at, 75_000);
    if hard {
        troubles(&mut simulation);
    }
    simulation
}

/// All nodes crash during an outage of the key-value store.
pub fn crash_of_all_in_an_outage(seed: u64) -> Simulation {
    day(seed, |simulation| {
        schedule_fault(simulation, 20_000, Fault::StoreOutage(true));
        for node in 0..NODES {
            schedule_fault(simulation, 30_000 + 40 * node as u64, Fault::Crash(node));
        }
        schedule_fault(simulation, 42_000, Fault::StoreOutage(false));
    })
}

/// Most machines fail within milliseconds and a node crashes, in addition to random faults.
pub fn dead_majority(seed: u64) -> Simulation {
    day(seed, |simulation| {
        troubles(simulation);
        (0..9).for_each(|death| schedule_fault(simulation, 60_000 + death, Fault::MachineDies));
        schedule_fault(simulation, 60_500, Fault::Crash(0));
    })
}

/// Short jobs that are cancelled at about the time at which they end, with random faults.
pub fn cancellations(seed: u64) -> Simulation {
    day(seed, |simulation| {
        troubles(simulation);
        for number in 20..40 {
            let mut body = job(number, "array", 1);
            body["expected_s"] = 3.0.into();
            let at = simulation.rng_ms(500, 60_000);
            let cancel_at = at + simulation.rng_ms(4_000, 14_000);
            simulation.add_user(at, body, Some(cancel_at));
        }
    })
}

/// Ordinary jobs, pipelines and random faults.
pub fn pipelined_day(seed: u64) -> Simulation {
    day(seed, |simulation| {
        simulation.run_until(1_000);
        pipelines(simulation, 6_000, 60_000);
        troubles(simulation);
    })
}

/// The key-value store refuses the requests of the leader for 40 s, and another node takes over.
pub fn day_of_a_refused_leader(seed: u64) -> Simulation {
    let mut simulation = day(seed, |_| {});
    simulation.run_until(20_000);
    let leads = |simulation: &Simulation, node: usize| {
        let at = MonotonicTime::from_millis(1_000_000 + simulation.now);
        simulation.nodes[node].controller.as_ref().is_some_and(|controller| controller.holds_lease(at))
    };
    let old = (0..NODES).find(|node| leads(&simulation, *node)).expect("a node holds the lease");
    schedule_fault(&mut simulation, 20_001, Fault::StoreRefuses(old, true));
    simulation.run_until(30_000);
    assert!(
        (0..NODES).any(|node| node != old && leads(&simulation, node)),
        "seed {seed}: no other node took over the lease"
    );
    schedule_fault(&mut simulation, 60_000, Fault::StoreRefuses(old, false));
    simulation
}

/// A zone is partitioned from everything else for 75 s.
pub fn cut_off_zone(seed: u64) -> Simulation {
    let mut simulation = day(seed, |_| {});
    simulation.run_until(25_000);
    cut_zone(&mut simulation, seed as usize % NODES, true);
    simulation.run_until(100_000);
    cut_zone(&mut simulation, seed as usize % NODES, false);
    simulation
}

/// Five nodes, more than 100 machines, and a crash of all nodes during an outage of the key-value store.
pub fn day_of_a_large_fleet(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, 5, 300);
    simulation.cloud.max_machines_per_request = 50;
    for number in 0..60 {
        let job_type = ["array", "ensemble", "daemon"][number % 3];
        let tasks = simulation.rng.random_range(2..if job_type == "array" { 24 } else { 9 });
        let mut body = job(number, job_type, tasks);
        body["together"] = (number % 2 == 1 && job_type == "ensemble").into();
        body["spread"] = (job_type == "daemon").into();
        body["expected_s"] = simulation.rng.random_range(4.0..20.0).into();
        let at = simulation.rng_ms(500, 15_000);
        simulation.add_user(at, body, None);
    }
    schedule_fault(&mut simulation, 25_000, Fault::StoreOutage(true));
    (0..5).for_each(|node| schedule_fault(&mut simulation, 30_000 + node as u64, Fault::Crash(node)));
    schedule_fault(&mut simulation, 36_000, Fault::StoreOutage(false));
    simulation
}

/// Two of three nodes are upgraded, and a job with a dependency is submitted to one of the upgraded nodes.
pub fn day_of_a_mixed_version(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.start_with_previous_version();
    schedule_fault(&mut simulation, 3_000, Fault::Upgrade(0));
    schedule_fault(&mut simulation, 6_000, Fault::Upgrade(1));
    simulation.add_user(12_000, job(0, "array", 3), None);
    let mut body = job(2, "array", 2);
    body["awaits"] = serde_json::json!(["req-000000"]);
    simulation.add_user(13_000, body, None);
    simulation.users[1].node = Some(0);
    simulation
}
