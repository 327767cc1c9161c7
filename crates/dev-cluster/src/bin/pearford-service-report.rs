//! Tells of which classes and teams a day served less than half, from the nodes' log lines on standard input.
#![forbid(unsafe_code)]

use pearford_dev_cluster::service_report::ServiceReport;
use std::io::Read;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut log = Vec::new();
    if let Err(error) = std::io::stdin().read_to_end(&mut log) {
        eprintln!("standard input: {error}; give the nodes' log lines, of LOG_LEVEL info or debug");
        return ExitCode::from(2);
    }
    let served = ServiceReport::of(String::from_utf8_lossy(&log).lines());
    if served.classes.is_empty() {
        eprintln!(
            "no job was accepted in these lines; give the nodes' log lines, of LOG_LEVEL info or debug"
        );
        return ExitCode::from(2);
    }
    print!("{served}");
    if served.failures().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
