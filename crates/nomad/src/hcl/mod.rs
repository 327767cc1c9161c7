//! Job files in HCL2: variables, locals, expressions, blocks.
//!
//! The text is parsed by `hcl-edit`, which bounds nesting and operators; what is evaluated here takes
//! from a budget of steps and bytes, so that no file, however small, grows without bound. Nothing reads
//! files or the environment.

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
use crate::tree::{Block, Entry, Item, Value};
use hcl_edit::Span;
use hcl_edit::structure::{Block as HclBlock, Body, Structure};
use scope::{Scope, items};
use std::ops::Range;

/// Bytes of a job file.
pub const MAX_FILE: usize = 256 * 1024;

/// Where lines begin, to tell places.
pub(crate) struct Places {
    starts: Vec<usize>,
}

impl Places {
    pub(crate) fn of(text: &str) -> Self {
        let after = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(i, _)| i + 1);
        Self { starts: std::iter::once(0).chain(after).collect() }
    }

    pub(crate) fn at(&self, span: Option<Range<usize>>) -> Pos {
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

/// Reads a job file: its `job` block, with all expressions evaluated. Fields that can't be are in
/// `faults`; an error is one that leaves nothing to go on with.
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
    let mut job = None;
    for structure in body.iter() {
        match structure {
            Structure::Attribute(a) => {
                let reason = "does not belong here; a job file holds `variable`, `locals` and one `job`";
                faults.add(places.at(a.span()), a.key.as_str(), reason);
            }
            Structure::Block(b) => match b.ident.as_str() {
                "job" if job.is_some() => {
                    faults.add(places.at(b.span()), "job", "is there twice; one file holds one job");
                }
                "job" => job = Some(block(b, "job", &places, &mut scope, faults)),
                "variable" | "variables" | "locals" => {}
                other => {
                    let reason = "is unknown here; a job file holds `variable`, `locals` and one `job`";
                    faults.add(places.at(b.span()), other, reason);
                }
            },
        }
    }
    if job.is_none() {
        faults.add(Pos::default(), "job", "is missing; a job file holds one `job \"name\" { ... }`");
    }
    Ok(job.unwrap_or_default())
}

fn block(b: &HclBlock, path: &str, places: &Places, scope: &mut Scope, faults: &mut Faults) -> Block {
    let at = places.at(b.span());
    if b.labels.len() > 1 {
        faults.add(at, path, "has more than one label");
    }
    let mut out = Block { at, label: b.labels.first().map(|l| l.as_str().to_string()), entries: Vec::new() };
    for structure in b.body.iter() {
        match structure {
            Structure::Attribute(a) => {
                let path = format!("{path}.{}", a.key.as_str());
                if out.entries.iter().any(|e| e.key == a.key.as_str()) {
                    faults.add(places.at(a.span()), &path, "is there twice");
                    continue;
                }
                match scope.eval(&a.value) {
                    Ok(value) => out.entries.push(Entry {
                        key: a.key.as_str().into(),
                        at: places.at(a.span()),
                        item: Item::Value(value),
                    }),
                    Err(error) => {
                        let at = places.at(error.span.or_else(|| a.span()));
                        faults.add(at, &path, error.reason);
                        out.entries.push(Entry { key: a.key.as_str().into(), at, item: Item::Bad });
                    }
                }
            }
            Structure::Block(inner) if inner.ident.as_str() == "dynamic" => {
                dynamic(inner, path, places, scope, faults, &mut out.entries);
            }
            Structure::Block(inner) => {
                let key = inner.ident.as_str();
                let label = inner.labels.first().map(|l| format!("[{}]", l.as_str())).unwrap_or_default();
                let inner_block = block(inner, &format!("{path}.{key}{label}"), places, scope, faults);
                out.entries.push(Entry {
                    key: key.into(),
                    at: inner_block.at,
                    item: Item::Block(inner_block),
                });
            }
        }
    }
    out
}

/// `dynamic "constraint" { for_each = ... content { ... } }`
fn dynamic(
    b: &HclBlock,
    path: &str,
    places: &Places,
    scope: &mut Scope,
    faults: &mut Faults,
    out: &mut Vec<Entry>,
) {
    let at = places.at(b.span());
    let Some(key) = b.labels.first().map(|l| l.as_str().to_string()) else {
        return faults.add(at, path, "`dynamic` needs the label of the block that it makes");
    };
    let path = format!("{path}.{key}");
    let known = ["for_each", "iterator", "labels"];
    if let Some(a) = b.body.attributes().find(|a| !known.contains(&a.key.as_str())) {
        return faults.add(places.at(a.span()), &path, "`dynamic` takes `for_each`, `iterator` and `labels`");
    }
    let (Some(each), Some(content)) = (b.body.get_attribute("for_each"), b.body.get_blocks("content").next())
    else {
        return faults.add(at, &path, "`dynamic` needs `for_each` and a `content` block");
    };
    let iterator = match b.body.get_attribute("iterator").map(|a| a.value.to_string()) {
        Some(name) => name.trim().to_string(),
        None => key.clone(),
    };
    let items = match scope.eval(&each.value).and_then(|value| items(value, each.value.span())) {
        Ok(items) => items,
        Err(error) => return faults.add(places.at(error.span.or_else(|| each.span())), &path, error.reason),
    };
    for item in items {
        let each = Value::Map(vec![("key".into(), item.key), ("value".into(), item.value)]);
        scope.push(&iterator, each);
        let label = b.body.get_attribute("labels").map(|a| scope.eval(&a.value));
        let mut made = block(content, &path, places, scope, faults);
        match label {
            None => {}
            Some(Ok(Value::List(labels))) => made.label = labels.first().and_then(Value::to_text),
            Some(Ok(_)) => faults.add(at, &path, "`labels` must be a list of strings"),
            Some(Err(error)) => faults.add(at, &path, error.reason),
        }
        scope.pop();
        out.push(Entry { key: key.clone(), at, item: Item::Block(made) });
        if !faults.is_empty() {
            return;
        }
    }
}
