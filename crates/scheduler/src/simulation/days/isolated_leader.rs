//! Days on which the state service refuses the leader alone, and is then down for everybody.

use crate::simulation::{Event, Fault, Host, LeaderFault, NODES, Simulation, job};
use rand::RngExt;

/// When the troubles begin.
const T: u64 = 30_000;

/// Clocks at the ends of their drift, and images that stay where they are.
fn world(seed: u64, gpus: u32) -> Simulation {
    let mut w = Simulation::of(seed, NODES, gpus);
    w.cloud.generous = 30;
    w.keeps_images = true;
    w.drift_ppm = (0..NODES as u64).map(|i| if (seed >> i) & 1 == 0 { -500 } else { 500 }).collect();
    w
}

/// Long jobs of all shapes, most of them cancelled around the refusal. Gives when the last trouble is over.
pub fn gap_day(seed: u64) -> (Simulation, u64) {
    let mut w = world(seed, 60);
    for n in 0..36 {
        let job_type = ["daemon", "array", "ensemble", "daemon"][n % 4];
        let tasks = w.rng.random_range(1..3);
        let mut body = job(n, job_type, tasks);
        body["expected_s"] = 400.0.into();
        body["vcpus"] = 1.0.into();
        let at = w.rng_ms(500, 14_000);
        let gone = w.rng.random_bool(0.8).then(|| w.rng_ms(T - 8_000, T + 16_000));
        w.add_user(at, body, gone);
    }
    // New work all along, so that starts are on their way at every moment.
    for n in 36..70 {
        let mut body = job(n, "array", 1);
        body["expected_s"] = 400.0.into();
        body["vcpus"] = 1.0.into();
        let at = w.rng_ms(T - 4_000, T + 14_000);
        let gone = at + w.rng_ms(300, 6_000);
        w.add_user(at, body, Some(gone));
    }
    // What the leader meets first.
    let first = w.rng_ms(T, T + 2_000);
    let long = w.rng_ms(2_000, 20_000);
    let what = match w.rng.random_range(0..4) {
        0 => LeaderFault::Isolated,
        1 => LeaderFault::Ends,
        _ => LeaderFault::Refused,
    };
    w.at(first, Event::Fault(Fault::Leader(what, long)));
    // A change of the lead, or all nodes ending, in the midst.
    w.away_ms = if w.rng.random_bool(0.5) { 20..300 } else { 1_000..9_000 };
    let at = w.rng_ms(first, first + 8_000);
    match w.rng.random_range(0..4) {
        0 => (0..NODES).for_each(|i| w.at(at + 30 * i as u64, Event::Fault(Fault::Crash(i)))),
        1 => w.at(at, Event::Fault(Fault::Leader(LeaderFault::Ends, 0))),
        2 => {
            let slow = w.rng.random_range(100..2_500);
            w.at(at, Event::Fault(Fault::SlowStore(slow)));
            w.at(at + 20_000, Event::Fault(Fault::SlowStore(0)));
        }
        _ => {}
    }
    // Then nobody reaches the state service, for longer than `cancel_s`.
    let down = w.rng_ms(first, first + 16_000);
    let up = down + w.rng_ms(49_000, 75_000);
    w.at(down, Event::Fault(Fault::StoreOutage(true)));
    w.at(up, Event::Fault(Fault::StoreOutage(false)));
    let mut over = up;
    if seed.is_multiple_of(3) {
        // Grants have their full time again, so the leader before may lead on; and it is refused again at once.
        let again = up + w.rng_ms(0, 1_500);
        w.at(again, Event::Fault(Fault::Leader(LeaderFault::Refused, 14_000)));
        w.at(again + 1_500, Event::Fault(Fault::StoreOutage(true)));
        over = again + 65_000;
        w.at(over, Event::Fault(Fault::StoreOutage(false)));
    }
    // Orders to some machines are held up, from a node or from all; answers to others.
    for _ in 0..w.rng.random_range(0..5) {
        let (m, only) = (w.rng.random_range(0..14), w.rng.random_range(0..2 * NODES));
        let (from, back) = (w.rng_ms(T - 3_000, T + 14_000), w.rng.random_bool(0.2));
        let to = from + w.rng_ms(2_000, 90_000);
        for i in (0..NODES).filter(|i| only >= NODES || *i == only) {
            let (a, b) = (Host::Node(i), Host::Machine(m));
            let (a, b) = if back { (b, a) } else { (a, b) };
            w.at(from, Event::Fault(Fault::Hold { a, b, on: true }));
            w.at(to, Event::Fault(Fault::Hold { a, b, on: false }));
        }
        over = over.max(to);
    }
    for n in 0..w.rng.random_range(3..7) {
        let at = w.rng_ms(T - 3_000, T + 20_000);
        let ms = w.rng.random_range(2_000..30_000);
        let fault = [Fault::MachineHangs(ms), Fault::CommandsLost(ms), Fault::MachineDies][n % 3].clone();
        w.at(at, Event::Fault(fault));
    }
    (w, over)
}

/// Starts are held up on their way from the leader, longer than their jobs' cancellations may take, while their workers
/// are answered by other nodes; and the cloud does not answer the leader that would return those machines, before the
/// state service goes away too.
pub fn held_day(seed: u64) -> (Simulation, u64) {
    let mut w = world(seed, 200);
    // These leave room behind on machines that all nodes have heard.
    for n in 0..24 {
        let mut body = job(n, "array", 2);
        let at = w.rng_ms(500, 8_000);
        body["expected_s"] = ((T - 8_000 - at) as f64 / 1000.0).into();
        w.add_user(at, body, None);
    }
    for n in 24..90 {
        let mut body = job(n, "array", 1);
        body["expected_s"] = 400.0.into();
        let at = w.rng_ms(T - 3_000, T + 1_500);
        let gone = w.rng_ms(T - 1_500, T + 1_000);
        w.add_user(at, body, Some(gone));
    }
    let held = w.rng_ms(T - 500, T + 500);
    let for_ms = w.rng_ms(48_500, 57_000);
    w.at(held, Event::Fault(Fault::Leader(LeaderFault::CommandsHeld, for_ms)));
    let down = w.rng_ms(T + 5_000, T + 14_000);
    w.at(down, Event::Fault(Fault::StoreOutage(true)));
    w.at(down + 70_000, Event::Fault(Fault::StoreOutage(false)));
    w.at(T, Event::Fault(Fault::CloudOutage(true)));
    w.at(down + 70_000, Event::Fault(Fault::CloudOutage(false)));
    for n in 0..w.rng.random_range(3..6) {
        let (at, ms) = (w.rng_ms(T - 3_000, T + 20_000), w.rng.random_range(2_000..20_000));
        let fault = [Fault::MachineHangs(ms), Fault::MachineDies, Fault::CommandsLost(ms)][n % 3].clone();
        w.at(at, Event::Fault(fault));
    }
    (w, down + 70_000)
}
