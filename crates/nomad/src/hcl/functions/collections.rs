//! Functions on lists and maps.

use super::Result;
use super::arguments::{list, map, text, texts, whole};
use crate::hcl::scope::Scope;
use crate::tree::Value;

/// `distinct` charges its comparisons as bytes: each element against at most so many others.
const MAX_CHARGED_COMPARISONS: usize = 256;

/// The number of a collection's elements, or of a string's characters.
pub fn length(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let length = match &arguments[0] {
        Value::List(elements) => elements.len(),
        Value::Map(entries) => entries.len(),
        Value::Text(text) => text.chars().count(),
        other => return Err(format!("needs a list, a map or a string, got {}", other.kind())),
    };
    Ok(Value::Whole(length as i64))
}

/// One list of several.
pub fn concat(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let mut out = Vec::new();
    for argument in arguments {
        out.extend(list(argument)?.iter().cloned());
    }
    Ok(Value::List(out))
}

/// One map of several; of a key's values the last one counts.
pub fn merge(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let maps = arguments.iter().map(map).collect::<Result<Vec<_>>>()?;
    let mut merged: Vec<(String, Value)> = Vec::new();
    for (key, value) in maps.into_iter().flatten() {
        match merged.iter_mut().find(|(known, _)| known == key) {
            Some((_, merged_value)) => *merged_value = value.clone(),
            None => merged.push((key.clone(), value.clone())),
        }
    }
    Ok(Value::Map(merged))
}

/// A map's keys, sorted.
pub fn keys(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let mut keys: Vec<&String> = map(&arguments[0])?.iter().map(|(key, _)| key).collect();
    keys.sort();
    Ok(Value::List(keys.into_iter().cloned().map(Value::Text).collect()))
}

/// A map's values, sorted by their keys.
pub fn values(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let mut entries: Vec<&(String, Value)> = map(&arguments[0])?.iter().collect();
    entries.sort_by(|(left, _), (right, _)| left.cmp(right));
    Ok(Value::List(entries.into_iter().map(|(_, value)| value.clone()).collect()))
}

/// A map's value by its key, else the default if one is given.
pub fn lookup(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    if arguments.len() < 2 || arguments.len() > 3 {
        return Err("takes a map, a key and a default".into());
    }
    let key = text(&arguments[1])?;
    let found = map(&arguments[0])?.iter().find(|(known, _)| *known == key).map(|(_, value)| value);
    found.or(arguments.get(2)).cloned().ok_or_else(|| format!("there is no `{key}`, and no default"))
}

/// Whether a list has an element.
pub fn contains(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Bool(list(&arguments[0])?.contains(&arguments[1])))
}

/// A list's element by its index, which wraps around at either end.
pub fn element(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let elements = list(&arguments[0])?;
    let index = whole(&arguments[1])?;
    if elements.is_empty() {
        return Err("the list is empty".into());
    }
    Ok(elements[index.rem_euclid(elements.len() as i64) as usize].clone())
}

/// The first argument that is not null.
pub fn coalesce(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let found = arguments.iter().find(|value| !matches!(value, Value::Null));
    found.cloned().ok_or_else(|| "all arguments are null".into())
}

/// A list's elements, each at its first place only.
pub fn distinct(arguments: &[Value], scope: &mut Scope) -> Result<Value> {
    let elements = list(&arguments[0])?;
    scope.spend(elements.len() * elements.len().min(MAX_CHARGED_COMPARISONS))?;
    let mut out: Vec<Value> = Vec::new();
    for element in elements {
        if !out.contains(element) {
            out.push(element.clone());
        }
    }
    Ok(Value::List(out))
}

/// A list with the elements of lists within it, however deep, in their place.
pub fn flatten(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let mut out = Vec::new();
    flatten_into(list(&arguments[0])?, &mut out);
    Ok(Value::List(out))
}

fn flatten_into(elements: &[Value], out: &mut Vec<Value>) {
    for element in elements {
        match element {
            Value::List(inner) => flatten_into(inner, out),
            other => out.push(other.clone()),
        }
    }
}

/// A list's elements, the last first.
pub fn reverse(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::List(list(&arguments[0])?.iter().rev().cloned().collect()))
}

/// A list's elements as strings, sorted.
pub fn sort(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let mut out = texts(&arguments[0])?;
    out.sort();
    Ok(Value::List(out.into_iter().map(Value::Text).collect()))
}
