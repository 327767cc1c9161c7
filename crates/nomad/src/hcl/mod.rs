//! Job files in HCL2: variables, locals, expressions, blocks.
//!
//! The text is parsed by `hcl-edit`, which bounds nesting and operators; what is evaluated here takes from a budget of
//! steps and bytes, so that no file, however small, grows without bound. Nothing reads files or the environment.
//!
//! `blocks` reads blocks, `variables` what is declared and assigned; `eval` evaluates expressions in a `scope`.

mod blocks;
mod eval;
mod functions;
mod loops;
mod operators;
mod scope;
mod templates;
mod traversal;
mod variables;

pub use scope::Budget;
pub use variables::{Assignment, read_assignments};

use crate::fault::{Fault, Faults, Pos};
use crate::tree::Block;
use blocks::BlockReader;
use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};
use scope::{Place, Scope};

/// The most bytes of a job file.
pub const MAX_FILE: usize = 256 * 1024;

/// Where lines begin, to find line and column of a place.
pub(crate) struct Places {
    starts: Vec<usize>,
}

impl Places {
    pub(crate) fn of(text: &str) -> Self {
        let line_ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let after = line_ends.map(|(index, _)| index + 1);
        Self { starts: std::iter::once(0).chain(after).collect() }
    }

    pub(crate) fn at(&self, span: Place) -> Pos {
        let Some(span) = span else { return Pos::default() };
        let line = self.starts.partition_point(|start| *start <= span.start).max(1);
        Pos { line: line as u32, column: (span.start - self.starts[line - 1] + 1) as u32 }
    }
}

fn parse(text: &str) -> Result<Body, Vec<Fault>> {
    let refused = |at, reason: String| vec![Fault { at, path: "(file)".into(), reason }];
    if text.len() > MAX_FILE {
        let reason = format!("holds {} bytes; a job file may hold {MAX_FILE}", text.len());
        return Err(refused(Pos::default(), reason));
    }
    hcl_edit::parser::parse_body(text).map_err(|error| {
        let at = error.location();
        let at = Pos { line: at.line() as u32, column: at.column() as u32 };
        refused(at, format!("is not HCL: {}", error.message().trim().replace('\n', "; ")))
    })
}

/// Reads a job file: its `job` block, with all expressions evaluated. Fields that can't be are in `faults`.
///
/// # Errors
/// The text is too large or no HCL, which leaves nothing to go on with.
pub fn read(
    text: &str,
    assignments: &[Assignment],
    budget: Budget,
    faults: &mut Faults,
) -> Result<Block, Vec<Fault>> {
    let body = parse(text)?;
    let places = Places::of(text);
    let mut scope = Scope::new(budget);
    variables::declare(&body, assignments, &places, &mut scope, faults);
    variables::locals(&body, &places, &mut scope, faults);
    let mut reader = BlockReader { places: &places, scope: &mut scope, faults };
    let job = job_block(&body, &mut reader);
    if job.is_none() {
        faults.add(Pos::default(), "job", "is missing; a job file holds one `job \"name\" { ... }`");
    }
    Ok(job.unwrap_or_default())
}

/// The one `job` block of a file.
fn job_block(body: &Body, reader: &mut BlockReader<'_>) -> Option<Block> {
    let mut job = None;
    for structure in body {
        match structure {
            Structure::Attribute(attribute) => {
                let reason = "does not belong here; a job file holds `variable`, `locals` and one `job`";
                reader.fault(attribute.span(), attribute.key.as_str(), reason);
            }
            Structure::Block(block) => match block.ident.as_str() {
                "job" if job.is_some() => {
                    reader.fault(block.span(), "job", "is there twice; one file holds one job");
                }
                "job" => job = Some(reader.block(block, "job")),
                "variable" | "variables" | "locals" => {}
                other => {
                    let reason = "is unknown here; a job file holds `variable`, `locals` and one `job`";
                    reader.fault(block.span(), other, reason);
                }
            },
        }
    }
    job
}
