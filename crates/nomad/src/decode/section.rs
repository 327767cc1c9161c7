//! A block whose fields have been read, and its two other forms: the API's JSON, and the canonical one.

use super::stored_name;
use crate::fault::Pos;
use crate::fields::{self, Field, Kind, Rule};
use crate::tree::Value;
use std::collections::{BTreeMap, BTreeSet};

const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Fields that may hold a block's name where it has no label.
const NAME_FIELDS: [&str; 3] = ["ID", "Name", "name"];

/// A field's value and where it stands.
#[derive(Debug, Clone, PartialEq)]
struct FieldValue {
    at: Pos,
    value: Value,
}

/// A block whose fields are read and found good.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Section {
    /// Where the block begins.
    pub at: Pos,
    /// The block from the top: `job.group[web].task[server]`.
    pub path: String,
    /// Its label, if it has one.
    pub label: Option<String>,
    values: BTreeMap<&'static str, FieldValue>,
    blocks: BTreeMap<&'static str, Vec<Section>>,
    /// Fields with faults of their own, of which nothing more need be said.
    bad: BTreeSet<&'static str>,
}

impl Section {
    /// One without fields, in place of a missing block.
    pub(crate) fn empty(at: Pos, path: String) -> Self {
        Self { at, path, ..Self::default() }
    }

    /// The place of a field, or of the block if the field is missing.
    pub fn place(&self, name: &str) -> Pos {
        self.values.get(name).map_or(self.at, |field| field.at)
    }

    /// A field from the top: `job.group[web].count`.
    pub fn path_of(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    /// A field's value.
    pub fn value(&self, name: &str) -> Option<&Value> {
        self.values.get(name).map(|field| &field.value)
    }

    /// A field that holds a string.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.value(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// A field that holds a whole number.
    pub fn whole(&self, name: &str) -> Option<i64> {
        match self.value(name) {
            Some(Value::Whole(number)) => Some(*number),
            _ => None,
        }
    }

    /// A field that holds a bool.
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.value(name) {
            Some(Value::Bool(flag)) => Some(*flag),
            _ => None,
        }
    }

    /// A field that holds a duration, in seconds.
    pub fn seconds(&self, name: &str) -> Option<f64> {
        match self.value(name) {
            Some(Value::Number(seconds)) => Some(*seconds),
            _ => None,
        }
    }

    /// A field that holds a list of strings.
    pub fn texts(&self, name: &str) -> Option<Vec<&str>> {
        let Some(Value::List(elements)) = self.value(name) else { return None };
        let texts = elements.iter().filter_map(|element| match element {
            Value::Text(text) => Some(text.as_str()),
            _ => None,
        });
        Some(texts.collect())
    }

    /// Names and strings of a field that holds a map; empty if it is missing.
    pub fn map(&self, name: &str) -> &[(String, Value)] {
        match self.value(name) {
            Some(Value::Map(map)) => map,
            _ => &[],
        }
    }

    /// The blocks of a name, in the order in which they stand.
    pub fn blocks(&self, name: &str) -> &[Section] {
        self.blocks.get(name).map_or(&[], Vec::as_slice)
    }

    /// The first block of a name.
    pub fn block(&self, name: &str) -> Option<&Section> {
        self.blocks(name).first()
    }

    /// Whether any field has a fault.
    pub fn has_bad(&self) -> bool {
        !self.bad.is_empty()
    }

    /// Whether a fault of the field is known already.
    pub fn is_bad(&self, name: &str) -> bool {
        self.bad.contains(name)
    }

    /// Marks a field of which nothing more need be said.
    pub(super) fn mark_bad(&mut self, name: &'static str) {
        self.bad.insert(name);
    }

    /// Marks fields of which nothing more need be said.
    pub(crate) fn bad_all(&mut self, names: &[&'static str]) {
        self.bad.extend(names);
    }

    /// Sets a field; a later value replaces an earlier one.
    pub(super) fn set(&mut self, name: &'static str, at: Pos, value: Value) {
        self.values.insert(name, FieldValue { at, value });
    }

    /// The blocks of a name, to add to.
    pub(super) fn blocks_mut(&mut self, name: &'static str) -> &mut Vec<Section> {
        self.blocks.entry(name).or_default()
    }

    /// Sets a field that was left out.
    pub(crate) fn default_text(&mut self, name: &'static str, value: &str) {
        if !self.is_bad(name) {
            let at = self.at;
            self.values.entry(name).or_insert_with(|| FieldValue { at, value: Value::Text(value.into()) });
        }
    }

    /// As clients send it to the API. `form` is the block's form in the table of fields.
    pub fn to_api(&self, form: &str) -> serde_json::Value {
        let mut out = serde_json::Map::new();
        for field in fields::of_form(form).filter(|field| !field.json.is_empty()) {
            if let Some(value) = self.field_to_api(field) {
                out.insert(field.json.into(), value);
            }
        }
        if let Some(label) = &self.label {
            let keys: &[&str] = if form == "job" { &["ID", "Name"] } else { &["Name"] };
            for key in keys {
                out.insert((*key).into(), label.as_str().into());
            }
        }
        serde_json::Value::Object(out)
    }

    fn field_to_api(&self, field: &Field) -> Option<serde_json::Value> {
        let name = stored_name(field);
        match field.kind {
            Kind::Block(form) => self.block(name).map(|block| block.to_api(form)),
            Kind::Blocks(form) => {
                let blocks = self.blocks(name);
                (!blocks.is_empty()).then(|| blocks.iter().map(|block| block.to_api(form)).collect())
            }
            Kind::Duration => {
                let seconds = self.seconds(name)?;
                Some(((seconds * NANOSECONDS_PER_SECOND).round() as u64).into())
            }
            _ => self.value(name).map(Value::to_json),
        }
    }

    /// The same for two jobs that request the same, however they are written: without what is at its default, and
    /// without what changes nothing. Versions' digests are made of it, so it must stay as it is.
    pub fn canonical(&self, form: &str) -> serde_json::Value {
        let mut out = serde_json::Map::new();
        for (name, field) in &self.values {
            if !NAME_FIELDS.contains(name) && is_significant(form, name, &field.value) {
                out.insert((*name).into(), field.value.to_json());
            }
        }
        let name = self.label.as_deref().or_else(|| NAME_FIELDS.iter().find_map(|field| self.text(field)));
        if let Some(name) = name {
            out.insert("(label)".into(), name.into());
        }
        for (name, blocks) in &self.blocks {
            let Some(form) = form_of_block(form, name) else { continue };
            let mut canonical: Vec<serde_json::Value> =
                blocks.iter().map(|block| block.canonical(form)).collect();
            canonical.retain(|block| block.as_object().is_none_or(|block| !block.is_empty()));
            // `spread` has its meaning by being there.
            if !canonical.is_empty() || (form == "spread" && !blocks.is_empty()) {
                out.insert((*name).into(), canonical.into());
            }
        }
        serde_json::Value::Object(out)
    }
}

/// Whether a value changes what is requested.
fn is_significant(form: &str, name: &str, value: &Value) -> bool {
    let field = fields::of_form(form).find(|field| stored_name(field) == name);
    let honoured = field.is_some_and(|field| matches!(field.rule, Rule::Honoured(_)));
    honoured && !value.is_unset() && !fields::is_default(form, name, value)
}

/// The form of the blocks that a field holds; none if it holds none.
fn form_of_block(form: &str, name: &str) -> Option<&'static str> {
    let field = fields::of_form(form).find(|field| stored_name(field) == name)?;
    match field.kind {
        Kind::Block(form) | Kind::Blocks(form) => Some(form),
        _ => None,
    }
}
