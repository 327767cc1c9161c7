//! Arguments of functions as the types that the functions need. Errors say what was given instead.

use super::Result;
use crate::tree::Value;

/// A string, or a number or bool as its text.
pub fn text(value: &Value) -> Result<String> {
    value.to_text().ok_or_else(|| format!("needs a string, got {}", value.kind()))
}

/// A number, or a string that holds one.
pub fn number(value: &Value) -> Result<f64> {
    match value {
        Value::Text(text) => text.trim().parse().map_err(|_| format!("`{text}` is not a number")),
        other => other.as_f64().ok_or_else(|| format!("needs a number, got {}", other.kind())),
    }
}

/// A whole number.
pub fn whole(value: &Value) -> Result<i64> {
    match value {
        Value::Whole(number) => Ok(*number),
        other => Err(format!("needs a whole number, got {}", other.kind())),
    }
}

/// A list's elements.
pub fn list(value: &Value) -> Result<&[Value]> {
    match value {
        Value::List(elements) => Ok(elements),
        other => Err(format!("needs a list, got {}", other.kind())),
    }
}

/// A list's elements as strings.
pub fn texts(value: &Value) -> Result<Vec<String>> {
    list(value)?.iter().map(text).collect()
}

/// A map's keys and values, in the order in which they were written.
pub fn map(value: &Value) -> Result<&[(String, Value)]> {
    match value {
        Value::Map(entries) => Ok(entries),
        other => Err(format!("needs a map, got {}", other.kind())),
    }
}
