//! Days on which two troubles overlap, drawn by the seed.

use super::TROUBLE_ENDS;
use super::ordinary::day;
use crate::simulation::{Event, Fault, Host, LeaderFault, NODES, Simulation, job};
use rand::RngExt;

/// The rows of `docs/design/combined_failures.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    HeldOrders,
    LateWrites,
    LateReports,
    LeaderApart,
    HandOvers,
    LeaderEnds,
    Deaf,
    Slow,
    RefusedThenAway,
    AllAway,
    CalledOffNow,
    CalledOffAtEnd,
    Mute,
    OddRequests,
    CloseReads,
    LostAnswers,
    CopiesForNext,
    FastBoots,
}

const ALL: [Trouble; 18] = [
    Trouble::HeldOrders,
    Trouble::LateWrites,
    Trouble::LateReports,
    Trouble::LeaderApart,
    Trouble::HandOvers,
    Trouble::LeaderEnds,
    Trouble::Deaf,
    Trouble::Slow,
    Trouble::RefusedThenAway,
    Trouble::AllAway,
    Trouble::CalledOffNow,
    Trouble::CalledOffAtEnd,
    Trouble::Mute,
    Trouble::OddRequests,
    Trouble::CloseReads,
    Trouble::LostAnswers,
    Trouble::CopiesForNext,
    Trouble::FastBoots,
];

/// Brings a trouble about from `from` to `to` at the latest.
fn bring(w: &mut Simulation, trouble: Trouble, from: u64, to: u64) {
    let fault = Event::Fault;
    match trouble {
        Trouble::HeldOrders => {
            for _ in 0..8 {
                let (i, m) = (w.rng.random_range(0..NODES), w.rng.random_range(0..12));
                let (a, b) = (Host::Node(i), Host::Machine(m));
                let (a, b) = if w.rng.random_bool(0.4) { (b, a) } else { (a, b) };
                let at = w.rng_ms(from, to - 2_000);
                let until = (at + w.rng_ms(1_000, 30_000)).min(to);
                w.at(at, fault(Fault::Hold { a, b, on: true }));
                w.at(until, fault(Fault::Hold { a, b, on: false }));
            }
        }
        Trouble::LateWrites => {
            let share = w.rng.random_range(0.1..0.5);
            w.at(from, fault(Fault::LateWrites(share)));
            w.at(to, fault(Fault::LateWrites(0.0)));
        }
        Trouble::LateReports => {
            let share = w.rng.random_range(0.2..0.6);
            w.at(from, fault(Fault::LateHeartbeats(share)));
            w.at(to, fault(Fault::LateHeartbeats(0.0)));
        }
        Trouble::LeaderApart => w.at(from, fault(Fault::Leader(LeaderFault::Isolated, to - from))),
        Trouble::HandOvers => {
            let mut at = from;
            while at < to {
                let all = w.rng.random_bool(0.2);
                match all {
                    true => (0..NODES).for_each(|i| w.at(at + i as u64, fault(Fault::Crash(i)))),
                    false => w.at(at, fault(Fault::Leader(LeaderFault::Ends, 0))),
                }
                at += w.rng_ms(2_000, 12_000);
            }
        }
        Trouble::LeaderEnds => w.at(from, fault(Fault::Leader(LeaderFault::Ends, 0))),
        Trouble::Deaf => {
            for _ in 0..4 {
                let at = w.rng_ms(from, to);
                let ms = w.rng.random_range(2_000..40_000).min(TROUBLE_ENDS - at);
                w.at(at, fault(Fault::CommandsLost(ms)));
            }
        }
        Trouble::Slow => {
            let ms = w.rng.random_range(200..4_000);
            w.at(from, fault(Fault::SlowStore(ms)));
            w.at(to, fault(Fault::SlowStore(0)));
        }
        Trouble::AllAway => {
            let every = w.rng.random_range(2_000..4_000);
            let until = to.min(from + 22_000);
            for at in (from..until).step_by(every) {
                (0..NODES).for_each(|i| w.at(at + i as u64, fault(Fault::Crash(i))));
            }
        }
        Trouble::CalledOffNow => {
            for _ in 0..2 {
                let at = w.rng_ms(from, to);
                let (count, hang) = (w.rng.random_range(2..8), w.rng.random_range(0..30_000));
                w.at(at, fault(Fault::CancelNow(count, hang.min(TROUBLE_ENDS - at))));
            }
        }
        Trouble::CalledOffAtEnd => {
            w.at(from, fault(Fault::CancelAtEnd(0.5)));
            w.at(to, fault(Fault::CancelAtEnd(0.0)));
        }
        Trouble::Mute => {
            for n in 0..4 {
                let at = w.rng_ms(from, to);
                let ms = w.rng.random_range(2_000..40_000).min(TROUBLE_ENDS - at);
                w.at(
                    at,
                    fault(if n == 0 { Fault::AllHeartbeatsLost(ms) } else { Fault::HeartbeatsLost(ms) }),
                );
            }
        }
        Trouble::OddRequests => {
            w.at(from, fault(Fault::OddRequests(true)));
            w.at(to, fault(Fault::OddRequests(false)));
        }
        Trouble::CloseReads => {
            w.at(from, fault(Fault::CloseReads(true)));
            w.at(to, fault(Fault::CloseReads(false)));
        }
        Trouble::LostAnswers => {
            let share = w.rng.random_range(0.1..0.5);
            w.at(from, fault(Fault::LostStoreAnswers(share)));
            w.at(to, fault(Fault::LostStoreAnswers(0.0)));
        }
        Trouble::CopiesForNext => {
            let share = w.rng.random_range(0.2..0.6);
            w.at(from, fault(Fault::HeartbeatCopiesForNextLeader(share)));
            w.at(to, fault(Fault::HeartbeatCopiesForNextLeader(0.0)));
        }
        Trouble::FastBoots => {
            w.at(from, fault(Fault::FastBoots(true)));
            w.at(to, fault(Fault::FastBoots(false)));
        }
        Trouble::RefusedThenAway => {
            w.at(from, fault(Fault::Leader(LeaderFault::Refused, 9_000)));
            let down = from + w.rng_ms(500, 8_000);
            w.at(down, fault(Fault::StoreOutage(true)));
            w.at(to.max(down + 1_000), fault(Fault::StoreOutage(false)));
        }
    }
}

/// A day on which two troubles overlap, twice, while at least three machines fail.
pub fn meeting_day(seed: u64) -> (Simulation, Vec<Trouble>) {
    let mut met = Vec::new();
    let w = day(seed, |w| {
        w.keeps_images = true;
        w.away_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
        w.drift_ppm = vec![500, -500, 0];
        // Jobs of two or three tasks, some of which end far apart.
        for n in 20..30 {
            let job_type = ["array", "ensemble", "array"][n % 3];
            let mut body = job(n, job_type, 2 + n as u32 % 2);
            body["expected_s"] = w.rng.random_range(1.0..6.0).into();
            let at = w.rng_ms(500, 60_000);
            let gone = w.rng.random_bool(0.3).then(|| at + w.rng_ms(500, 15_000));
            w.add_user(at, body, gone);
        }
        for part in [10_000..45_000, 48_000..TROUBLE_ENDS - 1_000] {
            let first = w.rng.random_range(0..ALL.len());
            let second = (first + w.rng.random_range(1..ALL.len())) % ALL.len();
            for trouble in [ALL[first], ALL[second]] {
                let from = w.rng_ms(part.start, part.start + 10_000);
                let to = w.rng_ms(from + 10_000, part.end.max(from + 10_001)).min(TROUBLE_ENDS);
                bring(w, trouble, from, to);
                met.push(trouble);
            }
        }
        for n in 0..w.rng.random_range(3..6) {
            let (at, ms) = (w.rng_ms(8_000, 80_000), w.rng.random_range(2_000..30_000));
            let fails =
                [Fault::MachineDies, Fault::MachineHangs(ms), Fault::SpotNotice, Fault::MachineHangs(ms)];
            w.at(at, Event::Fault(fails[n % 4].clone()));
        }
    });
    (w, met)
}
