//! Files and API bodies, read by the table of `fields`: every field found is honoured, or is what pearford does
//! anyway, or is a fault. Nothing is dropped.

mod section;
mod suggestion;
mod values;

pub use section::Section;
pub(crate) use suggestion::distance;
pub(crate) use values::duration;

use crate::fault::{Faults, Pos};
use crate::fields::{self, Field, Kind, Rule};
use crate::tree::{Block, Entry, Item, Value};
use suggestion::nearest;
use values::{check_allowed, convert};

/// The most bytes of a label.
const MAX_LABEL_BYTES: usize = 512;
/// The most blocks of one name in a block.
const MAX_BLOCKS: usize = 256;

/// Where a job comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Somebody wrote what is there.
    File,
    /// A client may have filled in defaults.
    Api,
}

/// Reads a job file's `job` block. What has faults is left out, and marked.
pub fn file(block: &Block, faults: &mut Faults) -> Section {
    Reader { origin: Origin::File, faults }.section(block, "job", "job".into())
}

/// Reads a job as the API has it. What has faults is left out, and marked.
pub fn api(value: &serde_json::Value, faults: &mut Faults) -> Section {
    if !value.is_object() {
        faults.add(Pos::default(), "Job", "must be an object");
        return Section::empty(Pos::default(), "Job".into());
    }
    Reader { origin: Origin::Api, faults }.section(&block_of(&Value::from_json(value)), "job", "Job".into())
}

/// An API object as a block: which of its members are blocks, the table says.
fn block_of(value: &Value) -> Block {
    let Value::Map(members) = value else { return Block::default() };
    let entries = members.iter().map(|(key, value)| Entry {
        key: key.clone(),
        at: Pos::default(),
        item: Item::Value(value.clone()),
    });
    Block { entries: entries.collect(), ..Block::default() }
}

/// A block as the map that it stands for: `meta { a = 1 }` is `meta = { a = 1 }`.
fn map_of(block: &Block) -> Value {
    let entries = block.entries.iter().map(|entry| {
        let value = match &entry.item {
            Item::Value(value) => value.clone(),
            Item::Block(block) => map_of(block),
            Item::Bad => Value::Null,
        };
        (entry.key.clone(), value)
    });
    Value::Map(entries.collect())
}

fn find(form: &str, key: &str, origin: Origin) -> Option<&'static Field> {
    fields::of_form(form).find(|field| match origin {
        Origin::File => !field.name.is_empty() && field.name == key,
        Origin::Api => !field.json.is_empty() && field.json.eq_ignore_ascii_case(key),
    })
}

/// The name by which a section has a field: its name in files, or in the API if it has none there.
fn stored_name(field: &Field) -> &'static str {
    if field.name.is_empty() { field.json } else { field.name }
}

fn name_of(field: &Field, origin: Origin) -> &'static str {
    match origin {
        Origin::File => field.name,
        Origin::Api => field.json,
    }
}

/// Whether zero, empty or false requests something in a field that is honoured.
fn requests_when_zero(field: &Field) -> bool {
    matches!(field.rule, Rule::Honoured(_) | Rule::Only(..))
        && !matches!(field.kind, Kind::Text | Kind::Texts | Kind::Map | Kind::Block(_) | Kind::Blocks(_))
        // The clients fill these in with zeroes beside the one that was meant.
        && !(field.form == "resources" && field.kind == Kind::Whole)
}

/// Whether a refused field is given a value that turns off what is refused.
fn turns_off(item: &Item) -> bool {
    match item {
        Item::Value(value) => value.is_unset() && !matches!(value, Value::Map(_) | Value::List(_)),
        Item::Block(_) | Item::Bad => false,
    }
}

/// Reads blocks and collects their faults.
struct Reader<'a> {
    origin: Origin,
    faults: &'a mut Faults,
}

impl Reader<'_> {
    /// Reads a block of a form.
    fn section(&mut self, block: &Block, form: &str, path: String) -> Section {
        let mut section = Section::empty(block.at, path);
        section.label.clone_from(&block.label);
        if block.label.as_ref().is_some_and(|label| label.is_empty() || label.len() > MAX_LABEL_BYTES) {
            let reason = format!("its label must have 1 to {MAX_LABEL_BYTES} bytes");
            self.faults.add(block.at, &section.path, reason);
        }
        for entry in &block.entries {
            match find(form, &entry.key, self.origin) {
                Some(field) => self.entry(field, entry, &mut section),
                None => self.unknown(form, entry, &mut section),
            }
        }
        section
    }

    /// Notes a fault of an entry that the table does not have.
    fn unknown(&mut self, form: &str, entry: &Entry, section: &mut Section) {
        if self.origin == Origin::Api && matches!(&entry.item, Item::Value(Value::Null)) {
            return;
        }
        let meant = nearest(form, &entry.key, self.origin);
        let reason = match meant {
            Some(field) => format!("is unknown; did you mean `{}`?", name_of(field, self.origin)),
            None => "is unknown; see `pearford nomad fields`".into(),
        };
        self.faults.add(entry.at, &section.path_of(&entry.key), reason);
        if let Some(field) = meant {
            section.mark_bad(stored_name(field));
        }
    }

    /// Reads a field.
    fn entry(&mut self, field: &'static Field, entry: &Entry, section: &mut Section) {
        match &entry.item {
            // Not requested: what clients send for a field that nobody set.
            Item::Value(Value::Null) => return,
            Item::Value(value)
                if self.origin == Origin::Api && value.is_unset() && !requests_when_zero(field) =>
            {
                return;
            }
            Item::Bad => return section.mark_bad(stored_name(field)),
            Item::Value(_) | Item::Block(_) => {}
        }
        match field.rule {
            Rule::Refused(reason, remedy) => {
                if !turns_off(&entry.item) {
                    self.bad_field(field, entry, section, format!("{reason}; {remedy}"));
                }
            }
            Rule::Answer => {}
            _ => match field.kind {
                Kind::Block(form) => self.single_block(field, form, entry, section),
                Kind::Blocks(form) => self.several_blocks(field, form, entry, section),
                _ => self.value(field, entry, section),
            },
        }
    }

    fn bad_field(&mut self, field: &Field, entry: &Entry, section: &mut Section, reason: String) {
        self.faults.add(entry.at, &section.path_of(&entry.key), reason);
        section.mark_bad(stored_name(field));
    }

    fn single_block(&mut self, field: &Field, form: &'static str, entry: &Entry, section: &mut Section) {
        let path = section.path_of(&entry.key);
        let found = self.blocks(form, entry, &path);
        let blocks = section.blocks_mut(stored_name(field));
        if blocks.len() + found.len() > 1 {
            self.faults.add(entry.at, &path, "is there more than once");
        }
        blocks.extend(found);
    }

    fn several_blocks(&mut self, field: &Field, form: &'static str, entry: &Entry, section: &mut Section) {
        let path = section.path_of(&entry.key);
        let found = self.blocks(form, entry, &path);
        let blocks = section.blocks_mut(stored_name(field));
        blocks.extend(found);
        if blocks.len() > MAX_BLOCKS {
            self.faults.add(entry.at, &path, format!("is there more than {MAX_BLOCKS} times"));
            blocks.truncate(MAX_BLOCKS);
        }
    }

    fn value(&mut self, field: &Field, entry: &Entry, section: &mut Section) {
        let value = match &entry.item {
            Item::Value(value) => value.clone(),
            Item::Block(block) if field.kind == Kind::Map => map_of(block),
            Item::Block(_) => {
                let reason = format!("is a {}, not a block", field.shown_kind());
                return self.bad_field(field, entry, section, reason);
            }
            Item::Bad => return,
        };
        let checked = convert(field.kind, value)
            .and_then(|value| check_allowed(field, &value, self.origin).map(|()| value));
        match checked {
            Ok(value) => section.set(stored_name(field), entry.at, value),
            Err(reason) => self.bad_field(field, entry, section, reason),
        }
    }

    /// The blocks that an entry holds.
    fn blocks(&mut self, form: &'static str, entry: &Entry, path: &str) -> Vec<Section> {
        match &entry.item {
            Item::Block(block) => {
                let path = match &block.label {
                    Some(label) => format!("{path}[{label}]"),
                    None => path.to_string(),
                };
                vec![self.section(block, form, path)]
            }
            Item::Value(Value::List(objects)) if self.origin == Origin::Api => {
                self.objects(form, objects, entry, path)
            }
            // An object of the API, or `config = { ... }` in a file.
            Item::Value(object @ Value::Map(_)) => {
                vec![self.section(&block_of(object), form, path.to_string())]
            }
            Item::Value(other) => {
                self.faults.add(entry.at, path, format!("must be a block, is {}", other.kind()));
                Vec::new()
            }
            Item::Bad => Vec::new(),
        }
    }

    /// The blocks of a list of objects in the API, up to the first element that is none.
    fn objects(&mut self, form: &'static str, objects: &[Value], entry: &Entry, path: &str) -> Vec<Section> {
        let mut sections = Vec::new();
        for (index, object) in objects.iter().take(MAX_BLOCKS + 1).enumerate() {
            let path = format!("{path}[{index}]");
            match object {
                Value::Map(_) => sections.push(self.section(&block_of(object), form, path)),
                Value::Null => {}
                other => {
                    let reason = format!("must be an object, is {}", other.kind());
                    self.faults.add(entry.at, &path, reason);
                    break;
                }
            }
        }
        sections
    }
}
