//! Runs seeded days of the simulation and prints one line per day, `kind seed hash`, and a hash of all lines.
//! A change that preserves the scheduler's behaviour preserves the output.
//!
//! ```text
//! cargo run --release -p pearford-scheduler --features simulation --example simulation_digest -- [SEEDS] [THREADS] [slow]
//! ```
//!
//! `SEEDS` is the number of days per kind (default 3; a third of it for kinds whose days take seconds) and
//! `THREADS` the number of threads (default 4). With `slow`, kinds whose days take minutes are included.

use pearford_scheduler::simulation::days::kinds::{self, DayKind};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use xxhash_rust::xxh3::xxh3_64;

const DEFAULT_SEEDS: u64 = 3;
const DEFAULT_THREADS: u64 = 4;

fn main() -> ExitCode {
    let (Some(seeds), Some(threads)) = (argument(1, DEFAULT_SEEDS), argument(2, DEFAULT_THREADS)) else {
        eprintln!(
            "usage: simulation_digest [SEEDS] [THREADS] [slow], where SEEDS and THREADS are above zero"
        );
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

/// Returns a number above zero from the command line, or the default if the argument is missing.
fn argument(position: usize, default: u64) -> Option<u64> {
    let Some(text) = std::env::args().nth(position) else { return Some(default) };
    text.parse().ok().filter(|number| *number > 0)
}

fn days_of(kind: &DayKind, seeds: u64) -> impl Iterator<Item = (&DayKind, u64)> {
    let seeds = kind.seeds(seeds);
    (kind.first_seed..kind.first_seed + seeds).map(move |seed| (kind, seed))
}

/// Runs all days on `threads` threads and returns their hashes in the order of the days.
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
