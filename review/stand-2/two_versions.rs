//! Nomad names registered twice within a fraction of a second, while one kind of answer of the state service
//! takes a few hundred milliseconds.

use crate::controllers::Controllers;
use crate::http;
use crate::platform::Platform;
use crate::record::Record;
use crate::sites;
use crate::store::Store;
use crate::users;
use crate::{Setup, Verdict};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const NAMES: usize = 12;
/// Between the answer to a name's first registration and its second.
const BETWEEN: Duration = Duration::from_millis(100);
/// PROTOCOL: "Responses usually take under 10 ms, and now and then a few hundred."
const SLOW: Duration = Duration::from_millis(400);
/// `cancel_s` of the site.
const CANCEL: Duration = Duration::from_secs(48);
const OPERATOR: &str = "nomad:\n  listen: LISTEN\n  namespaces:\n    default: duty-desk\n  image_gb: 5\n";

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut controllers = Controllers::new(root, &sites::TREMORLINE, Some(OPERATOR.into()), record.clone())?;
    let store = Store::new(sites::tremorline_limits());
    let platform = Platform::new(sites::tremorline_facts(), controllers.names(), record.clone());
    let state: Vec<_> = (0..3).map(|node| store.serve(node)).collect();
    controllers.settings(&state, platform.serve()).setup()?;
    sites::TREMORLINE.zones.iter().for_each(|zone| platform.start_machines(zone, 2));
    for node in 0..3 {
        controllers.start(node).setup()?;
    }
    let begun = Instant::now();
    while !controllers.api.iter().all(|node| users::up(*node)) {
        if begun.elapsed() > Duration::from_secs(15) {
            return Err("the controllers do not come up".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(6));
    if trouble {
        record.say("the state service answers waiting watches of j/ after 400 ms from now on");
        store.set_delay(Some(Box::new(|_, request| {
            let waits = request.query("block_ms").is_some_and(|ms| ms != "0");
            if request.path == "/watch" && request.query("under") == Some("j/") && waits {
                SLOW
            } else {
                Duration::ZERO
            }
        })));
    }
    for name in 0..NAMES {
        let node = controllers.extra[name % 3];
        for version in 1..=2 {
            if version == 2 {
                std::thread::sleep(BETWEEN);
            }
            let status = call(record, node, "PUT", "/v1/jobs", &job(name, version));
            if status != 200 {
                return Err(format!("registration answered {status}"));
            }
        }
        std::thread::sleep(Duration::from_millis(700));
    }
    store.set_delay(None);
    record.say("the state service is quick again");
    std::thread::sleep(Duration::from_secs(15));
    record.say(&format!("{NAMES} names of one replica each; on machines: {}", list(&platform)));
    for name in 0..NAMES {
        let path = format!("/v1/job/svc-{name}");
        let status = call(record, controllers.extra[name % 3], "DELETE", &path, "");
        if status != 200 {
            return Err(format!("stop answered {status}"));
        }
    }
    record.say("all names are stopped");
    let stopped = Instant::now();
    while stopped.elapsed() < CANCEL + Duration::from_secs(2) {
        std::thread::sleep(Duration::from_millis(500));
    }
    let left = platform.all_present();
    record.say(&format!(
        "{} s after the last stop was answered, on machines: {}",
        stopped.elapsed().as_secs(),
        list(&platform)
    ));
    Ok(if left.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken("tasks of jobs that the service stopped for their user run on after cancel_s")
    })
}

fn list(platform: &Platform) -> String {
    platform
        .all_present()
        .iter()
        .map(|stay| format!("{} on {}", stay.shard, stay.host))
        .collect::<Vec<_>>()
        .join(", ")
}

fn call(record: &Record, node: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = http::send(node, method, path, body, Duration::from_secs(5));
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let text = answer.map_or("no answer".to_string(), |answer| answer.body);
        record.line(&format!("client: {method} {path} at {node}: {status} {text}"));
        if !matches!(status, 0 | 429 | 503) || Instant::now() > until {
            return status;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn job(name: usize, version: usize) -> String {
    format!(
        "{{\"Job\":{{\"ID\":\"svc-{name}\",\"Name\":\"svc-{name}\",\"Type\":\"service\",\"TaskGroups\":[{{\"Name\":\"g\",\"Count\":1,\"Update\":{{\"MinHealthyTime\":1000000000}},\"Tasks\":[{{\"Name\":\"t\",\"Driver\":\"docker\",\"Config\":{{\"image\":\"img-{version}\"}},\"Resources\":{{\"Cores\":1,\"MemoryMB\":1024}}}}]}}]}}}}"
    )
}
