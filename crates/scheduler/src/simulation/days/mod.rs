//! Seeded days by kind, and troubles for them.

pub mod bad_records;
pub mod combined_faults;
pub mod directed;
pub mod fields;
pub mod isolated_leader;
pub mod kinds;
pub mod ordinary;
pub mod recovery;

use super::{Event, Fault, Host, NODES, Simulation};
use rand::RngExt;

pub const TROUBLE_ENDS: u64 = 90_000;
pub const DAY_ENDS: u64 = 190_000;

fn for_a_while(w: &mut Simulation, most: u64, on: Fault, off: Fault) {
    let from = w.rng_ms(5_000, 70_000);
    let to = (from + w.rng.random_range(1_000..most)).min(TROUBLE_ENDS);
    w.at(from, Event::Fault(on));
    w.at(to, Event::Fault(off));
}

/// Troubles of all kinds at random times, the last over by `TROUBLE_ENDS`.
pub fn troubles(w: &mut Simulation) {
    for _ in 0..w.rng.random_range(3..9) {
        let i = w.rng.random_range(0..NODES);
        let j = (i + w.rng.random_range(1..NODES)) % NODES;
        let late = w.rng.random_bool(0.5);
        let cut = |a, b, on| Fault::Cut { a, b, on, late };
        let at = w.rng_ms(5_000, 80_000);
        match w.rng.random_range(0..10) {
            0 => w.at(at, Event::Fault(Fault::Crash(i))),
            1 => (0..NODES).for_each(|i| w.at(at + i as u64, Event::Fault(Fault::Crash(i)))),
            2 => for_a_while(w, 25_000, Fault::StoreOutage(true), Fault::StoreOutage(false)),
            3 => for_a_while(w, 40_000, Fault::StoreRefuses(i, true), Fault::StoreRefuses(i, false)),
            4 => for_a_while(
                w,
                40_000,
                cut(Host::Node(i), Host::Store, true),
                cut(Host::Node(i), Host::Store, false),
            ),
            5 => for_a_while(
                w,
                40_000,
                cut(Host::Node(i), Host::Node(j), true),
                cut(Host::Node(i), Host::Node(j), false),
            ),
            6 => (0..20).for_each(|m| {
                let (a, b) = (Host::Node(i), Host::Machine(m));
                w.at(at, Event::Fault(cut(a, b, true)));
                w.at((at + 30_000).min(TROUBLE_ENDS), Event::Fault(cut(a, b, false)));
            }),
            7 => w.at(at, Event::Fault(Fault::MachineDies)),
            8 => {
                let ms = w.rng.random_range(2_000..40_000);
                w.at(at, Event::Fault(Fault::MachineHangs(ms)));
            }
            _ => w.at(at, Event::Fault(Fault::SpotNotice)),
        }
    }
    for_a_while(w, 20_000, Fault::CloudOutage(true), Fault::CloudOutage(false));
}
