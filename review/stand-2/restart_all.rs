//! Case 4: all controllers are killed and come back 3 s later, as they do after some weeks of service.
//!
//! The state service holds the final states of the jobs of six weeks. It answers each request after 4 ms, and
//! 429 above 200 requests a second, as the site's settings say.

use crate::controllers::Controllers;
use crate::platform::Platform;
use crate::record::Record;
use crate::sites;
use crate::store::{Limits, Store};
use crate::users::{self, Users};
use crate::{Setup, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Jobs that were done before: 42 days of 6.73 jobs a minute (BRIEF: 0.73 + 2.9 + 3.1).
const HISTORY: usize = 407_000;
/// What the service itself stores for a job that is done; compared with what it stores in this run.
const DONE: &str = "\"done\"";
/// `latency_ms` of the site file; PROTOCOL: "Responses usually take under 10 ms".
const LATENCY: Duration = Duration::from_millis(4);
/// `forgotten` allows failed polls for 90 s.
const BOUND: Duration = Duration::from_secs(90);
/// How long a controller takes to come back (site file, BRIEF).
const RESTART_DELAY: Duration = Duration::from_secs(3);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut controllers = Controllers::new(root, &sites::ANDINA, None, record.clone())?;
    let store = Store::new(Limits { latency: LATENCY, ..sites::andina_limits() });
    let platform = Platform::new(sites::andina_facts(), controllers.names(), record.clone());
    let done: Arc<str> = DONE.into();
    store.add_history((0..HISTORY).map(|job| (format!("j/req-{:06}", 100_000 + job), done.clone())));
    let state: Vec<_> = (0..3).map(|node| store.serve(node)).collect();
    controllers.settings(&state, platform.serve()).setup()?;
    sites::ANDINA.zones.iter().for_each(|zone| platform.start_machines(zone, 1));
    let users = Users { nodes: controllers.api.clone(), record: record.clone() };
    // One after the other, as in an upgrade: each reads the records alone.
    for node in 0..3 {
        controllers.start(node).setup()?;
        let begun = Instant::now();
        while !users::up(controllers.api[node]) {
            if begun.elapsed() > Duration::from_secs(20) {
                return Err(format!("controller {node} does not come up"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.say(&format!("controller {node} is up after {:.1} s", begun.elapsed().as_secs_f64()));
    }
    platform.jobs.lock().unwrap().insert("req-000001".into(), None);
    platform.jobs.lock().unwrap().insert("req-000002".into(), Some(Duration::from_millis(500)));
    let service =
        users::submission("req-000001", "quote-api", "core", "daemon", "production", 1, 5.0, 1.0, 19.0, 0.0);
    let array =
        users::submission("req-000002", "forecast", "core", "array", "normal", 1, 6.0, 1.0, 24.0, 1.0);
    if !users.submit(&service) || !users.submit(&array) {
        return Err("the jobs were not accepted".into());
    }
    let ready = users.wait_for("req-000001", "running", Duration::from_secs(20))
        && users.wait_for("req-000002", "done", Duration::from_secs(20));
    if !ready || store.value("j/req-000002").as_deref() != Some(DONE) {
        return Err(
            "the jobs did not run before the trouble, or the history looks unlike the service's own".into()
        );
    }
    record.say("req-000001 runs, req-000002 is done");
    if trouble {
        (0..3).for_each(|node| controllers.kill(node));
        record.say("all three controllers were killed");
    }
    let begun = Instant::now();
    let before = store.counts();
    let mut back = false;
    let mut answered = 0;
    let mut last = None;
    while begun.elapsed() < BOUND {
        if trouble && !back && begun.elapsed() >= RESTART_DELAY {
            back = true;
            for node in 0..3 {
                controllers.start(node).setup()?;
            }
            record.say("all three controllers were started again");
        }
        last = users.phase("req-000001");
        answered += u32::from(last.is_some());
        std::thread::sleep(Duration::from_secs(2));
    }
    let present = platform.present("req-000001").len();
    let counts = store.counts();
    record.say(&format!(
        "within {} s: {answered} polls for req-000001 were answered, the last said {last:?}; {present} of its tasks on machines",
        BOUND.as_secs()
    ));
    record.say(&format!(
        "state service since then: {} requests answered with 429, {} others, of these {} pages of keys",
        counts.answered_429 - before.answered_429,
        counts.requests - before.requests - (counts.answered_429 - before.answered_429),
        counts.pages - before.pages,
    ));
    Ok(if answered == 0 && present == 0 {
        Verdict::Broken(
            "after all nodes failed, the accepted job neither ran nor was any poll for it answered",
        )
    } else {
        Verdict::Held
    })
}
