//! Seeded simulation runs ("days") of each kind, and the faults that are scheduled in them.

pub mod bad_records;
pub mod combined_faults;
pub mod directed;
pub mod fields;
pub mod isolated_leader;
pub mod kinds;
pub mod mistaken_jobs;
pub mod ordinary;
pub mod recovery;

use super::{Event, Fault, Host, NODES, Simulation};
use rand::RngExt;

/// The simulated time by which the faults of a usual day have ended, except hangs of machines, in milliseconds.
pub const TROUBLE_ENDS: u64 = 90_000;
/// The simulated time at which a usual day ends, in milliseconds.
pub const DAY_ENDS: u64 = 190_000;

/// Schedules a fault at a simulated time in milliseconds.
fn schedule_fault(simulation: &mut Simulation, at_ms: u64, fault: Fault) {
    simulation.at(at_ms, Event::Fault(fault));
}

/// Schedules the start and the end of a fault that lasts for a period.
fn schedule_period(simulation: &mut Simulation, from_ms: u64, to_ms: u64, on: Fault, off: Fault) {
    schedule_fault(simulation, from_ms, on);
    schedule_fault(simulation, to_ms, off);
}

/// Crashes the first `NODES` nodes, one per millisecond.
fn crash_all_nodes(simulation: &mut Simulation, at_ms: u64) {
    (0..NODES).for_each(|node| schedule_fault(simulation, at_ms + node as u64, Fault::Crash(node)));
}

/// Schedules a fault for a random period that is shorter than `max_ms`.
fn schedule_random_period(simulation: &mut Simulation, max_ms: u64, fault: impl Fn(bool) -> Fault) {
    let from = simulation.rng_ms(5_000, 70_000);
    let to = (from + simulation.rng.random_range(1_000..max_ms)).min(TROUBLE_ENDS);
    schedule_period(simulation, from, to, fault(true), fault(false));
}

/// Schedules random faults at random times. All of them end by `TROUBLE_ENDS`, except hangs of machines.
pub fn troubles(simulation: &mut Simulation) {
    for _ in 0..simulation.rng.random_range(3..9) {
        schedule_random_fault(simulation);
    }
    schedule_random_period(simulation, 20_000, Fault::CloudOutage);
}

fn schedule_random_fault(simulation: &mut Simulation) {
    let node = simulation.rng.random_range(0..NODES);
    let peer = (node + simulation.rng.random_range(1..NODES)) % NODES;
    let late = simulation.rng.random_bool(0.5);
    let cut = |other, on| Fault::Cut { a: Host::Node(node), b: other, on, late };
    let at = simulation.rng_ms(5_000, 80_000);
    match simulation.rng.random_range(0..10) {
        0 => schedule_fault(simulation, at, Fault::Crash(node)),
        1 => crash_all_nodes(simulation, at),
        2 => schedule_random_period(simulation, 25_000, Fault::StoreOutage),
        3 => schedule_random_period(simulation, 40_000, |on| Fault::StoreRefuses(node, on)),
        4 => schedule_random_period(simulation, 40_000, |on| cut(Host::Store, on)),
        5 => schedule_random_period(simulation, 40_000, |on| cut(Host::Node(peer), on)),
        6 => (0..20).map(Host::Machine).for_each(|machine| {
            let to = (at + 30_000).min(TROUBLE_ENDS);
            schedule_period(simulation, at, to, cut(machine, true), cut(machine, false));
        }),
        7 => schedule_fault(simulation, at, Fault::MachineDies),
        8 => {
            let ms = simulation.rng.random_range(2_000..40_000);
            schedule_fault(simulation, at, Fault::MachineHangs(ms));
        }
        _ => schedule_fault(simulation, at, Fault::SpotNotice),
    }
}
