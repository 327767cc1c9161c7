//! The controllers after two months of service, on machines of the size that the settings name.
//!
//! The state service holds the final states of the jobs of two months. The platform ends a process that holds more
//! than `ram_mb` and starts it again after 3 s.

use crate::controllers::Controllers;
use crate::platform::{Platform, Run};
use crate::record::Record;
use crate::sites;
use crate::store::{Limits, Store};
use crate::users::{self, Users};
use crate::{Setup, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Jobs a day at 9.6 jobs a minute (BRIEF: 1.5 + 6.1 + 2).
const JOBS_A_DAY: usize = 13_824;
const DAYS: usize = 60;
/// What the service itself stores for a job that is done; compared with what it stores in the run without trouble.
const DONE: &str = "\"done\"";
/// `ram_mb` of the site, by the larger of the two meanings of a MB.
const MEMORY_KIB: u64 = 72 * 1024;
/// `forgotten` allows failed polls for 90 s.
const BOUND: Duration = Duration::from_secs(90);
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// More than the site's 250, so that three controllers can read the records at once without a 429: that they
/// can't do so at 250 is another case.
const STATE_RPS: f64 = 1000.0;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut controllers = Controllers::new(root, &sites::TREMORLINE_FAST_STATE, None, record.clone())?;
    let store = Store::new(Limits { rps: STATE_RPS, ..sites::tremorline_limits() });
    let platform = Platform::new(sites::tremorline_facts(), controllers.names(), record.clone());
    let done: Arc<str> = DONE.into();
    let history = if trouble { JOBS_A_DAY * DAYS } else { JOBS_A_DAY };
    store.add_history((0..history).map(|job| (format!("j/req-{:06}", 100_000 + job), done.clone())));
    let state: Vec<_> = (0..3).map(|node| store.serve(node)).collect();
    controllers.settings(&state, platform.serve()).setup()?;
    sites::TREMORLINE.zones.iter().for_each(|zone| platform.start_machines(zone, 1));
    let users = Users { nodes: controllers.api.clone(), record: record.clone() };
    for node in 0..3 {
        controllers.start(node).setup()?;
    }
    record.say(&format!(
        "the state service holds {history} jobs that are done; all three controllers were started"
    ));
    let begun = Instant::now();
    let mut back_at: [Option<Instant>; 3] = [None; 3];
    let mut kills = [0; 3];
    let mut most = [0; 3];
    // Jobs in every tenth of the history, the last one at its end, and how often a poll for each was answered.
    let polled: Vec<String> =
        (1..=10).map(|tenth| format!("req-{:06}", 99_999 + history * tenth / 10)).collect();
    let mut answered = [0; 10];
    let mut next_poll = Instant::now();
    while begun.elapsed() < BOUND + Duration::from_secs(1) {
        for node in 0..3 {
            if back_at[node].is_some_and(|at| Instant::now() >= at) {
                back_at[node] = None;
                controllers.start(node).setup()?;
            }
            let Some(held) = controllers.memory_kib(node) else { continue };
            most[node] = held.max(most[node]);
            if held > MEMORY_KIB {
                controllers.kill(node);
                kills[node] += 1;
                back_at[node] = Some(Instant::now() + RESTART_DELAY);
                record
                    .say(&format!("controller {node} holds {held} KiB, over ram_mb: the platform ended it"));
            }
        }
        if Instant::now() >= next_poll {
            next_poll = Instant::now() + Duration::from_secs(1);
            for (job, answered) in polled.iter().zip(&mut answered) {
                *answered += u32::from(users.phase(job).is_some());
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!(
        "within {} s: ended for memory {kills:?} times, at most {most:?} KiB; polls answered by job: {answered:?}",
        BOUND.as_secs()
    ));
    if !trouble {
        platform.jobs.lock().unwrap().insert("req-000001".into(), Run::For(Duration::from_millis(500)));
        let job = users::submission(
            "req-000001",
            "rescore",
            "duty-desk",
            "array",
            "normal",
            1,
            6.0,
            1.0,
            24.0,
            1.0,
        );
        let ran = users.submit(&job) && users.wait_for("req-000001", "done", Duration::from_secs(15));
        if !ran || store.value("j/req-000001").as_deref() != Some(DONE) {
            return Err("a job does not run, or the history looks unlike the service's own".into());
        }
    }
    let others = answered[..9].iter().filter(|answered| **answered > 0).count();
    Ok(if kills.iter().all(|kills| *kills > 1) && answered[9] == 0 && others >= 5 {
        Verdict::Broken(
            "controllers end for memory, and every poll for a job failed for 90 s while others got answers",
        )
    } else {
        Verdict::Held
    })
}
