//! `pearford nomad`: job files from the command line.

use clap::{Args, Subcommand};
use pearford_nomad::fault::Fault;
use pearford_nomad::hcl::{Assignment, read_assignments};
use pearford_nomad::operator::NomadSettings;
use pearford_nomad::source;
use pearford_nomad::translate::Context;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Command {
    /// Print the native submissions of a job file as JSON, one on a line.
    ///
    /// Exits with 2 and prints nothing on standard output if the file has a field that pearford can't
    /// honour; every fault is then on a line of its own on standard error.
    Translate(File),
    /// Print what becomes of every field of a job file, as a Markdown table.
    Fields,
}

#[derive(Args)]
pub struct File {
    /// The job file, HCL or JSON.
    file: PathBuf,
    /// The operators' settings for Nomad's files (YAML): MHz of a CPU, namespaces, devices.
    #[arg(long, value_name = "FILE.yaml")]
    operator: Option<PathBuf>,
    /// A variable's value; may be given several times.
    #[arg(long = "var", value_name = "NAME=VALUE")]
    vars: Vec<String>,
    /// A file of NAME = VALUE lines; may be given several times. `--var` goes before it.
    #[arg(long = "var-file", value_name = "FILE")]
    var_files: Vec<PathBuf>,
}

const INVALID: u8 = 2;

pub fn run(command: Command) -> ExitCode {
    match command {
        Command::Fields => {
            print!("{}", pearford_nomad::fields::as_markdown());
            ExitCode::SUCCESS
        }
        Command::Translate(file) => match file.submissions() {
            Ok(lines) => {
                lines.iter().for_each(|line| println!("{line}"));
                ExitCode::SUCCESS
            }
            Err(faults) => {
                faults.iter().for_each(|fault| eprintln!("{fault}"));
                ExitCode::from(INVALID)
            }
        },
    }
}

fn read(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path).map_err(|e| vec![format!("{}: can't be read: {e}", path.display())])
}

fn shown(path: &Path, faults: &[Fault]) -> Vec<String> {
    let line = |f: &Fault| {
        format!("{}:{}:{}: {}: {}", path.display(), f.at.line.max(1), f.at.column.max(1), f.path, f.reason)
    };
    faults.iter().map(line).collect()
}

impl File {
    fn submissions(&self) -> Result<Vec<String>, Vec<String>> {
        let settings = match &self.operator {
            None => NomadSettings::default(),
            Some(path) => crate::files::nomad(path)?,
        };
        let context = Context { settings, zones: Vec::new() };
        let job = source::job(&read(&self.file)?, &self.assignments()?, &context);
        Ok(job.map_err(|faults| shown(&self.file, &faults))?.submissions())
    }

    fn assignments(&self) -> Result<Vec<Assignment>, Vec<String>> {
        let mut out = Vec::new();
        for path in &self.var_files {
            out.extend(read_assignments(&read(path)?).map_err(|faults| shown(path, &faults))?);
        }
        for var in &self.vars {
            let typed = Assignment::typed(var);
            out.push(typed.ok_or_else(|| vec![format!("--var {var}: write it as NAME=VALUE")])?);
        }
        Ok(out)
    }
}
