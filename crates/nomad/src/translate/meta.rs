//! `meta`: keys under pearford's prefix say what Nomad has no fields for.

use super::{MAX_AMOUNT, Translator};
use crate::decode::{Section, distance};
use crate::fields::{META, META_FIELDS, MetaField, MetaKind};
use crate::tree::Value;
use pearford_scheduler::wire::users;
use std::collections::{BTreeMap, BTreeSet};

/// Edits between an unknown name and the known one that is suggested for it, at most.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// Values of `meta` under the prefix, by their names without it.
#[derive(Debug, Default)]
pub struct Meta {
    good: BTreeMap<&'static str, String>,
    /// Names whose values have faults, of which nothing more need be said.
    bad: BTreeSet<&'static str>,
}

impl Meta {
    /// A value, if it was given and is valid.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.good.get(name).map(String::as_str)
    }

    /// Whether a flag is set.
    pub fn flag(&self, name: &str) -> bool {
        self.text(name) == Some("true")
    }

    /// A number, in the unit that its name says.
    pub fn amount(&self, name: &str) -> Option<f64> {
        self.text(name).and_then(|text| text.trim().parse().ok())
    }

    /// Names separated by commas.
    pub fn names(&self, name: &str) -> impl Iterator<Item = &str> {
        let parts = self.text(name).into_iter().flat_map(|text| text.split(','));
        parts.map(str::trim).filter(|part| !part.is_empty())
    }

    /// Whether a fault of the value is noted already.
    pub fn is_bad(&self, name: &str) -> bool {
        self.bad.contains(name)
    }
}

/// Why a key is unknown.
struct UnknownKey {
    reason: String,
    /// The name that was probably meant.
    meant: Option<&'static str>,
}

impl Translator<'_> {
    /// Reads `meta` of the job, the group and the task, of which a later one replaces an earlier one's values.
    pub(super) fn meta(&mut self, sections: [&Section; 3]) -> Meta {
        let mut meta = Meta::default();
        for section in sections {
            for (key, value) in section.map("meta") {
                if let Value::Text(value) = value {
                    self.meta_entry(section, key, value, &mut meta);
                }
            }
        }
        meta
    }

    fn meta_entry(&mut self, section: &Section, key: &str, value: &str, meta: &mut Meta) {
        let place = section.place("meta");
        let path = section.path_of(&format!("meta.{key}"));
        let Some(field) = field_of(key) else {
            let UnknownKey { reason, meant } = unknown_key(key);
            self.faults.add(place, &path, reason);
            meta.bad.extend(meant);
            return;
        };
        match check(field, value) {
            Ok(()) => {
                meta.good.insert(field.name, value.to_string());
            }
            Err(reason) => {
                self.faults.add(place, &path, reason);
                meta.bad.insert(field.name);
            }
        }
    }
}

fn field_of(key: &str) -> Option<&'static MetaField> {
    let name = key.strip_prefix(META)?;
    META_FIELDS.iter().find(|field| field.name == name)
}

fn unknown_key(key: &str) -> UnknownKey {
    let Some(name) = key.strip_prefix(META) else {
        let reason = format!("pearford hands tasks no meta; only keys that begin with {META} mean something");
        return UnknownKey { reason, meant: None };
    };
    let nearest = META_FIELDS.iter().map(|field| (distance(field.name, name), field.name)).min();
    match nearest {
        Some((edits, near)) if edits <= MAX_SUGGESTION_DISTANCE => {
            UnknownKey { reason: format!("is unknown; did you mean `{META}{near}`?"), meant: Some(near) }
        }
        _ => UnknownKey { reason: "is unknown; see `pearford nomad fields`".into(), meant: None },
    }
}

/// Checks a value; the error is the reason why it is refused.
fn check(field: &MetaField, value: &str) -> Result<(), String> {
    match field.kind {
        MetaKind::Text if value.is_empty() => Err("must not be empty".into()),
        MetaKind::Text => Ok(()),
        MetaKind::Flag if value == "true" || value == "false" => Ok(()),
        MetaKind::Flag => Err(format!("must be true or false, is \"{value}\"")),
        MetaKind::Amount => match value.trim().parse::<f64>() {
            Ok(amount) if amount == 0.0 && field.name == "due_s" => Err("must be above 0".into()),
            Ok(amount) if amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount) => Ok(()),
            _ => Err(format!("must be a number from 0 to {MAX_AMOUNT}, is \"{value}\"")),
        },
        MetaKind::Names => match value.split(',').map(str::trim).find(|name| users::job_id(name).is_none()) {
            Some(bad) => Err(format!("`{bad}` is no id of a native job; those look like req-000412")),
            None => Ok(()),
        },
    }
}
