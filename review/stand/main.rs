//! The stand-ins of the cases: state service, cloud, workers and users, and the controllers as processes.
//! `standins CASE FOLDER`: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod cluster;
mod http;
mod json;
mod platform;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("standins CASE FOLDER");
        std::process::exit(2);
    };
    let code =
        std::panic::catch_unwind(|| cases::run(case, std::path::Path::new(folder), trouble)).unwrap_or(2);
    std::process::exit(code);
}
