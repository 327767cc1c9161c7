//! A client registers a Nomad job file of some thousand locals, and repeats the request as users do.

use crate::controllers::Controllers;
use crate::http;
use crate::json::Json;
use crate::platform::{Platform, Run};
use crate::record::Record;
use crate::sites;
use crate::store::Store;
use crate::users::{self, Users};
use crate::{Setup, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// PROTOCOL: "A request body holds at most 64 KiB."
const MAX_BODY: usize = 64 * 1024;
/// `lease_s` of the site.
const LEASE: Duration = Duration::from_secs(18);
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
    let users = Users { nodes: controllers.api.clone(), record: record.clone() };
    platform.jobs.lock().unwrap().insert("req-000001".into(), Run::Forever);
    let service = users::submission(
        "req-000001",
        "picker",
        "station-ops",
        "daemon",
        "production",
        1,
        5.0,
        1.0,
        19.0,
        0.0,
    );
    if !users.submit(&service) || !users.wait_for("req-000001", "running", Duration::from_secs(20)) {
        return Err("the service does not run before the trouble".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let body = body(trouble);
    record.say(&format!("req-000001 runs; a client sends a job file, {} bytes with its request", body.len()));
    let answered = Arc::new(AtomicBool::new(false));
    let client = {
        let (nodes, record, answered) = (controllers.extra.clone(), record.clone(), answered.clone());
        move || {
            let begun = Instant::now();
            for node in nodes.iter().cycle() {
                if begun.elapsed() > Duration::from_secs(60) {
                    record.say("the client gives up after 60 s");
                    return;
                }
                let answer = http::send(*node, "POST", "/v1/jobs/parse", &body, Duration::from_secs(5));
                let text = answer
                    .as_ref()
                    .map_or("no answer within 5 s".into(), |a| format!("{} {}", a.status, a.body));
                record
                    .say(&format!("client: POST /v1/jobs/parse at {node}: {}", &text[..text.len().min(100)]));
                if answer.is_some_and(|answer| !matches!(answer.status, 429 | 500..)) {
                    answered.store(true, Ordering::Relaxed);
                    return;
                }
                std::thread::sleep(Duration::from_secs(1));
            }
        }
    };
    std::thread::spawn(client);
    // How long no controller at all says that it can take requests.
    let begun = Instant::now();
    let mut last_up = Instant::now();
    let mut longest = Duration::ZERO;
    while begun.elapsed() < Duration::from_secs(80) {
        if controllers.api.iter().any(|node| users::up(*node)) {
            last_up = Instant::now();
        }
        longest = longest.max(last_up.elapsed());
        std::thread::sleep(Duration::from_millis(200));
    }
    let stays = platform.stays.lock().unwrap();
    let lost = stays.iter().filter(|stay| stay.shard == "req-000001/0" && stay.until.is_some()).count();
    record.say(&format!(
        "no controller was up for {:.1} s; runs of req-000001/0 that ended: {lost}; the client was answered: {}",
        longest.as_secs_f64(),
        answered.load(Ordering::Relaxed)
    ));
    Ok(if longest > LEASE && lost > 0 {
        Verdict::Broken(
            "every controller hung for longer than lease_s over a job file, and the accepted service was killed",
        )
    } else {
        Verdict::Held
    })
}

/// A request to read a job file. Each local but one is the value of another; with `reverse` each uses the next
/// one, else the one before.
fn body(reverse: bool) -> String {
    let names = names();
    let mut locals = String::new();
    let mut number = 0;
    while locals.len() + number + 600 < MAX_BODY {
        number += 1;
        let line = if reverse {
            format!("{}=local.{}\n", names[number - 1], names[number])
        } else if number == 1 {
            format!("{}=1\n", names[0])
        } else {
            format!("{}=local.{}\n", names[number - 1], names[number - 2])
        };
        locals.push_str(&line);
    }
    if reverse {
        locals.push_str(&format!("{}=1\n", names[number]));
    }
    let file = format!(
        "locals {{\n{locals}}}\njob \"fit\" {{\n  type = \"service\"\n  group \"g\" {{\n    count = local.{}\n    task \"t\" {{\n      driver = \"docker\"\n      config {{ image = \"img-1\" }}\n      resources {{\n        cores = 1\n        memory = 1024\n      }}\n    }}\n  }}\n}}\n",
        names[0]
    );
    Json::Object(vec![("JobHCL".into(), Json::Text(file)), ("Canonicalize".into(), Json::Bool(false))])
        .to_string()
}

/// Names of one to three letters.
fn names() -> Vec<String> {
    let letters: Vec<char> = ('a'..='z').chain('A'..='Z').collect();
    let mut names: Vec<String> = letters.iter().map(char::to_string).collect();
    for first in 0..names.len() * (1 + letters.len()) {
        for letter in &letters {
            names.push(format!("{}{letter}", names[first]));
        }
        if names.len() > 6000 {
            break;
        }
    }
    names.retain(|name| !matches!(name.as_str(), "for" | "if" | "in"));
    names
}
