//! Plays seeded days of the simulation and prints a line a day, `kind seed hash`, and one hash of all lines.
//! A change that is to leave the scheduler's behaviour as it is leaves the output as it is.
//!
//! ```text
//! cargo run --release -p pearford-scheduler --features simulation --example simulation_digest -- [SEEDS] [THREADS] [slow]
//! ```
//!
//! `SEEDS` is how many days of each kind are played (3; a third of that where days take seconds), `THREADS` on how many threads (4);
//! with `slow`, kinds of which a day takes minutes are played too.

use pearford_scheduler::simulation::days::kinds::{self, DayKind};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use xxhash_rust::xxh3::xxh3_64;

const SEEDS_USUAL: u64 = 3;
const THREADS_USUAL: u64 = 4;

fn main() -> ExitCode {
    let (Some(seeds), Some(threads)) = (argument(1, SEEDS_USUAL), argument(2, THREADS_USUAL)) else {
        eprintln!("usage: simulation_digest [SEEDS] [THREADS] [slow], both above zero");
        return ExitCode::FAILURE;
    };
    let with_slow = std::env::args().nth(3).is_some_and(|argument| argument == "slow");
    let mut kinds = kinds::all();
    kinds.retain(|kind| with_slow || !kind.is_slow);
    let days: Vec<(&DayKind, u64)> = kinds.iter().flat_map(|kind| days_of(kind, seeds)).collect();
    let mut output = String::new();
    for ((kind, seed), hash) in days.iter().zip(play(&days, threads)) {
        output += &format!("{} {seed} {hash:016x}\n", kind.name);
    }
    print!("{output}");
    println!("all {} {:016x}", days.len(), xxh3_64(output.as_bytes()));
    ExitCode::SUCCESS
}

/// A number above zero from the command line, or the usual one if it is left out.
fn argument(position: usize, usual: u64) -> Option<u64> {
    let Some(text) = std::env::args().nth(position) else { return Some(usual) };
    text.parse().ok().filter(|number| *number > 0)
}

fn days_of(kind: &DayKind, seeds: u64) -> impl Iterator<Item = (&DayKind, u64)> {
    let seeds = kind.seeds(seeds);
    (kind.first_seed..kind.first_seed + seeds).map(move |seed| (kind, seed))
}

/// Plays all days, each on whichever thread is free; the hashes in the days' order.
fn play(days: &[(&DayKind, u64)], threads: u64) -> Vec<u64> {
    let next = AtomicUsize::new(0);
    let hashes = Mutex::new(vec![0; days.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let position = next.fetch_add(1, Ordering::Relaxed);
                    let Some((kind, seed)) = days.get(position) else { return };
                    let hash = kind.play(*seed).digest();
                    hashes.lock().expect("no other thread panicked")[position] = hash;
                }
            });
        }
    });
    hashes.into_inner().expect("no thread panicked")
}
