//! Jobs that were submitted with a mistake fail on every machine until their users cancel them.

use crate::controllers::Controllers;
use crate::platform::{Platform, Run};
use crate::record::Record;
use crate::sites;
use crate::store::Store;
use crate::users::{self, Users};
use crate::{Setup, Verdict};
use std::path::Path;
use std::time::{Duration, Instant};

/// Machines of the deployment, all of them up, two in each zone.
const MACHINES: usize = 6;
/// Jobs with a mistake.
const MISTAKES: usize = 8;
/// After which their users cancel them.
const NOTICED: Duration = Duration::from_secs(8);
/// How long the job that follows is given. The pages set no bound for this sentence; `forgotten` gives up after 90 s.
const BOUND: Duration = Duration::from_secs(80);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut controllers = Controllers::new(root, &sites::ANDINA, None, record.clone())?;
    let store = Store::new(sites::andina_limits());
    let platform = Platform::new(sites::andina_facts(), controllers.names(), record.clone());
    let state: Vec<_> = (0..3).map(|node| store.serve(node)).collect();
    controllers.settings(&state, platform.serve()).setup()?;
    sites::ANDINA.zones.iter().for_each(|zone| platform.start_machines(zone, MACHINES / 3));
    platform.full.lock().unwrap().extend(sites::ANDINA.zones);
    for node in 0..3 {
        controllers.start(node).setup()?;
    }
    let users = Users { nodes: controllers.api.clone(), record: record.clone() };
    std::thread::sleep(Duration::from_secs(6));
    // A replica on each machine: 9 of its 16 CPUs, and no GPU.
    for service in 0..MACHINES {
        let id = format!("req-0001{service:02}");
        platform.jobs.lock().unwrap().insert(id.clone(), Run::Forever);
        let body =
            users::submission(&id, "quote-api", "core", "daemon", "production", 1, 9.0, 0.0, 10.0, 0.0);
        if !users.submit(&body) || !users.wait_for(&id, "running", Duration::from_secs(20)) {
            return Err(format!("{id} does not run"));
        }
    }
    record.say(&format!("{MACHINES} machines, a replica on each; 7 CPUs and 2 GPUs of each are free"));
    let mistakes: Vec<String> = (0..MISTAKES).map(|job| format!("req-0002{job:02}")).collect();
    if trouble {
        for id in &mistakes {
            platform.jobs.lock().unwrap().insert(id.clone(), Run::Fails);
            let body = users::submission(id, "forecast", "core", "array", "normal", 1, 6.0, 1.0, 24.0, 60.0);
            if !users.submit(&body) {
                return Err(format!("{id} was not accepted"));
            }
        }
        record.say(&format!("{MISTAKES} jobs with a mistake were accepted"));
    }
    std::thread::sleep(NOTICED);
    if trouble {
        for id in &mistakes {
            if !users.withdraw(id) {
                return Err(format!("{id} could not be cancelled"));
            }
        }
        record.say("their users have cancelled them");
    }
    std::thread::sleep(Duration::from_secs(2));
    let id = "req-000300";
    platform.jobs.lock().unwrap().insert(id.into(), Run::For(Duration::from_secs(2)));
    let body = users::submission(id, "forecast", "core", "array", "normal", 1, 6.0, 1.0, 24.0, 2.0);
    if !users.submit(&body) {
        return Err("the job was not accepted".into());
    }
    let accepted = Instant::now();
    let done = users.wait_for(id, "done", BOUND);
    let replicas =
        (0..MACHINES).map(|service| platform.present(&format!("req-0001{service:02}")).len()).sum::<usize>();
    record.say(&format!(
        "{:.0} s after {id} was accepted: done: {done}; replicas on machines: {replicas}",
        accepted.elapsed().as_secs_f64()
    ));
    let started = platform.stays.lock().unwrap().iter().any(|stay| stay.shard == format!("{id}/0"));
    if replicas < MACHINES {
        return Err("the replicas did not stay".into());
    }
    Ok(if done || started {
        Verdict::Held
    } else {
        Verdict::Broken("an accepted job does not run, though every machine has room for it")
    })
}
