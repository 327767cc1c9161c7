//! Functions that turn a value into one of another type.

use super::Result;
use super::arguments::{list, map, number, text};
use super::numbers::value_of;
use crate::hcl::scope::Scope;
use crate::tree::Value;

/// A string, number or bool as a string.
pub fn to_string(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Text(text(&arguments[0])?))
}

/// A number; a string that holds a whole number gives just that, however large.
pub fn to_number(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    if let Value::Text(text) = &arguments[0]
        && let Ok(whole) = text.trim().parse()
    {
        return Ok(Value::Whole(whole));
    }
    value_of(number(&arguments[0])?)
}

/// A bool, or a string that says `true` or `false`.
pub fn to_bool(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    match text(&arguments[0])?.as_str() {
        "true" => Ok(Value::Bool(true)),
        "false" => Ok(Value::Bool(false)),
        other => Err(format!("`{other}` is neither true nor false")),
    }
}

/// The list itself. Sets are lists here: what job files do with them does not depend on the difference.
pub fn to_list(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::List(list(&arguments[0])?.to_vec()))
}

/// The map itself.
pub fn to_map(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Map(map(&arguments[0])?.to_vec()))
}

/// A value as JSON.
pub fn json_encode(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Text(arguments[0].to_json().to_string()))
}

/// The value that JSON stands for.
pub fn json_decode(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let json = serde_json::from_str(&text(&arguments[0])?).map_err(|error| error.to_string())?;
    Ok(Value::from_json(&json))
}
