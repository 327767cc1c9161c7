//! Days that bring about one meeting of troubles each. `docs/design/combined_failures.md` has the rows.

use super::ordinary::{cut_zone, day};
use super::{DAY_ENDS, TROUBLE_ENDS};
use crate::node::{Controller, DisabledCheck};
use crate::simulation::{Event, Fault, Host, LeaderFault, NODES, Simulation, job};
use pearford_heartbeat::DisabledCheck as LeaseCheck;
use rand::RngExt;

/// A meeting: its day, what must have taken place, and a guard that its day needs.
pub struct Row {
    pub name: &'static str,
    pub day: fn(u64) -> Simulation,
    /// What must have taken place, and how often at least over the seeds.
    pub occurrences: &'static [(&'static str, u64)],
    pub without: fn(&mut Simulation),
}

fn at(w: &mut Simulation, ms: u64, fault: Fault) {
    w.at(ms, Event::Fault(fault));
}

fn from_to(w: &mut Simulation, from: u64, to: u64, on: Fault, off: Fault) {
    at(w, from, on);
    at(w, to, off);
}

/// Leaders end every so often, and are back within a fraction of a second on every second seed.
fn leaders_end(w: &mut Simulation, seed: u64, from: u64, to: u64, every: u64) {
    w.away_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    let mut ms = from;
    while ms < to {
        at(w, ms, Fault::Leader(LeaderFault::Ends, 0));
        ms += w.rng_ms(every / 2, every * 3 / 2);
    }
}

/// Several machines fail, in different ways.
fn machines_fail(w: &mut Simulation, n: usize) {
    for k in 0..n {
        let (ms, long) = (w.rng_ms(8_000, 75_000), w.rng.random_range(3_000..30_000).min(14_000));
        let fault = [Fault::MachineDies, Fault::MachineHangs(long), Fault::CommandsLost(long)][k % 3].clone();
        at(w, ms, fault);
    }
}

/// Jobs of one or two tasks that come all along, some of which are called off.
fn stream(w: &mut Simulation, first: usize, jobs: usize, to: u64, called_off: f64) {
    for n in first..first + jobs {
        let tasks = w.rng.random_range(1..3);
        let mut body = job(n, "array", tasks);
        body["expected_s"] = w.rng.random_range(1.0..4.0).into();
        body["vcpus"] = 1.0.into();
        let when = w.rng_ms(2_000, to);
        let gone = w.rng.random_bool(called_off).then(|| when + w.rng.random_range(300..6_000));
        w.add_user(when, body, gone);
    }
}

fn close_reads(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 40, 70_000, 0.3);
        leaders_end(w, seed, 20_000, 80_000, 20_000);
        machines_fail(w, 3);
    });
    from_to(&mut w, 1_000, TROUBLE_ENDS, Fault::CloseReads(true), Fault::CloseReads(false));
    from_to(&mut w, 10_000, 50_000, Fault::SlowStore(900), Fault::SlowStore(0));
    from_to(&mut w, 55_000, 80_000, Fault::LateWrites(0.3), Fault::LateWrites(0.0));
    w
}

fn lost_answers(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 30, 70_000, 0.4);
        leaders_end(w, seed, 15_000, 80_000, 15_000);
        machines_fail(w, 3);
    });
    from_to(&mut w, 1_000, TROUBLE_ENDS, Fault::CloseReads(true), Fault::CloseReads(false));
    from_to(&mut w, 4_000, 85_000, Fault::LostStoreAnswers(0.4), Fault::LostStoreAnswers(0.0));
    from_to(&mut w, 30_000, 60_000, Fault::LateWrites(0.2), Fault::LateWrites(0.0));
    w
}

/// Every team is at its limit; many jobs are called off while their machines hang or can't be asked, and the leader ends.
fn full_teams(seed: u64) -> Simulation {
    let mut w = Simulation::of(seed, NODES, 6);
    w.away_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    for n in 0..40 {
        let mut body = job(n, "array", 1);
        body["expected_s"] = w.rng.random_range(15.0..30.0).into();
        let when = w.rng_ms(500, 20_000);
        w.add_user(when, body, None);
    }
    w.keeps_images = true;
    for k in 0..3 {
        let ms = 25_000 + 20_000 * k;
        at(&mut w, ms, Fault::CancelNow(5, 13_000));
        (0..3).for_each(|_| at(&mut w, ms - 200, Fault::CommandsLost(12_000)));
        let ends = ms + w.rng_ms(0, 4_000);
        at(&mut w, ends, Fault::Leader(LeaderFault::Ends, 0));
    }
    w
}

/// Cancellations fall into the seconds in which nodes take work over from one another.
fn hand_overs(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        for n in 20..110 {
            let mut body = job(n, "array", 1);
            body["expected_s"] = 3.0.into();
            (body["vcpus"], body["accelerators"]) = (0.5.into(), 0.1.into());
            let when = w.rng_ms(2_000, 80_000);
            let gone = w.rng.random_bool(0.6).then(|| when + w.rng.random_range(150..2_500));
            w.add_user(when, body, gone);
        }
        leaders_end(w, seed, 12_000, 85_000, 8_000);
        machines_fail(w, 3);
    });
    // What follows the records lags, so that nodes know different things.
    from_to(&mut w, 5_000, TROUBLE_ENDS, Fault::SlowStore(600), Fault::SlowStore(0));
    w
}

/// New machines are up at once and get work while writes lag, and the leader ends.
fn fast_boots(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 50, 75_000, 0.2);
        leaders_end(w, seed, 8_000, 80_000, 9_000);
        machines_fail(w, 6);
    });
    w.keeps_images = true;
    from_to(&mut w, 1, DAY_ENDS, Fault::FastBoots(true), Fault::FastBoots(false));
    from_to(&mut w, 5_000, 85_000, Fault::SlowStore(1_500), Fault::SlowStore(0));
    from_to(&mut w, 5_000, 80_000, Fault::LateWrites(0.25), Fault::LateWrites(0.0));
    w
}

fn old_reports(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 40, 75_000, 0.3);
        leaders_end(w, seed, 12_000, 85_000, 9_000);
        machines_fail(w, 6);
    });
    w.keeps_images = true;
    from_to(
        &mut w,
        5_000,
        85_000,
        Fault::HeartbeatCopiesForNextLeader(0.4),
        Fault::HeartbeatCopiesForNextLeader(0.0),
    );
    from_to(&mut w, 5_000, 85_000, Fault::LateHeartbeats(0.3), Fault::LateHeartbeats(0.0));
    w
}

/// One-task jobs, four a second for over a minute, a quarter of them called off.
fn small_jobs(seed: u64) -> Simulation {
    let mut w = Simulation::of(seed, NODES, 60);
    w.cloud.generous = 12;
    for n in 0..280 {
        let mut body = job(n, "array", 1);
        body["expected_s"] = 2.0.into();
        body["vcpus"] = 1.0.into();
        body["accelerators"] = 0.25.into();
        let when = 2_000 + 250 * n as u64;
        let gone = n.is_multiple_of(4).then(|| when + w.rng_ms(200, 4_000));
        if gone.is_some() {
            body["expected_s"] = 100.0.into();
        }
        w.add_user(when, body, gone);
    }
    leaders_end(&mut w, seed, 30_000, 60_000, 20_000);
    machines_fail(&mut w, 3);
    w
}

/// Called off at the very end, or while running with a hang: with no other trouble on every second seed.
fn called_off(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 50, 75_000, 0.0);
        for n in 70..90 {
            let mut body = job(n, ["array", "daemon"][n % 2], 1);
            body["expected_s"] = 150.0.into();
            body["accelerators"] = 0.25.into();
            w.add_user(1_000 + n as u64, body, Some(TROUBLE_ENDS));
        }
        if !seed.is_multiple_of(2) {
            leaders_end(w, seed, 20_000, 80_000, 20_000);
            machines_fail(w, 3);
        }
    });
    from_to(&mut w, 1_000, 85_000, Fault::CancelAtEnd(0.7), Fault::CancelAtEnd(0.0));
    at(&mut w, 20_000, Fault::CancelNow(6, 0));
    at(&mut w, 30_000, Fault::CancelNow(8, 80_000));
    w
}

/// All machines reach no node for a while, some for longer; direct orders reach them.
fn mute(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 30, 75_000, 0.3);
        machines_fail(w, 3);
    });
    w.away_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    at(&mut w, 20_000, Fault::AllHeartbeatsLost(25_000));
    at(&mut w, 22_000, Fault::Leader(LeaderFault::Ends, 0));
    at(&mut w, 26_000, Fault::CancelNow(6, 10_000));
    (0..5).for_each(|k| at(&mut w, 52_000 + 10 * k, Fault::HeartbeatsLost(30_000)));
    at(&mut w, 60_000, Fault::Leader(LeaderFault::Ends, 0));
    w
}

/// Ten leaders in two minutes, some of them in an outage; jobs of two or three tasks that end far apart.
fn ten_leaders(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        for n in 20..40 {
            let mut body = job(n, ["array", "ensemble"][n % 2], 2 + n as u32 % 2);
            body["expected_s"] = w.rng.random_range(1.0..14.0).into();
            body["accelerators"] = 0.5.into();
            let when = w.rng_ms(500, 60_000);
            w.add_user(when, body, None);
        }
        leaders_end(w, seed, 5_000, 88_000, 7_000);
        machines_fail(w, 3);
    });
    from_to(&mut w, 30_000, 55_000, Fault::StoreOutage(true), Fault::StoreOutage(false));
    for i in 0..NODES {
        // All end; one is back at once.
        at(&mut w, 60_000 + i as u64, Fault::Crash(i));
    }
    w
}

/// Far more work than room, urgent and not, over slow links; and odd requests all along.
fn overload(seed: u64) -> Simulation {
    let mut w = Simulation::of(seed, NODES, 8);
    w.away_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
    for n in 0..80 {
        let mut body = job(n, ["array", "ensemble", "array"][n % 3], 1 + n as u32 % 4);
        body["urgency"] = ["urgent", "idle", "normal", "production"][n % 4].into();
        body["expected_s"] = w.rng.random_range(1.0..3.0).into();
        let when = w.rng_ms(500, 40_000);
        w.add_user(when, body, None);
    }
    from_to(&mut w, 1_000, 85_000, Fault::OddRequests(true), Fault::OddRequests(false));
    from_to(&mut w, 5_000, 60_000, Fault::SlowStore(700), Fault::SlowStore(0));
    leaders_end(&mut w, seed, 20_000, 70_000, 25_000);
    machines_fail(&mut w, 3);
    w
}

/// Jobs bound to one zone, arrays too, lose machines there.
fn bound_to_a_zone(seed: u64) -> Simulation {
    let mut w = Simulation::of(seed, NODES, 40);
    for n in 0..20 {
        let mut body = job(n, ["array", "daemon", "ensemble"][n % 3], 3);
        body["region"] = ["z0", "z1"][n % 2].into();
        body["expected_s"] = w.rng.random_range(4.0..15.0).into();
        let when = w.rng_ms(500, 40_000);
        w.add_user(when, body, None);
    }
    leaders_end(&mut w, seed, 25_000, 70_000, 25_000);
    for k in 0..9 {
        let ms = 12_000 + 6_000 * k;
        at(
            &mut w,
            ms,
            [Fault::MachineDies, Fault::MachineHangs(20_000), Fault::SpotNotice][k as usize % 3].clone(),
        );
    }
    w
}

/// A zone with workers and a node is cut off for longer than a lease, while jobs are called off.
fn cut_off_zone(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 40, 80_000, 0.5);
        machines_fail(w, 3);
    });
    w.run_until(25_000);
    cut_zone(&mut w, seed as usize % NODES, true);
    at(&mut w, 27_000, Fault::CancelNow(6, 0));
    at(&mut w, 40_000, Fault::Leader(LeaderFault::Ends, 0));
    w.run_until(70_000);
    *w.occurrences.entry("a zone cut off").or_default() += 1;
    cut_zone(&mut w, seed as usize % NODES, false);
    w
}

/// All nodes are away for longer than a lease, and come back one after the other.
fn all_away(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 30, 70_000, 0.3);
        machines_fail(w, 3);
    });
    w.away_ms = 19_000..30_000;
    for i in 0..NODES {
        at(&mut w, 25_000 + 40 * i as u64, Fault::Crash(i));
    }
    at(&mut w, 24_900, Fault::CancelNow(6, 0));
    from_to(
        &mut w,
        15_000,
        60_000,
        Fault::HeartbeatCopiesForNextLeader(0.5),
        Fault::HeartbeatCopiesForNextLeader(0.0),
    );
    w
}

/// Orders, their answers and nodes' words to one another are held up; one node is apart while the cloud does not answer.
fn held_announcements(seed: u64) -> Simulation {
    let mut w = day(seed, |w| {
        stream(w, 20, 60, 75_000, 0.5);
        machines_fail(w, 3);
    });
    w.keeps_images = true;
    for k in 0..12 {
        let (i, m) = (w.rng.random_range(0..NODES), w.rng.random_range(0..10));
        let j = (i + 1 + k % 2) % NODES;
        let (a, b) = match k % 3 {
            0 => (Host::Node(i), Host::Node(j)),
            1 => (Host::Node(i), Host::Machine(m)),
            _ => (Host::Machine(m), Host::Node(i)),
        };
        let from = w.rng_ms(8_000, 55_000);
        let to = from + w.rng_ms(3_000, 30_000);
        from_to(&mut w, from, to, Fault::Hold { a, b, on: true }, Fault::Hold { a, b, on: false });
        *w.occurrences.entry("a link held").or_default() += 1;
    }
    at(&mut w, 30_000, Fault::Leader(LeaderFault::Isolated, 25_001));
    from_to(&mut w, 30_000, 55_000, Fault::CloudOutage(true), Fault::CloudOutage(false));
    at(&mut w, 32_000, Fault::CancelNow(6, 0));
    w
}

fn injected_fault(w: &mut Simulation, out: fn(&mut Controller, u64)) {
    w.injected_fault = Some(out);
}

pub static ROWS: [Row; 15] = [
    Row {
        name: "held words",
        day: held_announcements,
        occurrences: &[("a link held", 10), ("cancelled now", 1)],
        without: |w| {
            injected_fault(w, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { silence_ms: 4_000 })
            })
        },
    },
    Row {
        name: "close looks",
        day: close_reads,
        occurrences: &[
            ("a close read after the terminal status", 1),
            ("a close read after the acceptance", 1),
            ("a repeat after the acceptance", 1),
        ],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::ReadBeforeAnswer))
        },
    },
    Row {
        name: "only the answer of a transaction is lost",
        day: lost_answers,
        occurrences: &[("only the answer lost", 1), ("a close read after the terminal status", 1)],
        without: |w| w.state.careless = true,
    },
    Row {
        name: "every team at its limit",
        day: full_teams,
        occurrences: &[("cancelled and hung", 1)],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::StoppingTasks))
        },
    },
    Row {
        name: "work changes hands",
        day: hand_overs,
        occurrences: &[("a terminal status within two seconds of a new leader", 1)],
        without: |w| injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::RelayFilter)),
    },
    Row {
        name: "new machines at once",
        day: fast_boots,
        occurrences: &[("a start within three seconds of the boot", 1)],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::DurableBeforeStart))
        },
    },
    Row {
        name: "old reports for a new leader",
        day: old_reports,
        occurrences: &[("copy for the next leader", 1), ("copy to every node as a leader begins", 1)],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::HeartbeatOrder))
        },
    },
    Row {
        name: "four jobs a second",
        day: small_jobs,
        occurrences: &[("accepted", 800)],
        without: |w| {
            injected_fault(w, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Stops));
                controller.disable_check(DisabledCheck::StopCommands);
            });
        },
    },
    Row {
        name: "called off at the end and now",
        day: called_off,
        occurrences: &[("cancelled at the end", 1), ("cancelled now", 1), ("cancelled and hung", 1)],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::SilenceDetection))
        },
    },
    Row {
        name: "mute machines",
        day: mute,
        occurrences: &[("heartbeats lost", 1), ("a direct start at a machine whose heartbeats are lost", 1)],
        without: |w| {
            injected_fault(w, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { silence_ms: 4_000 })
            })
        },
    },
    Row {
        name: "ten leaders",
        day: ten_leaders,
        occurrences: &[("a new leader", 40)],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::TaskCompletion))
        },
    },
    Row {
        name: "more work than room, odd requests",
        day: overload,
        occurrences: &[
            ("an impossible request", 1),
            ("a cancellation of what is done", 1),
            ("a repeat after the acceptance", 1),
        ],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::StoppingTasks))
        },
    },
    Row {
        name: "bound to a zone",
        day: bound_to_a_zone,
        occurrences: &[("a machine lost with tasks bound to its zone", 1)],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::ZoneConstraint))
        },
    },
    Row {
        name: "a zone cut off",
        day: cut_off_zone,
        occurrences: &[("a zone cut off", 1), ("cancelled now", 1)],
        without: |w| {
            injected_fault(w, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { silence_ms: 4_000 })
            })
        },
    },
    Row {
        name: "all nodes away",
        day: all_away,
        occurrences: &[("copy for the next leader", 1)],
        without: |w| {
            injected_fault(w, |controller, _| controller.disable_check(DisabledCheck::HeartbeatOrder))
        },
    },
];
