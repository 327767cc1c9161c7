//! Names in force while expressions are evaluated, and the budget that evaluation takes from.

use crate::tree::Value;
use std::ops::Range;

/// Bytes that a value is charged besides those of its text or elements.
const VALUE_OVERHEAD_BYTES: usize = 16;

/// A place in the text, in bytes, where it is known.
pub type Place = Option<Range<usize>>;

/// Expressions evaluated, and bytes of values made, for one file.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    steps: usize,
    bytes: usize,
}

impl Budget {
    /// On a command line, where only the one who calls waits.
    pub const FILE: Self = Self { steps: 200_000, bytes: 4 * 1024 * 1024 };
    /// In a node, which does nothing else meanwhile and has a small share of a core.
    pub const CALL: Self = Self { steps: 5_000, bytes: 256 * 1024 };
}

/// Why an expression can't be evaluated.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct Error {
    /// Where the expression stands.
    pub span: Place,
    /// What is wrong, and what to write instead.
    pub reason: String,
}

impl Error {
    /// An error at a place.
    pub fn new(span: Place, reason: impl Into<String>) -> Self {
        Self { span, reason: reason.into() }
    }
}

/// What an expression gives.
pub type Result<T> = std::result::Result<T, Error>;

/// A name in force and its value.
#[derive(Debug)]
struct Binding {
    name: String,
    value: Value,
}

/// Names in force, the latest last, and what is left of the budget.
#[derive(Debug)]
pub struct Scope {
    bindings: Vec<Binding>,
    budget: Budget,
}

impl Scope {
    /// A scope without names.
    pub fn new(budget: Budget) -> Self {
        Self { bindings: Vec::new(), budget }
    }

    /// Binds a name, which hides earlier ones of the same text.
    pub fn push(&mut self, name: &str, value: Value) {
        self.bindings.push(Binding { name: name.into(), value });
    }

    /// Drops the latest name.
    pub fn pop(&mut self) {
        self.bindings.pop();
    }

    /// Evaluates something with names that are in force only meanwhile.
    pub(super) fn with_item<T>(
        &mut self,
        names: &ItemNames<'_>,
        item: Item,
        evaluate: impl FnOnce(&mut Self) -> T,
    ) -> T {
        let outer = self.bindings.len();
        if let Some(name) = names.key {
            self.push(name, item.key);
        }
        self.push(names.value, item.value);
        let result = evaluate(self);
        self.bindings.truncate(outer);
        result
    }

    pub(super) fn find(&self, name: &str) -> Option<&Value> {
        self.bindings.iter().rev().find(|binding| binding.name == name).map(|binding| &binding.value)
    }

    /// Takes a step from the budget.
    pub(super) fn step(&mut self, span: &Place) -> Result<()> {
        match self.budget.steps.checked_sub(1) {
            Some(left) => {
                self.budget.steps = left;
                Ok(())
            }
            None => {
                let reason = "takes too long to evaluate; write it out, or in smaller loops";
                Err(Error::new(span.clone(), reason))
            }
        }
    }

    /// Takes `bytes` from the budget for what has been made.
    pub fn spend(&mut self, bytes: usize) -> std::result::Result<(), String> {
        match self.budget.bytes.checked_sub(bytes) {
            Some(left) => {
                self.budget.bytes = left;
                Ok(())
            }
            None => Err("grows beyond what a job file may; write less of it".into()),
        }
    }

    /// Takes what a new value needs from the budget, and gives the value.
    pub(super) fn charged(&mut self, value: Value, span: Place) -> Result<Value> {
        self.spend(size(&value)).map_err(|reason| Error::new(span, reason))?;
        Ok(value)
    }
}

/// Names that a loop gives to the keys and values that it goes through.
pub(super) struct ItemNames<'a> {
    pub(super) key: Option<&'a str>,
    pub(super) value: &'a str,
}

/// A key and a value of a collection.
#[derive(Debug)]
pub struct Item {
    /// A map's key, or a list's index.
    pub key: Value,
    /// The element.
    pub value: Value,
}

/// Keys and values of a collection.
///
/// # Errors
/// The value is neither a list nor a map.
pub fn items(value: Value, span: Place) -> Result<Vec<Item>> {
    match value {
        Value::List(elements) => {
            let numbered = elements.into_iter().enumerate();
            Ok(numbered.map(|(index, value)| Item { key: Value::Whole(index as i64), value }).collect())
        }
        Value::Map(entries) => {
            Ok(entries.into_iter().map(|(key, value)| Item { key: Value::Text(key), value }).collect())
        }
        other => Err(Error::new(span, format!("goes through {}; give a list or a map", other.kind()))),
    }
}

/// Bytes that a value takes, roughly.
fn size(value: &Value) -> usize {
    let content = match value {
        Value::Text(text) => text.len(),
        Value::List(elements) => elements.iter().map(size).sum(),
        Value::Map(entries) => entries.iter().map(|(key, value)| key.len() + size(value)).sum(),
        _ => 0,
    };
    VALUE_OVERHEAD_BYTES + content
}
