//! The cases of the second review. `run.sh` of each case calls this program.
//!
//! Usage: stand CASE ROOT RECORD. Exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod controllers;
mod http;
mod json;
mod long_file;
mod memory;
mod mistakes;
mod one_zone;
mod platform;
mod record;
mod sites;
mod store;
mod two_versions;
mod users;

use record::Record;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// No case takes longer.
const TIME_LIMIT: Duration = Duration::from_secs(118);

/// What a case found.
pub enum Verdict {
    Broken(&'static str),
    Held,
}

/// Failures of the surroundings, which say nothing of the rule.
pub trait Setup<T> {
    fn setup(self) -> Result<T, String>;
}

impl<T, E: std::fmt::Display> Setup<T> for Result<T, E> {
    fn setup(self) -> Result<T, String> {
        self.map_err(|error| error.to_string())
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = args.as_slice() else {
        eprintln!("usage: stand CASE ROOT RECORD");
        std::process::exit(2);
    };
    let record = Record::create(&PathBuf::from(record)).expect("the record can't be written");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let limit = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        limit.say("could not run: out of time");
        controllers::end_all();
        std::process::exit(2);
    });
    let run: fn(&Path, &Record, bool) -> Result<Verdict, String> = match case.as_str() {
        "two-versions" => two_versions::run,
        "mistakes" => mistakes::run,
        "one-zone" => one_zone::run,
        "memory" => memory::run,
        "long-file" => long_file::run,
        _ => |_, _, _| Err("no such case".into()),
    };
    let code = match run(Path::new(root), &record, trouble) {
        Ok(Verdict::Broken(how)) => {
            record.say(&format!("BROKEN: {how}"));
            1
        }
        Ok(Verdict::Held) => {
            record.say("held");
            0
        }
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            2
        }
    };
    controllers::end_all();
    std::process::exit(code);
}
