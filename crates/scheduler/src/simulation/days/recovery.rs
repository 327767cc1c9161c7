//! Days on which all controllers of a larger fleet go down while several machines fail.

use crate::simulation::{Event, Fault, Host, Simulation, job};
use rand::RngExt;

pub const NODES: usize = 5;

const LAST: u64 = 70_000;

pub const ENDS: u64 = 170_000;

/// What a day is to be like; the seed draws the rest.
#[derive(Debug, Clone, Copy)]
pub enum Down {
    Once,
    /// Every few seconds, until leases have run out.
    InARow,
    /// Again so long after each return: in the midst of reading, gathering, squaring.
    Midst,
}

pub fn crash_all(w: &mut Simulation, at: u64) {
    for i in 0..NODES {
        let after = w.rng_ms(0, 400);
        w.at(at + after, Event::Fault(Fault::Crash(i)));
    }
}

/// Jobs of all shapes and both teams, and the day's crashes and troubles.
pub fn day(seed: u64, down: Down, jobs: usize) -> Simulation {
    let mut w = Simulation::of(seed, NODES, 400);
    w.cloud.generous = 50;
    for n in 0..jobs {
        let job_type = ["array", "ensemble", "daemon", "array", "daemon"][n % 5];
        let most = match job_type {
            "array" => 26,
            "ensemble" => 6,
            _ => 9,
        };
        let tasks = w.rng.random_range(2..most);
        let mut body = job(n, job_type, tasks);
        body["together"] = (job_type == "ensemble" && n % 2 == 0).into();
        body["spread"] = (job_type == "daemon").into();
        body["expected_s"] = w.rng.random_range(6.0..25.0).into();
        let at = w.rng_ms(500, 20_000);
        let gone = w.rng.random_bool(0.15).then(|| at + w.rng_ms(15_000, 60_000));
        w.add_user(at, body, gone);
    }
    let mut at = w.rng_ms(24_000, 30_000);
    match down {
        Down::Once => crash_all(&mut w, at),
        Down::InARow => {
            while at < 52_000 {
                crash_all(&mut w, at);
                at += w.rng_ms(2_000, 5_000);
            }
        }
        Down::Midst => {
            for _ in 0..4 {
                crash_all(&mut w, at);
                // Nodes take 1 to 4 s to come back.
                at += w.rng_ms(4_500, 12_000);
            }
        }
    }
    // At least five machines fail, of kinds drawn by the seed.
    for _ in 0..w.rng.random_range(5..12) {
        let at = w.rng_ms(23_000, 60_000);
        let fault = match w.rng.random_range(0..4) {
            0 => Fault::MachineDies,
            // Some longer than a lease: their tasks are gone when they go on.
            1 | 2 => Fault::MachineHangs(w.rng.random_range(2_000..35_000)),
            _ => Fault::SpotNotice,
        };
        w.at(at, Event::Fault(fault));
    }
    let at = w.rng_ms(22_000, 55_000);
    match w.rng.random_range(0..4) {
        0 => {
            w.at(at, Event::Fault(Fault::StoreOutage(true)));
            w.at(at + 8_000, Event::Fault(Fault::StoreOutage(false)));
        }
        1 => {
            let i = w.rng.random_range(0..NODES);
            for m in 0..20 {
                let cut = |on| Fault::Cut { a: Host::Node(i), b: Host::Machine(m), on, late: true };
                w.at(at, Event::Fault(cut(true)));
                w.at((at + 15_000).min(LAST), Event::Fault(cut(false)));
            }
        }
        2 => {
            let i = w.rng.random_range(0..NODES);
            w.at(at, Event::Fault(Fault::StoreRefuses(i, true)));
            w.at((at + 12_000).min(LAST), Event::Fault(Fault::StoreRefuses(i, false)));
        }
        _ => {}
    }
    w
}

/// Nodes are back within a fraction of a second, alone, all at once and several times in a row, while the old run's
/// sockets, grant and transactions live on; what was sent comes again up to 20 s later.
pub fn day_of_quick_returns(seed: u64, jobs: usize) -> Simulation {
    let mut w = day(seed, Down::Once, jobs);
    w.away_ms = if seed.is_multiple_of(3) { 20..5_000 } else { 20..300 };
    w.again = if seed.is_multiple_of(2) { 0.05 } else { 0.3 };
    let mut at = w.rng_ms(8_000, 12_000);
    while at < 60_000 {
        let i = w.rng.random_range(0..NODES);
        match w.rng.random_range(0..3) {
            0 => w.at(at, Event::Fault(Fault::Crash(i))),
            1 => (0..4).for_each(|n| w.at(at + 350 * n, Event::Fault(Fault::Crash(i)))),
            _ => crash_all(&mut w, at),
        }
        at += w.rng_ms(300, 9_000);
    }
    w
}

/// When all nodes go down on the day of lost leases.
pub const DOWN_MS: u64 = 30_000;

/// Services only; all leases run out while nobody leads.
pub fn day_of_lost_leases(seed: u64) -> Simulation {
    let mut w = Simulation::of(seed, NODES, 400);
    w.cloud.generous = 50;
    for n in 0..20 {
        let mut body = job(n, "daemon", 4);
        body["spread"] = (n % 2 == 0).into();
        w.add_user(500 + 50 * n as u64, body, None);
    }
    let down = DOWN_MS;
    // Without the state service the nodes that come back can't answer anybody.
    crash_all(&mut w, down);
    w.at(down, Event::Fault(Fault::StoreOutage(true)));
    w.at(down + 24_000, Event::Fault(Fault::StoreOutage(false)));
    w
}
