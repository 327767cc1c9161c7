//! Functions in common use in job files. None reads files, clocks or the environment.

use super::eval::Scope;
use crate::tree::Value;

/// Elements that one call may make.
const MAX_ELEMENTS: i64 = 10_000;

type Result<T> = std::result::Result<T, String>;

fn text(value: &Value) -> Result<String> {
    value.to_text().ok_or_else(|| format!("needs a string, got {}", value.kind()))
}
fn number(value: &Value) -> Result<f64> {
    match value {
        Value::Text(t) => t.trim().parse().map_err(|_| format!("`{t}` is not a number")),
        other => other.as_f64().ok_or_else(|| format!("needs a number, got {}", other.kind())),
    }
}
fn whole(value: &Value) -> Result<i64> {
    match value {
        Value::Whole(n) => Ok(*n),
        other => Err(format!("needs a whole number, got {}", other.kind())),
    }
}
fn list(value: &Value) -> Result<&[Value]> {
    match value {
        Value::List(l) => Ok(l),
        other => Err(format!("needs a list, got {}", other.kind())),
    }
}
fn map(value: &Value) -> Result<&[(String, Value)]> {
    match value {
        Value::Map(m) => Ok(m),
        other => Err(format!("needs a map, got {}", other.kind())),
    }
}
fn of_number(n: f64) -> Result<Value> {
    // Whole numbers up to 2^53 are exact.
    if n.fract() == 0.0 && n.abs() < 9_007_199_254_740_992.0 {
        Ok(Value::Whole(n as i64))
    } else if n.is_finite() {
        Ok(Value::Number(n))
    } else {
        Err("gives no number".into())
    }
}

/// Names that other tools know and that would read what a job file must not.
const READERS: &[&str] =
    &["file", "fileset", "fileexists", "filebase64", "templatefile", "env", "abspath", "pathexpand"];

pub fn call(name: &str, args: &[Value], scope: &mut Scope) -> Result<Value> {
    let wants = |n: usize| match args.len() == n {
        true => Ok(()),
        false => Err(format!("takes {n} arguments, got {}", args.len())),
    };
    let some = || if args.is_empty() { Err("needs an argument".to_string()) } else { Ok(()) };
    let to_text = Value::Text;
    Ok(match name {
        "upper" | "lower" | "trimspace" | "strlen" | "chomp" | "title" => {
            wants(1)?;
            let t = text(&args[0])?;
            match name {
                "upper" => to_text(t.to_uppercase()),
                "lower" => to_text(t.to_lowercase()),
                "trimspace" => to_text(t.trim().into()),
                "chomp" => to_text(t.trim_end_matches(['\n', '\r']).into()),
                "title" => to_text(title(&t)),
                _ => Value::Whole(t.chars().count() as i64),
            }
        }
        "trim" | "trimprefix" | "trimsuffix" => {
            wants(2)?;
            let (t, what) = (text(&args[0])?, text(&args[1])?);
            to_text(match name {
                "trimprefix" => t.strip_prefix(&what).unwrap_or(&t).into(),
                "trimsuffix" => t.strip_suffix(&what).unwrap_or(&t).into(),
                _ => t.trim_matches(|c| what.contains(c)).into(),
            })
        }
        "replace" => {
            wants(3)?;
            let (t, from, to) = (text(&args[0])?, text(&args[1])?, text(&args[2])?);
            if from.is_empty() {
                return Err("needs something to replace".into());
            }
            scope.spend(t.matches(&from).count() * to.len())?;
            to_text(t.replace(&from, &to))
        }
        "substr" => {
            wants(3)?;
            let (t, from, len) = (text(&args[0])?, whole(&args[1])?, whole(&args[2])?);
            let from = usize::try_from(from).map_err(|_| "needs an offset from 0")?;
            let len = usize::try_from(len).unwrap_or(usize::MAX);
            to_text(t.chars().skip(from).take(len).collect())
        }
        "join" => {
            wants(2)?;
            let parts = list(&args[1])?.iter().map(text).collect::<Result<Vec<_>>>()?;
            let separator = text(&args[0])?;
            scope.spend(separator.len() * parts.len())?;
            to_text(parts.join(&separator))
        }
        "split" => {
            wants(2)?;
            let (separator, t) = (text(&args[0])?, text(&args[1])?);
            Value::List(t.split(&separator).take(MAX_ELEMENTS as usize).map(|p| to_text(p.into())).collect())
        }
        "format" => {
            some()?;
            to_text(format(&text(&args[0])?, &args[1..])?)
        }
        "formatlist" => return Err("is not known here; write [for x in list : format(\"...\", x)]".into()),
        "length" => {
            wants(1)?;
            Value::Whole(match &args[0] {
                Value::List(l) => l.len(),
                Value::Map(m) => m.len(),
                Value::Text(t) => t.chars().count(),
                other => return Err(format!("needs a list, a map or a string, got {}", other.kind())),
            } as i64)
        }
        "concat" => {
            let mut out = Vec::new();
            for arg in args {
                out.extend(list(arg)?.iter().cloned());
            }
            Value::List(out)
        }
        "merge" => {
            let mut out: Vec<(String, Value)> = Vec::new();
            for (k, v) in args.iter().map(map).collect::<Result<Vec<_>>>()?.into_iter().flatten() {
                match out.iter_mut().find(|(key, _)| key == k) {
                    Some(entry) => entry.1 = v.clone(),
                    None => out.push((k.clone(), v.clone())),
                }
            }
            Value::Map(out)
        }
        "keys" => {
            wants(1)?;
            let mut keys: Vec<&String> = map(&args[0])?.iter().map(|(k, _)| k).collect();
            keys.sort();
            Value::List(keys.into_iter().cloned().map(to_text).collect())
        }
        "values" => {
            wants(1)?;
            let mut entries: Vec<&(String, Value)> = map(&args[0])?.iter().collect();
            entries.sort_by(|a, b| a.0.cmp(&b.0));
            Value::List(entries.into_iter().map(|(_, v)| v.clone()).collect())
        }
        "lookup" => {
            if args.len() < 2 || args.len() > 3 {
                return Err("takes a map, a key and a default".into());
            }
            let key = text(&args[1])?;
            match map(&args[0])?.iter().find(|(k, _)| *k == key).map(|(_, v)| v).or(args.get(2)) {
                Some(value) => value.clone(),
                None => return Err(format!("there is no `{key}`, and no default")),
            }
        }
        "contains" => {
            wants(2)?;
            Value::Bool(list(&args[0])?.contains(&args[1]))
        }
        "element" => {
            wants(2)?;
            let (l, i) = (list(&args[0])?, whole(&args[1])?);
            if l.is_empty() {
                return Err("the list is empty".into());
            }
            l[i.rem_euclid(l.len() as i64) as usize].clone()
        }
        "coalesce" => match args.iter().find(|v| !matches!(v, Value::Null)) {
            Some(value) => value.clone(),
            None => return Err("all arguments are null".into()),
        },
        "distinct" => {
            wants(1)?;
            let mut out: Vec<Value> = Vec::new();
            let l = list(&args[0])?;
            scope.spend(l.len() * l.len().min(256))?;
            for v in l {
                if !out.contains(v) {
                    out.push(v.clone());
                }
            }
            Value::List(out)
        }
        "flatten" => {
            wants(1)?;
            let mut out = Vec::new();
            flatten(list(&args[0])?, &mut out);
            Value::List(out)
        }
        "reverse" => {
            wants(1)?;
            Value::List(list(&args[0])?.iter().rev().cloned().collect())
        }
        "sort" => {
            wants(1)?;
            let mut out = list(&args[0])?.iter().map(text).collect::<Result<Vec<_>>>()?;
            out.sort();
            Value::List(out.into_iter().map(to_text).collect())
        }
        "range" => {
            let (from, to, step) = match args {
                [to] => (0, whole(to)?, 1),
                [from, to] => (whole(from)?, whole(to)?, 1),
                [from, to, step] => (whole(from)?, whole(to)?, whole(step)?),
                _ => return Err("takes one to three whole numbers".into()),
            };
            if step == 0 {
                return Err("needs a step other than 0".into());
            }
            let count = (i128::from(to) - i128::from(from)) / i128::from(step);
            if count > i128::from(MAX_ELEMENTS) {
                return Err(format!("makes more than {MAX_ELEMENTS} elements"));
            }
            let mut out = Vec::new();
            let mut n = from;
            while (step > 0 && n < to) || (step < 0 && n > to) {
                out.push(Value::Whole(n));
                n = n.saturating_add(step);
            }
            Value::List(out)
        }
        "min" | "max" => {
            some()?;
            let numbers = args.iter().map(number).collect::<Result<Vec<_>>>()?;
            let pick = if name == "min" { f64::min } else { f64::max };
            of_number(numbers.into_iter().reduce(pick).unwrap_or(0.0))?
        }
        "ceil" | "floor" | "abs" => {
            wants(1)?;
            let n = number(&args[0])?;
            of_number(match name {
                "ceil" => n.ceil(),
                "floor" => n.floor(),
                _ => n.abs(),
            })?
        }
        "tostring" => {
            wants(1)?;
            to_text(text(&args[0])?)
        }
        "tonumber" => {
            wants(1)?;
            match &args[0] {
                Value::Text(t) if t.trim().parse::<i64>().is_ok() => {
                    Value::Whole(t.trim().parse().unwrap_or(0))
                }
                other => of_number(number(other)?)?,
            }
        }
        "tobool" => {
            wants(1)?;
            match text(&args[0])?.as_str() {
                "true" => Value::Bool(true),
                "false" => Value::Bool(false),
                other => return Err(format!("`{other}` is neither true nor false")),
            }
        }
        "tolist" | "toset" => {
            wants(1)?;
            Value::List(list(&args[0])?.to_vec())
        }
        "tomap" => {
            wants(1)?;
            Value::Map(map(&args[0])?.to_vec())
        }
        "jsonencode" => {
            wants(1)?;
            to_text(args[0].to_json().to_string())
        }
        "jsondecode" => {
            wants(1)?;
            let json = serde_json::from_str(&text(&args[0])?).map_err(|e| e.to_string())?;
            Value::from_json(&json)
        }
        "startswith" | "endswith" | "strcontains" => {
            wants(2)?;
            let (t, part) = (text(&args[0])?, text(&args[1])?);
            Value::Bool(match name {
                "startswith" => t.starts_with(&part),
                "endswith" => t.ends_with(&part),
                _ => t.contains(&part),
            })
        }
        reader if READERS.contains(&reader) => {
            return Err("reads files or the environment, which a job file can't here; pass it as -var".into());
        }
        _ => return Err("is not known here".into()),
    })
}

fn title(text: &str) -> String {
    let mut start = true;
    let word = |c: char| {
        let out: String = if start { c.to_uppercase().collect() } else { c.to_string() };
        start = c.is_whitespace();
        out
    };
    text.chars().map(word).collect()
}

fn flatten(list: &[Value], out: &mut Vec<Value>) {
    for value in list {
        match value {
            Value::List(inner) => flatten(inner, out),
            other => out.push(other.clone()),
        }
    }
}

/// `%s`, `%d`, `%v`, `%q`, `%f` with a width and, for numbers, a zero fill and decimals.
fn format(pattern: &str, args: &[Value]) -> Result<String> {
    let mut out = String::new();
    let mut args = args.iter();
    let mut chars = pattern.chars().peekable();
    while let Some(c) = chars.next() {
        if c != '%' {
            out.push(c);
            continue;
        }
        if chars.next_if_eq(&'%').is_some() {
            out.push('%');
            continue;
        }
        let zero = chars.next_if_eq(&'0').is_some();
        let digits = |chars: &mut std::iter::Peekable<std::str::Chars<'_>>| {
            let mut n = None;
            while let Some(d) = chars.next_if(char::is_ascii_digit) {
                n = Some((n.unwrap_or(0usize) * 10 + d.to_digit(10).unwrap_or(0) as usize).min(64));
            }
            n
        };
        let width = digits(&mut chars).unwrap_or(0);
        let decimals = if chars.next_if_eq(&'.').is_some() { digits(&mut chars) } else { None };
        let verb = chars.next().ok_or("the pattern ends within a `%`")?;
        let arg = args.next().ok_or("has fewer values than its pattern asks for")?;
        let made = match verb {
            's' | 'v' => text(arg)?,
            'q' => serde_json::Value::from(text(arg)?).to_string(),
            'd' => whole(arg)?.to_string(),
            'f' => format!("{:.*}", decimals.unwrap_or(6), number(arg)?),
            other => return Err(format!("`%{other}` is not known here")),
        };
        let fill = if zero && matches!(verb, 'd' | 'f') { '0' } else { ' ' };
        out.extend(std::iter::repeat_n(fill, width.saturating_sub(made.chars().count())));
        out += &made;
    }
    if args.next().is_some() {
        return Err("has more values than its pattern asks for".into());
    }
    Ok(out)
}
