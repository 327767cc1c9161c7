//! `format`: `%s`, `%d`, `%v`, `%q`, `%f` with a width and, for numbers, a zero fill and decimals.

use super::Result;
use super::arguments::{number, text, whole};
use crate::hcl::scope::Scope;
use crate::tree::Value;
use std::iter::Peekable;
use std::str::Chars;

/// The largest width and number of decimals; larger ones count as this.
const MAX_WIDTH: usize = 64;
/// Decimals of `%f` without a number of them.
const DEFAULT_DECIMALS: usize = 6;

/// What stands between a `%` and the value that it shows.
struct Directive {
    zero_fill: bool,
    width: usize,
    decimals: Option<usize>,
    verb: char,
}

impl Directive {
    /// Reads what follows a `%`.
    fn read(pattern: &mut Peekable<Chars<'_>>) -> Result<Self> {
        let zero_fill = pattern.next_if_eq(&'0').is_some();
        let width = digits(pattern).unwrap_or(0);
        let decimals = if pattern.next_if_eq(&'.').is_some() { digits(pattern) } else { None };
        let verb = pattern.next().ok_or("the pattern ends within a `%`")?;
        Ok(Self { zero_fill, width, decimals, verb })
    }

    fn show(&self, argument: &Value) -> Result<String> {
        match self.verb {
            's' | 'v' => text(argument),
            'q' => Ok(serde_json::Value::from(text(argument)?).to_string()),
            'd' => Ok(whole(argument)?.to_string()),
            'f' => Ok(format!("{:.*}", self.decimals.unwrap_or(DEFAULT_DECIMALS), number(argument)?)),
            other => Err(format!("`%{other}` is not known here")),
        }
    }

    /// Appends a shown value, filled up to the width on its left.
    fn append(&self, shown: &str, out: &mut String) {
        let fill = if self.zero_fill && matches!(self.verb, 'd' | 'f') { '0' } else { ' ' };
        let missing = self.width.saturating_sub(shown.chars().count());
        out.extend(std::iter::repeat_n(fill, missing));
        out.push_str(shown);
    }
}

/// A number in decimal digits, if one follows.
fn digits(pattern: &mut Peekable<Chars<'_>>) -> Option<usize> {
    let mut number = None;
    while let Some(digit) = pattern.next_if(char::is_ascii_digit) {
        let digit = digit.to_digit(10).unwrap_or(0) as usize;
        number = Some((number.unwrap_or(0) * 10 + digit).min(MAX_WIDTH));
    }
    number
}

/// The pattern, which is the first argument, with the other arguments in place of its directives.
pub fn format(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let pattern = text(&arguments[0])?;
    let mut values = arguments[1..].iter();
    let mut out = String::new();
    let mut letters = pattern.chars().peekable();
    while let Some(letter) = letters.next() {
        if letter != '%' {
            out.push(letter);
        } else if letters.next_if_eq(&'%').is_some() {
            out.push('%');
        } else {
            let directive = Directive::read(&mut letters)?;
            let value = values.next().ok_or("has fewer values than its pattern asks for")?;
            directive.append(&directive.show(value)?, &mut out);
        }
    }
    if values.next().is_some() {
        return Err("has more values than its pattern asks for".into());
    }
    Ok(Value::Text(out))
}

/// Known only to say what to write instead.
pub fn formatlist(_: &[Value], _: &mut Scope) -> Result<Value> {
    Err("is not known here; write [for x in list : format(\"...\", x)]".into())
}
