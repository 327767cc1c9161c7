//! Values of fields: brought to the field's type, and checked against what may be set.

use super::Origin;
use crate::fields::{Field, Kind, Lit, Rule};
use crate::tree::Value;

/// Whole numbers up to here are exact when they come as floating-point numbers.
const MAX_EXACT: f64 = 9e15;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Durations in seconds from here on are refused.
const MAX_DURATION_S: f64 = 1e9;

/// What a value gives, or the reason why it is refused.
type Result<T> = std::result::Result<T, String>;

fn wrong_type<T>(value: &Value, expected: &str) -> Result<T> {
    Err(format!("must be {expected}, is {}", value.kind()))
}

/// Brings a value to a field's type; durations become seconds.
pub fn convert(kind: Kind, value: Value) -> Result<Value> {
    match kind {
        Kind::Text => text(value),
        Kind::Whole => whole(value),
        Kind::Flag => flag(value),
        Kind::Duration => seconds(value),
        Kind::Texts => texts(value),
        Kind::Map => map(value),
        Kind::Any | Kind::Block(_) | Kind::Blocks(_) => Ok(value),
    }
}

fn text(value: Value) -> Result<Value> {
    match value {
        Value::Text(_) => Ok(value),
        Value::Whole(_) | Value::Number(_) | Value::Bool(_) => {
            Ok(Value::Text(value.to_text().unwrap_or_default()))
        }
        other => wrong_type(&other, "a string"),
    }
}

fn whole(value: Value) -> Result<Value> {
    match value {
        Value::Whole(number) => Ok(Value::Whole(number)),
        Value::Number(number) if number.fract() == 0.0 && number.abs() < MAX_EXACT => {
            Ok(Value::Whole(number as i64))
        }
        Value::Number(number) => Err(format!("must be a whole number, is {number}")),
        Value::Text(text) => match text.trim().parse() {
            Ok(number) => Ok(Value::Whole(number)),
            Err(_) => Err(format!("must be a whole number, is \"{text}\"")),
        },
        other => wrong_type(&other, "a whole number"),
    }
}

fn flag(value: Value) -> Result<Value> {
    match value {
        Value::Bool(flag) => Ok(Value::Bool(flag)),
        Value::Text(text) if text == "true" || text == "false" => Ok(Value::Bool(text == "true")),
        other => wrong_type(&other, "true or false"),
    }
}

/// A duration as text, or a number of nanoseconds as the API has it.
fn seconds(value: Value) -> Result<Value> {
    if let Value::Text(text) = &value {
        return duration(text).map(Value::Number);
    }
    match value.as_f64() {
        Some(nanoseconds) if nanoseconds >= 0.0 && nanoseconds.is_finite() => {
            Ok(Value::Number(nanoseconds / NANOSECONDS_PER_SECOND))
        }
        Some(nanoseconds) => Err(format!("must be a duration from 0, is {nanoseconds}")),
        None => wrong_type(&value, "a duration like \"30s\""),
    }
}

fn texts(value: Value) -> Result<Value> {
    let expected = "a list of strings";
    let Value::List(elements) = value else { return wrong_type(&value, expected) };
    let text = |element| match element {
        Value::Text(text) => Ok(Value::Text(text)),
        other => wrong_type(&other, expected),
    };
    Ok(Value::List(elements.into_iter().map(text).collect::<Result<_>>()?))
}

fn map(value: Value) -> Result<Value> {
    let Value::Map(entries) = value else { return wrong_type(&value, "a map of strings") };
    let entry = |(key, value): (String, Value)| match value.to_text() {
        Some(text) => Ok((key, Value::Text(text))),
        None => Err(format!("`{key}` must be a string, is {}", value.kind())),
    };
    Ok(Value::Map(entries.into_iter().map(entry).collect::<Result<_>>()?))
}

/// Checks a value of the field's type against the values that may be set.
pub fn check_allowed(field: &Field, value: &Value, origin: Origin) -> Result<()> {
    let (always, from_clients, does): (&[Lit], &[Lit], &str) = match field.rule {
        Rule::Only(always, does) => (always, &[], does),
        Rule::Sent(always, from_clients, does) => (always, from_clients, does),
        _ => return Ok(()),
    };
    let is_one_of = |literals: &[Lit]| literals.iter().any(|literal| literal.is(value));
    if is_one_of(always) || (origin == Origin::Api && is_one_of(from_clients)) {
        return Ok(());
    }
    if always.is_empty() {
        return Err(format!("can't be set: {does}; leave it out"));
    }
    let shown: Vec<String> = always.iter().map(Lit::shown).collect();
    Err(format!("can only be {}: {does}; write that or leave it out", shown.join(" or ")))
}

/// Seconds of `1h30m`, `90s`, `250ms`.
pub(crate) fn duration(text: &str) -> Result<f64> {
    let wrong = || format!("must be a duration like \"30s\" or \"1h30m\", is \"{text}\"");
    let mut rest = text.trim();
    if rest == "0" {
        return Ok(0.0);
    }
    if rest.is_empty() {
        return Err(wrong());
    }
    let mut seconds = 0.0;
    while !rest.is_empty() {
        let digits = rest.find(|letter: char| !letter.is_ascii_digit() && letter != '.').ok_or_else(wrong)?;
        let number: f64 = rest[..digits].parse().map_err(|_| wrong())?;
        let unit = &rest[digits..];
        let unit = &unit[..unit.find(|letter: char| letter.is_ascii_digit()).unwrap_or(unit.len())];
        seconds += number * unit_seconds(unit).ok_or_else(wrong)?;
        rest = &rest[digits + unit.len()..];
    }
    if seconds.is_finite() && seconds < MAX_DURATION_S { Ok(seconds) } else { Err(wrong()) }
}

fn unit_seconds(unit: &str) -> Option<f64> {
    match unit {
        "ns" => Some(1e-9),
        // The micro sign, and the Greek letter that looks like it.
        "us" | "µs" | "μs" => Some(1e-6),
        "ms" => Some(1e-3),
        "s" => Some(1.0),
        "m" => Some(60.0),
        "h" => Some(3600.0),
        _ => None,
    }
}
