//! Ordinary days, days with a single kind of trouble, and upgrades.

use super::troubles;
use crate::node::Controller;
use crate::simulation::{Event, Fault, Host, NODES, Simulation, Submits, job};
use crate::types::MonotonicTime;
use rand::RngExt;

/// A day with jobs of all shapes; `faults` adds its troubles.
pub fn day(seed: u64, faults: impl FnOnce(&mut Simulation)) -> Simulation {
    let mut w = Simulation::new(seed);
    for n in 0..14 {
        let job_type = ["array", "ensemble", "daemon"][n % 3];
        let tasks = w.rng.random_range(1..5);
        let mut body = job(n, job_type, tasks);
        body["together"] = (n % 4 == 1).into();
        body["spread"] = (n % 5 == 2 && n % 4 != 1).into();
        body["preemptible"] = (n % 2 == 0).into();
        body["expected_s"] = w.rng.random_range(2.0..15.0).into();
        let at = w.rng_ms(500, 50_000);
        let gone = w.rng.random_bool(0.35).then(|| at + 5_000 + w.rng.random_range(0..30_000));
        w.add_user(at, body, gone);
    }
    faults(&mut w);
    w
}

/// Cuts (or mends) a zone off from everything else.
pub fn cut_zone(w: &mut Simulation, zone: usize, on: bool) {
    divide(w, zone, &[Host::Store, Host::Cloud, Host::User], on, false);
}

/// Cuts (or mends) the links between a zone's node and machines and those of the other zones and `others`.
fn divide(w: &mut Simulation, zone: usize, others: &[Host], on: bool, late: bool) {
    let name = format!("z{zone}");
    let inside = |w: &Simulation, h: Host| match h {
        Host::Node(i) => i == zone,
        Host::Machine(m) => w.workers[m].zone == name,
        _ => false,
    };
    let nodes = (0..NODES).map(Host::Node);
    let machines = (0..w.workers.len()).map(Host::Machine);
    let hosts: Vec<Host> = nodes.chain(machines).chain(others.iter().copied()).collect();
    for (n, a) in hosts.iter().enumerate() {
        for b in &hosts[n + 1..] {
            if inside(w, *a) != inside(w, *b) {
                w.at(w.now, Event::Fault(Fault::Cut { a: *a, b: *b, on, late }));
            }
        }
    }
}

/// Cuts a zone's node and machines off from the other zones' (or mends that), while the state service, the cloud and
/// users are reached from both sides.
fn part_zone(w: &mut Simulation, zone: usize, on: bool, late: bool) {
    divide(w, zone, &[], on, late);
}

/// Machines of a zone that are up and run a replica.
fn at_work(w: &Simulation, zone: usize) -> Vec<usize> {
    let name = format!("z{zone}");
    let is_service = |job: &str| w.users.iter().any(|u| u.id == job && u.body["shape"] == "daemon");
    let works = |m: &usize| {
        let w = &w.workers[*m];
        w.up && w.zone == name && w.tasks.iter().any(|t| t.present() && is_service(t.job()))
    };
    (0..w.workers.len()).filter(works).collect()
}

/// A day with services in all zones, one of which can't reach the others for longer than a lease; the node there, or
/// the leader on the other side, crashes in the midst, and machines hang. Gives the living machines at work in the zone
/// that were returned meanwhile.
pub fn parted_day(seed: u64, injected_fault: Option<fn(&mut Controller, u64)>) -> (Simulation, usize) {
    let mut w = Simulation::of(seed, NODES, 40);
    w.injected_fault = injected_fault;
    for n in 0..16 {
        let mut body = job(n, ["daemon", "array"][n % 2], 4);
        body["spread"] = (n % 2 == 0).into();
        body["preemptible"] = false.into();
        body["expected_s"] = 8.0.into();
        let at = w.rng_ms(500, 20_000);
        w.add_user(at, body, None);
    }
    w.run_until(30_000);
    // The first zone from the seed's on in which something runs.
    let mut zones = (0..NODES).map(|k| (seed as usize + k) % NODES);
    let zone = zones.find(|zone| !at_work(&w, *zone).is_empty()).expect("something runs");
    part_zone(&mut w, zone, true, seed.is_multiple_of(2));
    w.run_until(31_000);
    let before = at_work(&w, zone);
    assert!(!before.is_empty(), "seed {seed}: nothing runs in the zone");
    match seed % 4 {
        // Where messages are held, a worker goes round the nodes for longer than a lease until it meets a new run.
        1 => w.at(45_000, Event::Fault(Fault::Crash(zone))),
        3 => w.at(45_000, Event::Fault(Fault::Crash((zone + 1) % NODES))),
        _ => {}
    }
    // Five machines hang, on the other side.
    let mut others: Vec<usize> = (0..NODES).filter(|z| *z != zone).flat_map(|z| at_work(&w, z)).collect();
    others.truncate(5);
    others.iter().for_each(|m| w.workers[*m].hung_until = 60_000);
    w.run_until(85_000);
    // Two machines alone in a zone look like two that hang: that is not told apart.
    let returned = before.iter().filter(|m| !w.workers[**m].up && before.len() > 2).count();
    part_zone(&mut w, zone, false, seed.is_multiple_of(2));
    (w, returned)
}

/// Pipelines of all forms: arrays, a gang between them, fan-out and fan-in, on earlier jobs, the last
/// stage late, and some withdrawn on the way.
pub fn pipelines(w: &mut Simulation, from: u64, to: u64) {
    for p in 0..6 {
        let first = 100 + 10 * p;
        let id = |n: usize| format!("req-{:06}", first + n);
        let at = w.rng_ms(from, to);
        let gone = w.rng.random_bool(0.4).then(|| (w.rng.random_range(0..5), at + w.rng_ms(500, 40_000)));
        // An ordinary job of the day, which may be of another team, done or withdrawn by then.
        let earlier = format!("req-{:06}", [0, 1, 3, 4][p % 4]);
        let needs = [vec![earlier], vec![id(0)], vec![id(0)], vec![id(1), id(2)], vec![id(0), id(3), id(3)]];
        for (n, needs) in needs.into_iter().enumerate() {
            let job_type = if n == 3 { "ensemble" } else { "array" };
            let tasks = w.rng.random_range(1..if n == 1 { 12 } else { 4 });
            let mut body = job(first + n, job_type, tasks);
            body["accelerators"] = 0.0.into();
            body["vcpus"] = 1.0.into();
            body["memory_gb"] = 0.5.into();
            body["urgency"] = if n == 4 { "urgent" } else { "idle" }.into();
            body["expected_s"] = w.rng.random_range(1.0..6.0).into();
            body["awaits"] = serde_json::json!(needs);
            let cancel_at = gone.filter(|(which, _)| *which == n).map(|(_, at)| at);
            w.add_user(at + n as u64, body, cancel_at);
            if let Some(user) = w.users.last_mut().filter(|_| n == 4 && p % 3 == 0) {
                user.submits = Submits::OnceFinished;
            }
        }
    }
}

/// The version before dependencies serves at first; its processes are replaced one by one while
/// troubles come, some days all at once in between; then the state service lowers its limits.
pub fn upgrade_day(seed: u64, hard: bool) -> Simulation {
    let mut w = Simulation::new(seed);
    w.begin_old();
    let ordinary = day(seed, |_| {});
    for u in ordinary.users {
        let at = w.rng_ms(500, 50_000);
        w.add_user(at, u.body, u.cancel_at);
    }
    let mut at = w.rng_ms(8_000, 20_000);
    for i in 0..NODES {
        w.at(at, Event::Fault(Fault::Upgrade(i)));
        at += w.rng_ms(3_000, 9_000);
        if hard && w.rng.random_bool(0.5) {
            // Those whose turn hasn't come come back old.
            (0..NODES).for_each(|i| w.at(at + i as u64, Event::Fault(Fault::Crash(i))));
            at += 6_000;
        }
    }
    w.at(at + 2_000, Event::Fault(Fault::NextStoreLimits));
    pipelines(&mut w, at, 75_000);
    if hard {
        troubles(&mut w);
    }
    w
}

/// All nodes end during an outage of the state service.
pub fn crash_of_all_in_an_outage(seed: u64) -> Simulation {
    day(seed, |w| {
        w.at(20_000, Event::Fault(Fault::StoreOutage(true)));
        (0..NODES).for_each(|i| w.at(30_000 + 40 * i as u64, Event::Fault(Fault::Crash(i))));
        w.at(42_000, Event::Fault(Fault::StoreOutage(false)));
    })
}

/// Most machines die at once, and a node ends.
pub fn dead_majority(seed: u64) -> Simulation {
    day(seed, |w| {
        troubles(w);
        (0..9).for_each(|i| w.at(60_000 + i, Event::Fault(Fault::MachineDies)));
        w.at(60_500, Event::Fault(Fault::Crash(0)));
    })
}

/// Short jobs that are withdrawn at about the time of their end.
pub fn withdrawals(seed: u64) -> Simulation {
    day(seed, |w| {
        troubles(w);
        for n in 20..40 {
            let mut body = job(n, "array", 1);
            body["expected_s"] = 3.0.into();
            let at = w.rng_ms(500, 60_000);
            let gone = at + w.rng_ms(4_000, 14_000);
            w.add_user(at, body, Some(gone));
        }
    })
}

/// Ordinary jobs, pipelines and troubles of all kinds.
pub fn pipelined_day(seed: u64) -> Simulation {
    day(seed, |w| {
        w.run_until(1_000);
        pipelines(w, 6_000, 60_000);
        troubles(w);
    })
}

/// The state service refuses the leader for 40 s; another node takes over.
pub fn day_of_a_refused_leader(seed: u64) -> Simulation {
    let mut w = day(seed, |_| {});
    w.run_until(20_000);
    let leads = |w: &Simulation, i: usize| {
        let at = MonotonicTime::from_millis(1_000_000 + w.now);
        w.nodes[i].controller.as_ref().is_some_and(|c| c.holds_lease(at))
    };
    let old = (0..NODES).find(|i| leads(&w, *i)).expect("somebody leads");
    w.at(20_001, Event::Fault(Fault::StoreRefuses(old, true)));
    w.run_until(30_000);
    assert!((0..NODES).any(|i| i != old && leads(&w, i)), "seed {seed}: nobody took over");
    w.at(60_000, Event::Fault(Fault::StoreRefuses(old, false)));
    w
}

/// A zone is cut off from everything else for 75 s.
pub fn cut_off_zone(seed: u64) -> Simulation {
    let mut w = day(seed, |_| {});
    w.run_until(25_000);
    cut_zone(&mut w, seed as usize % NODES, true);
    w.run_until(100_000);
    cut_zone(&mut w, seed as usize % NODES, false);
    w
}

/// Five nodes, more than a hundred machines, and a crash of all nodes during an outage.
pub fn day_of_a_large_fleet(seed: u64) -> Simulation {
    let mut w = Simulation::of(seed, 5, 300);
    w.cloud.generous = 50;
    for n in 0..60 {
        let job_type = ["array", "ensemble", "daemon"][n % 3];
        let tasks = w.rng.random_range(2..if job_type == "array" { 24 } else { 9 });
        let mut body = job(n, job_type, tasks);
        body["together"] = (n % 2 == 1 && job_type == "ensemble").into();
        body["spread"] = (job_type == "daemon").into();
        body["expected_s"] = w.rng.random_range(4.0..20.0).into();
        let at = w.rng_ms(500, 15_000);
        w.add_user(at, body, None);
    }
    w.at(25_000, Event::Fault(Fault::StoreOutage(true)));
    (0..5).for_each(|i| w.at(30_000 + i as u64, Event::Fault(Fault::Crash(i))));
    w.at(36_000, Event::Fault(Fault::StoreOutage(false)));
    w
}

/// Two of three nodes are upgraded, and a job that depends on another is submitted to one of them.
pub fn day_of_a_mixed_version(seed: u64) -> Simulation {
    let mut w = Simulation::new(seed);
    w.begin_old();
    w.at(3_000, Event::Fault(Fault::Upgrade(0)));
    w.at(6_000, Event::Fault(Fault::Upgrade(1)));
    w.add_user(12_000, job(0, "array", 3), None);
    let mut body = job(2, "array", 2);
    body["awaits"] = serde_json::json!(["req-000000"]);
    w.add_user(13_000, body, None);
    w.users[1].node = Some(0);
    w
}
