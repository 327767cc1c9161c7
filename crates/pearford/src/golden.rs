//! Compares the command line with `tests/golden/command_line.txt`: every subcommand, flag and argument, with
//! its value's name and its default. Unless a flag's name is given explicitly, it is derived from the field's
//! name, so that renaming a field would change the interface. The file is edited by hand for intended changes
//! of the command line.

use super::Cli;
use clap::{Arg, Command, CommandFactory};

const RECORDED: &str = include_str!("../tests/golden/command_line.txt");

fn argument(arg: &Arg) -> String {
    let flag = match arg.get_long() {
        Some(long) => format!("--{long}"),
        None => format!("argument {}", arg.get_index().unwrap_or_default()),
    };
    let values: Vec<&str> =
        arg.get_value_names().unwrap_or_default().iter().map(clap::builder::Str::as_str).collect();
    let defaults: Vec<String> =
        arg.get_default_values().iter().map(|value| value.to_string_lossy().into_owned()).collect();
    let required = if arg.is_required_set() { "required" } else { "optional" };
    format!("{flag} {} {required} {}", values.join(" "), defaults.join(" ")).trim_end().to_string()
}

/// One line for the command, one for each of its arguments, and the lines of its subcommands.
fn describe(path: &str, command: &Command) -> Vec<String> {
    let path = format!("{path} {}", command.get_name()).trim_start().to_string();
    let arguments = command.get_arguments().map(|arg| format!("{path}: {}", argument(arg)));
    let mut lines: Vec<String> = std::iter::once(path.clone()).chain(arguments).collect();
    for subcommand in command.get_subcommands() {
        lines.extend(describe(&path, subcommand));
    }
    lines
}

#[test]
fn golden_command_line() {
    let mut command = Cli::command();
    command.build();
    assert_eq!(describe("", &command).join("\n"), RECORDED.trim_end());
}
