//! A gang whose tasks have to be in one zone, while one zone has a machine up and no more to rent.

use crate::controllers::Controllers;
use crate::platform::{Platform, Run};
use crate::record::Record;
use crate::sites;
use crate::store::Store;
use crate::users::{self, Users};
use crate::{Setup, Verdict};
use std::path::Path;
use std::time::{Duration, Instant};

/// How long the gang is given. The pages set no bound for this sentence; `forgotten` gives up after 90 s.
const BOUND: Duration = Duration::from_secs(90);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut controllers = Controllers::new(root, &sites::TREMORLINE, None, record.clone())?;
    let store = Store::new(sites::tremorline_limits());
    let platform = Platform::new(sites::tremorline_facts(), controllers.names(), record.clone());
    let state: Vec<_> = (0..3).map(|node| store.serve(node)).collect();
    controllers.settings(&state, platform.serve()).setup()?;
    platform.start_machines("puget", 1);
    if trouble {
        platform.full.lock().unwrap().push("puget");
    }
    for node in 0..3 {
        controllers.start(node).setup()?;
    }
    let users = Users { nodes: controllers.api.clone(), record: record.clone() };
    std::thread::sleep(Duration::from_secs(6));
    let replica = "req-000009";
    platform.jobs.lock().unwrap().insert(replica.into(), Run::Forever);
    let body =
        users::submission(replica, "picker", "station-ops", "daemon", "production", 1, 3.0, 0.0, 10.0, 0.0);
    if !users.submit(&body) || !users.wait_for(replica, "running", Duration::from_secs(15)) {
        return Err("the replica does not run".into());
    }
    let id = "req-000001";
    platform.jobs.lock().unwrap().insert(id.into(), Run::Forever);
    let body =
        users::submission(id, "velfit", "station-ops", "ensemble", "urgent", 2, 20.0, 2.0, 100.0, 35.0);
    if !users.submit(&body.replace("\"together\":false", "\"together\":true")) {
        return Err("the gang was not accepted".into());
    }
    record.say(
        "a gang of two tasks was accepted; puget has one machine up, with a replica and room for one task",
    );
    let accepted = Instant::now();
    while accepted.elapsed() < BOUND && platform.present(id).len() < 2 {
        std::thread::sleep(Duration::from_millis(200));
    }
    let tasks = platform.present(id).len();
    record.say(&format!("{:.0} s after: {tasks} of its tasks on machines", accepted.elapsed().as_secs_f64()));
    Ok(if tasks == 0 {
        Verdict::Broken("an accepted gang does not run, though two zones have room to rent for all of it")
    } else {
        Verdict::Held
    })
}
