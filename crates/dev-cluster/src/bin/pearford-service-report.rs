//! `pearford-service-report`: reads the nodes' log lines from standard input, prints what share of the jobs of each
//! class and each team was served, and fails if it was less than half for any.
#![forbid(unsafe_code)]

use pearford_dev_cluster::service_report::ServiceReport;
use std::io::Read;
use std::process::ExitCode;

/// Exit code if the lines can't be evaluated.
const UNUSABLE_INPUT: u8 = 2;

fn main() -> ExitCode {
    let mut log = Vec::new();
    if let Err(error) = std::io::stdin().read_to_end(&mut log) {
        eprintln!("standard input: {error}; give the nodes' log lines, of LOG_LEVEL info or debug");
        return ExitCode::from(UNUSABLE_INPUT);
    }
    let report = ServiceReport::from_log(String::from_utf8_lossy(&log).lines());
    if report.classes.is_empty() {
        eprintln!(
            "no job was accepted in these lines; give the nodes' log lines, of LOG_LEVEL info or debug"
        );
        return ExitCode::from(UNUSABLE_INPUT);
    }
    print!("{report}");
    if report.failures().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
