//! Files and API bodies, read by the table: every field found is honoured, or is what pearford does
//! anyway, or is a fault. Nothing is dropped.

use crate::fault::{Faults, Pos};
use crate::fields::{self, Field, Kind, Lit, Rule};
use crate::tree::{Block, Entry, Item, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Characters of a label or name, and blocks of one form in another.
const MAX_NAME: usize = 512;
const MAX_BLOCKS: usize = 256;

/// Where a job comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Somebody wrote what is there.
    File,
    /// A client may have filled in defaults.
    Api,
}

/// A block whose fields are read and found good.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Section {
    pub at: Pos,
    pub path: String,
    pub label: Option<String>,
    values: BTreeMap<&'static str, (Pos, Value)>,
    blocks: BTreeMap<&'static str, Vec<Section>>,
    /// Fields with faults of their own, of which nothing more need be said.
    bad: BTreeSet<&'static str>,
}

impl Section {
    /// One without fields, where the block is missing.
    pub(crate) fn empty(at: Pos, path: String) -> Self {
        Self { at, path, ..Self::default() }
    }

    /// The place of a field, or of the block.
    pub fn place(&self, name: &str) -> Pos {
        self.values.get(name).map_or(self.at, |(at, _)| *at)
    }
    pub fn path_of(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }
    pub fn value(&self, name: &str) -> Option<&Value> {
        self.values.get(name).map(|(_, v)| v)
    }
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.value(name) {
            Some(Value::Text(t)) => Some(t),
            _ => None,
        }
    }
    pub fn whole(&self, name: &str) -> Option<i64> {
        match self.value(name) {
            Some(Value::Whole(n)) => Some(*n),
            _ => None,
        }
    }
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.value(name) {
            Some(Value::Bool(b)) => Some(*b),
            _ => None,
        }
    }
    /// Seconds.
    pub fn seconds(&self, name: &str) -> Option<f64> {
        match self.value(name) {
            Some(Value::Number(s)) => Some(*s),
            _ => None,
        }
    }
    pub fn texts(&self, name: &str) -> Option<Vec<&str>> {
        let Some(Value::List(list)) = self.value(name) else { return None };
        Some(
            list.iter()
                .filter_map(|v| if let Value::Text(t) = v { Some(t.as_str()) } else { None })
                .collect(),
        )
    }
    /// Names and strings of a map.
    pub fn map(&self, name: &str) -> &[(String, Value)] {
        match self.value(name) {
            Some(Value::Map(map)) => map,
            _ => &[],
        }
    }
    pub fn blocks(&self, name: &str) -> &[Section] {
        self.blocks.get(name).map_or(&[], Vec::as_slice)
    }
    pub fn block(&self, name: &str) -> Option<&Section> {
        self.blocks(name).first()
    }

    /// Sets a field that was left out.
    pub(crate) fn default_text(&mut self, name: &'static str, value: &str) {
        if !self.is_bad(name) {
            self.values.entry(name).or_insert((self.at, Value::Text(value.into())));
        }
    }

    /// As clients send it to the API.
    pub fn to_api(&self, form: &str) -> serde_json::Value {
        let mut out = serde_json::Map::new();
        for field in fields::of_form(form).filter(|f| !f.json.is_empty()) {
            let value = match field.kind {
                Kind::Block(inner) => self.block(kept(field)).map(|b| b.to_api(inner)),
                Kind::Blocks(inner) => {
                    let blocks = self.blocks(kept(field));
                    (!blocks.is_empty()).then(|| blocks.iter().map(|b| b.to_api(inner)).collect())
                }
                Kind::Duration => self.seconds(kept(field)).map(|s| ((s * 1e9).round() as u64).into()),
                _ => self.value(kept(field)).map(Value::to_json),
            };
            if let Some(value) = value {
                out.insert(field.json.into(), value);
            }
        }
        if let Some(label) = &self.label {
            let keys: &[&str] = if form == "job" { &["ID", "Name"] } else { &["Name"] };
            keys.iter().for_each(|key| {
                out.insert((*key).into(), label.as_str().into());
            });
        }
        serde_json::Value::Object(out)
    }

    /// Marks fields of which nothing more need be said.
    pub(crate) fn bad_all(&mut self, names: &[&'static str]) {
        self.bad.extend(names);
    }

    pub fn has_bad(&self) -> bool {
        !self.bad.is_empty()
    }

    /// Whether a fault of the field is known already.
    pub fn is_bad(&self, name: &str) -> bool {
        self.bad.contains(name)
    }

    /// The same for two jobs that ask for the same, however they are written: without what is at its
    /// default, and without what changes nothing.
    pub fn canonical(&self, form: &str) -> serde_json::Value {
        let asks = |name: &str, value: &Value| {
            let field = fields::of_form(form).find(|f| kept(f) == name);
            let honoured = field.is_some_and(|f| matches!(f.rule, Rule::Honoured(_)));
            honoured && !value.is_unset() && !fields::is_default(form, name, value)
        };
        let is_name = |name: &str| matches!(name, "ID" | "Name" | "name");
        let mut out = serde_json::Map::new();
        for (name, (_, value)) in self.values.iter().filter(|(k, (_, v))| !is_name(k) && asks(k, v)) {
            out.insert((*name).into(), value.to_json());
        }
        let label = self.label.as_deref().or(["ID", "Name", "name"].iter().find_map(|n| self.text(n)));
        if let Some(label) = label {
            out.insert("(label)".into(), label.into());
        }
        for (name, blocks) in &self.blocks {
            let form = match fields::of_form(form).find(|f| kept(f) == *name).map(|f| f.kind) {
                Some(Kind::Block(form) | Kind::Blocks(form)) => form,
                _ => continue,
            };
            let mut blocks: Vec<serde_json::Value> = blocks.iter().map(|b| b.canonical(form)).collect();
            blocks.retain(|b| b.as_object().is_none_or(|b| !b.is_empty()));
            // `spread` says what it says by being there.
            if !blocks.is_empty() || (form == "spread" && !self.blocks(name).is_empty()) {
                out.insert((*name).into(), blocks.into());
            }
        }
        serde_json::Value::Object(out)
    }
}

/// Reads a job file's `job` block. What has faults is left out, and marked.
pub fn file(block: &Block, faults: &mut Faults) -> Section {
    section(block, "job", "job".into(), Origin::File, faults)
}

/// Reads a job as the API has it. What has faults is left out, and marked.
pub fn api(value: &serde_json::Value, faults: &mut Faults) -> Section {
    if !value.is_object() {
        faults.add(Pos::default(), "Job", "must be an object");
        return Section::empty(Pos::default(), "Job".into());
    }
    section(&block_of(&Value::from_json(value)), "job", "Job".into(), Origin::Api, faults)
}

/// An API object as a block: which of its members are blocks, the table knows.
fn block_of(value: &Value) -> Block {
    let Value::Map(map) = value else { return Block::default() };
    let entry =
        |(k, v): &(String, Value)| Entry { key: k.clone(), at: Pos::default(), item: Item::Value(v.clone()) };
    Block { entries: map.iter().map(entry).collect(), ..Block::default() }
}

fn find(form: &str, key: &str, origin: Origin) -> Option<&'static Field> {
    fields::of_form(form).find(|f| match origin {
        Origin::File => !f.name.is_empty() && f.name == key,
        Origin::Api => !f.json.is_empty() && f.json.eq_ignore_ascii_case(key),
    })
}

/// Key under which a field is kept: its name in files, or in the API if it has none there.
fn kept(field: &Field) -> &'static str {
    if field.name.is_empty() { field.json } else { field.name }
}

fn section(block: &Block, form: &str, path: String, origin: Origin, faults: &mut Faults) -> Section {
    let mut out = Section { at: block.at, path, label: block.label.clone(), ..Section::default() };
    if out.label.as_ref().is_some_and(|l| l.is_empty() || l.len() > MAX_NAME) {
        faults.add(block.at, &out.path, format!("its label must have 1 to {MAX_NAME} bytes"));
    }
    for entry in &block.entries {
        let path = format!("{}.{}", out.path, entry.key);
        let Some(field) = find(form, &entry.key, origin) else {
            let unset = origin == Origin::Api && matches!(&entry.item, Item::Value(Value::Null));
            if !unset {
                let meant = nearest(form, &entry.key, origin);
                let reason = match meant {
                    Some(field) => format!("is unknown; did you mean `{}`?", name_of(field, origin)),
                    None => "is unknown; see `pearford nomad fields`".into(),
                };
                faults.add(entry.at, &path, reason);
                out.bad.extend(meant.map(kept));
            }
            continue;
        };
        match &entry.item {
            // Not asked for: what clients send for a field that nobody set.
            Item::Value(Value::Null) => {}
            Item::Value(value) if origin == Origin::Api && value.is_unset() && !asks_when_zero(field) => {}
            Item::Bad => {
                out.bad.insert(kept(field));
            }
            _ => take(field, entry, path, origin, &mut out, faults),
        }
    }
    out
}

/// Whether zero, empty or false says something in a field that is honoured.
fn asks_when_zero(field: &Field) -> bool {
    matches!(field.rule, Rule::Honoured(_) | Rule::Only(..))
        && !matches!(field.kind, Kind::Text | Kind::Texts | Kind::Map | Kind::Block(_) | Kind::Blocks(_))
        // The clients fill these in with zeroes beside the one that was meant.
        && !(field.form == "resources" && field.kind == Kind::Whole)
}

fn name_of(field: &Field, origin: Origin) -> &'static str {
    if origin == Origin::File { field.name } else { field.json }
}

/// The field that a misspelt one was probably meant to be.
fn nearest(form: &str, key: &str, origin: Origin) -> Option<&'static Field> {
    let near = fields::of_form(form).map(|f| (distance(name_of(f, origin), key), f));
    let (d, field) = near.filter(|(_, f)| !name_of(f, origin).is_empty()).min_by_key(|(d, _)| *d)?;
    (d <= 2 && d < name_of(field, origin).len()).then_some(field)
}

/// Edits from one name to another, as far as they matter for a hint.
pub(crate) fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(64).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().take(64).enumerate() {
        let mut before = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let change = before + usize::from(!ca.eq_ignore_ascii_case(cb));
            before = row[j + 1];
            row[j + 1] = change.min(before + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

fn take(
    field: &'static Field,
    entry: &Entry,
    path: String,
    origin: Origin,
    out: &mut Section,
    faults: &mut Faults,
) {
    if let Rule::Refused(why, instead) = field.rule {
        let off = match &entry.item {
            Item::Value(value) => value.is_unset() && !matches!(value, Value::Map(_) | Value::List(_)),
            Item::Block(_) | Item::Bad => false,
        };
        if !off {
            faults.add(entry.at, &path, format!("{why}; {instead}"));
            out.bad.insert(kept(field));
        }
        return;
    }
    if field.rule == Rule::Answer {
        return;
    }
    let blocks = |form, faults: &mut Faults| blocks_of(form, entry, &path, origin, faults);
    let bad = |out: &mut Section, faults: &mut Faults, why: String| {
        faults.add(entry.at, &path, why);
        out.bad.insert(kept(field));
    };
    match field.kind {
        Kind::Block(form) => {
            let found = blocks(form, faults);
            let held = out.blocks.entry(kept(field)).or_default();
            if held.len() + found.len() > 1 {
                faults.add(entry.at, &path, "is there more than once");
            }
            held.extend(found);
        }
        Kind::Blocks(form) => {
            let found = blocks(form, faults);
            let held = out.blocks.entry(kept(field)).or_default();
            held.extend(found);
            if held.len() > MAX_BLOCKS {
                faults.add(entry.at, &path, format!("is there more than {MAX_BLOCKS} times"));
                held.truncate(MAX_BLOCKS);
            }
        }
        kind => {
            let value = match &entry.item {
                Item::Value(value) => value.clone(),
                // `meta { a = 1 }` says the same as `meta = { a = 1 }`.
                Item::Block(block) if kind == Kind::Map => map_of(block),
                Item::Block(_) => {
                    return bad(out, faults, format!("is a {}, not a block", field.shown_kind()));
                }
                Item::Bad => return,
            };
            match convert(kind, value).and_then(|v| allowed(field, &v, origin).map(|()| v)) {
                Ok(value) => {
                    out.values.insert(kept(field), (entry.at, value));
                }
                Err(why) => bad(out, faults, why),
            }
        }
    }
}

fn map_of(block: &Block) -> Value {
    let value = |e: &Entry| match &e.item {
        Item::Value(v) => v.clone(),
        Item::Block(b) => map_of(b),
        Item::Bad => Value::Null,
    };
    Value::Map(block.entries.iter().map(|e| (e.key.clone(), value(e))).collect())
}

fn blocks_of(
    form: &'static str,
    entry: &Entry,
    path: &str,
    origin: Origin,
    faults: &mut Faults,
) -> Vec<Section> {
    let mut read = |block: &Block, path: String| section(block, form, path, origin, faults);
    match &entry.item {
        Item::Block(block) => {
            let path = match &block.label {
                Some(label) => format!("{path}[{label}]"),
                None => path.to_string(),
            };
            vec![read(block, path)]
        }
        Item::Value(Value::List(list)) if origin == Origin::Api => {
            let mut out = Vec::new();
            for (i, item) in list.iter().take(MAX_BLOCKS + 1).enumerate() {
                match item {
                    Value::Map(_) => out.push(read(&block_of(item), format!("{path}[{i}]"))),
                    Value::Null => {}
                    other => {
                        let why = format!("must be an object, is {}", other.kind());
                        faults.add(entry.at, &format!("{path}[{i}]"), why);
                        break;
                    }
                }
            }
            out
        }
        // An object of the API, or `config = { ... }` in a file.
        Item::Value(value @ Value::Map(_)) => vec![read(&block_of(value), path.to_string())],
        Item::Value(other) => {
            faults.add(entry.at, path, format!("must be a block, is {}", other.kind()));
            Vec::new()
        }
        Item::Bad => Vec::new(),
    }
}

fn convert(kind: Kind, value: Value) -> Result<Value, String> {
    let wrong = |value: &Value, what: &str| Err(format!("must be {what}, is {}", value.kind()));
    match (kind, value) {
        (Kind::Text, value) => match value {
            Value::Text(_) => Ok(value),
            Value::Whole(_) | Value::Number(_) | Value::Bool(_) => {
                Ok(Value::Text(value.to_text().unwrap_or_default()))
            }
            other => wrong(&other, "a string"),
        },
        (Kind::Whole, Value::Whole(n)) => Ok(Value::Whole(n)),
        (Kind::Whole, Value::Number(n)) if n.fract() == 0.0 && n.abs() < 9e15 => Ok(Value::Whole(n as i64)),
        (Kind::Whole, Value::Number(n)) => Err(format!("must be a whole number, is {n}")),
        (Kind::Whole, Value::Text(t)) => match t.trim().parse() {
            Ok(n) => Ok(Value::Whole(n)),
            Err(_) => Err(format!("must be a whole number, is \"{t}\"")),
        },
        (Kind::Whole, other) => wrong(&other, "a whole number"),
        (Kind::Flag, Value::Bool(b)) => Ok(Value::Bool(b)),
        (Kind::Flag, Value::Text(t)) if t == "true" || t == "false" => Ok(Value::Bool(t == "true")),
        (Kind::Flag, other) => wrong(&other, "true or false"),
        (Kind::Duration, Value::Text(t)) => duration(&t).map(Value::Number),
        (Kind::Duration, other) => match other.as_f64() {
            Some(ns) if ns >= 0.0 && ns.is_finite() => Ok(Value::Number(ns / 1e9)),
            Some(ns) => Err(format!("must be a duration from 0, is {ns}")),
            None => wrong(&other, "a duration like \"30s\""),
        },
        (Kind::Texts, Value::List(list)) => {
            let texts = list.into_iter().map(|v| match v {
                Value::Text(t) => Ok(Value::Text(t)),
                other => wrong(&other, "a list of strings"),
            });
            Ok(Value::List(texts.collect::<Result<_, _>>()?))
        }
        (Kind::Texts, other) => wrong(&other, "a list of strings"),
        (Kind::Map, Value::Map(map)) => {
            let entries = map.into_iter().map(|(k, v)| match v.to_text() {
                Some(text) => Ok((k, Value::Text(text))),
                None => Err(format!("`{k}` must be a string, is {}", v.kind())),
            });
            Ok(Value::Map(entries.collect::<Result<_, _>>()?))
        }
        (Kind::Map, other) => wrong(&other, "a map of strings"),
        (Kind::Any | Kind::Block(_) | Kind::Blocks(_), value) => Ok(value),
    }
}

fn allowed(field: &Field, value: &Value, origin: Origin) -> Result<(), String> {
    let (always, sent, does): (&[Lit], &[Lit], &str) = match field.rule {
        Rule::Only(always, does) => (always, &[], does),
        Rule::Sent(always, sent, does) => (always, sent, does),
        _ => return Ok(()),
    };
    let is = |lits: &[Lit]| lits.iter().any(|l| l.is(value));
    if is(always) || (origin == Origin::Api && is(sent)) {
        return Ok(());
    }
    let shown: Vec<String> = always.iter().map(Lit::shown).collect();
    match shown.is_empty() {
        true => Err(format!("can't be set: {does}; leave it out")),
        false => Err(format!("can only be {}: {does}; write that or leave it out", shown.join(" or "))),
    }
}

/// Seconds of `1h30m`, `90s`, `250ms`.
pub(crate) fn duration(text: &str) -> Result<f64, String> {
    let wrong = || format!("must be a duration like \"30s\" or \"1h30m\", is \"{text}\"");
    let (mut seconds, mut rest) = (0.0, text.trim());
    if rest == "0" {
        return Ok(0.0);
    }
    if rest.is_empty() {
        return Err(wrong());
    }
    while !rest.is_empty() {
        let digits = rest.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(wrong)?;
        let number: f64 = rest[..digits].parse().map_err(|_| wrong())?;
        let unit_ends = rest[digits..].find(|c: char| c.is_ascii_digit()).map_or(rest.len(), |n| digits + n);
        seconds += number
            * match &rest[digits..unit_ends] {
                "ns" => 1e-9,
                "us" | "µs" | "μs" => 1e-6,
                "ms" => 1e-3,
                "s" => 1.0,
                "m" => 60.0,
                "h" => 3600.0,
                _ => return Err(wrong()),
            };
        rest = &rest[unit_ends..];
    }
    if seconds.is_finite() && seconds < 1e9 { Ok(seconds) } else { Err(wrong()) }
}
