//! Functions on strings.

use super::arguments::{text, texts, whole};
use super::{MAX_ELEMENTS, Result};
use crate::hcl::scope::Scope;
use crate::tree::Value;

/// In upper case.
pub fn upper(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Text(text(&arguments[0])?.to_uppercase()))
}

/// In lower case.
pub fn lower(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Text(text(&arguments[0])?.to_lowercase()))
}

/// The first letter, and each one after white space, in upper case.
pub fn title(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let mut out = String::new();
    let mut starts = true;
    for letter in text(&arguments[0])?.chars() {
        if starts {
            out.extend(letter.to_uppercase());
        } else {
            out.push(letter);
        }
        starts = letter.is_whitespace();
    }
    Ok(Value::Text(out))
}

/// Without line ends at its end.
pub fn chomp(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Text(text(&arguments[0])?.trim_end_matches(['\n', '\r']).into()))
}

/// The number of characters.
pub fn strlen(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Whole(text(&arguments[0])?.chars().count() as i64))
}

/// Without white space at either end.
pub fn trimspace(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    Ok(Value::Text(text(&arguments[0])?.trim().into()))
}

/// Without any of the second string's characters at either end.
pub fn trim(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    let trimmed = text(&arguments[1])?;
    Ok(Value::Text(whole_text.trim_matches(|letter| trimmed.contains(letter)).into()))
}

/// Without a prefix, if it is there.
pub fn trimprefix(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    let prefix = text(&arguments[1])?;
    Ok(Value::Text(whole_text.strip_prefix(&prefix).unwrap_or(&whole_text).into()))
}

/// Without a suffix, if it is there.
pub fn trimsuffix(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    let suffix = text(&arguments[1])?;
    Ok(Value::Text(whole_text.strip_suffix(&suffix).unwrap_or(&whole_text).into()))
}

/// Whether a string begins with another.
pub fn startswith(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    Ok(Value::Bool(whole_text.starts_with(&text(&arguments[1])?)))
}

/// Whether a string ends with another.
pub fn endswith(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    Ok(Value::Bool(whole_text.ends_with(&text(&arguments[1])?)))
}

/// Whether a string holds another.
pub fn strcontains(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    Ok(Value::Bool(whole_text.contains(&text(&arguments[1])?)))
}

/// Every occurrence of the second string replaced by the third.
pub fn replace(arguments: &[Value], scope: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    let from = text(&arguments[1])?;
    let to = text(&arguments[2])?;
    if from.is_empty() {
        return Err("needs something to replace".into());
    }
    scope.spend(whole_text.matches(&from).count() * to.len())?;
    Ok(Value::Text(whole_text.replace(&from, &to)))
}

/// A part by offset and length, in characters; a negative length takes the rest.
pub fn substr(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let whole_text = text(&arguments[0])?;
    let offset = whole(&arguments[1])?;
    let length = whole(&arguments[2])?;
    let offset = usize::try_from(offset).map_err(|_| "needs an offset from 0")?;
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    Ok(Value::Text(whole_text.chars().skip(offset).take(length).collect()))
}

/// A list's elements with a separator between them.
pub fn join(arguments: &[Value], scope: &mut Scope) -> Result<Value> {
    let parts = texts(&arguments[1])?;
    let separator = text(&arguments[0])?;
    scope.spend(separator.len() * parts.len())?;
    Ok(Value::Text(parts.join(&separator)))
}

/// The parts between separators, as many as one call may make.
pub fn split(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let separator = text(&arguments[0])?;
    let whole_text = text(&arguments[1])?;
    let parts = whole_text.split(&separator).take(MAX_ELEMENTS);
    Ok(Value::List(parts.map(|part| Value::Text(part.into())).collect()))
}
