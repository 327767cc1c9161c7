//! `pearford-service-report`: reads the nodes' log lines from standard input, prints the share of served jobs
//! of each class and each team, and fails if any of them is less than half.
#![forbid(unsafe_code)]

use pearford_dev_cluster::service_report::ServiceReport;
use std::io::Read;
use std::process::ExitCode;

/// Exit code if the input can't be evaluated.
const UNUSABLE_INPUT: u8 = 2;

fn main() -> ExitCode {
    let mut log = Vec::new();
    if let Err(error) = std::io::stdin().read_to_end(&mut log) {
        eprintln!("can't read standard input: {error}; give the nodes' logs at LOG_LEVEL info or debug");
        return ExitCode::from(UNUSABLE_INPUT);
    }
    let report = ServiceReport::from_log(String::from_utf8_lossy(&log).lines());
    if report.classes.is_empty() {
        eprintln!(
            "standard input contains no `accepted` event; give the nodes' logs at LOG_LEVEL info or debug"
        );
        return ExitCode::from(UNUSABLE_INPUT);
    }
    print!("{report}");
    if report.failures().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
