//! Reads a Nomad job file and its variables for `pearford nomad`.

use super::Outcome;
use crate::files;
use clap::Args;
use pearford_nomad::fault::Fault;
use pearford_nomad::hcl::{Assignment, Budget, read_assignments};
use pearford_nomad::operator::NomadSettings;
use pearford_nomad::source;
use pearford_nomad::translate::Context;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// A job file, with the settings and variables for reading it.
#[derive(Args)]
pub struct JobFile {
    /// The job file, HCL or JSON.
    file: PathBuf,
    /// The operators' settings for job files (YAML): MHz of a CPU, namespaces, devices.
    #[arg(long, value_name = "FILE.yaml")]
    operator: Option<PathBuf>,
    /// The value of a variable; may be given several times.
    #[arg(long = "var", value_name = "NAME=VALUE")]
    variables: Vec<String>,
    /// A file of NAME = VALUE lines; may be given several times. `--var` takes precedence.
    #[arg(long = "var-file", value_name = "FILE")]
    variable_files: Vec<PathBuf>,
}

impl JobFile {
    /// The native submissions as JSON, one per line.
    pub(super) fn submissions(&self) -> Outcome {
        let text = read(&self.file)?;
        let job = source::job(&text, &self.assignments()?, &self.context()?)
            .map_err(|faults| format_faults(&self.file, &faults))?;
        Ok(job.submissions())
    }

    /// The body of a request that registers or plans the job.
    pub(super) fn registration(&self) -> Result<Value, Vec<String>> {
        let text = read(&self.file)?;
        let job = source::as_api(&text, &self.assignments()?, &self.context()?)
            .map_err(|faults| format_faults(&self.file, &faults))?;
        Ok(json!({"Job": job}))
    }

    fn context(&self) -> Result<Context, Vec<String>> {
        let settings = match &self.operator {
            None => NomadSettings::default(),
            Some(path) => files::load_nomad(path)?,
        };
        Ok(Context { settings, zones: Vec::new() })
    }

    /// The variables' values. Of several with the same name, the last one applies.
    fn assignments(&self) -> Result<Vec<Assignment>, Vec<String>> {
        let mut assignments = Vec::new();
        for path in &self.variable_files {
            let from_file = read_assignments(&read(path)?, Budget::FILE)
                .map_err(|faults| format_faults(path, &faults))?;
            assignments.extend(from_file);
        }
        for variable in &self.variables {
            let assignment = Assignment::typed(variable)
                .ok_or_else(|| vec![format!("--var {variable}: write it as NAME=VALUE")])?;
            assignments.push(assignment);
        }
        Ok(assignments)
    }
}

fn read(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path).map_err(|error| vec![format!("{}: can't be read: {error}", path.display())])
}

/// Formats the faults, one per line, with file, line and column.
fn format_faults(path: &Path, faults: &[Fault]) -> Vec<String> {
    let line = |fault: &Fault| {
        let position = format!("{}:{}", fault.at.line.max(1), fault.at.column.max(1));
        format!("{}:{position}: {}: {}", path.display(), fault.path, fault.reason)
    };
    faults.iter().map(line).collect()
}
