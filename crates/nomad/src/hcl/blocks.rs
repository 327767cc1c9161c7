//! Blocks with all expressions in them evaluated, `dynamic` ones written out.

use super::Places;
use super::scope::{Item as LoopItem, Place, Scope, items};
use crate::fault::Faults;
use crate::tree::{Block, Entry, Item, Value};
use hcl_edit::Span;
use hcl_edit::structure::{Attribute, Block as HclBlock, Structure};

/// What a `dynamic` block may say besides its `content`.
const DYNAMIC_ATTRIBUTES: [&str; 3] = ["for_each", "iterator", "labels"];

/// Reads blocks in a scope and collects their faults.
pub struct BlockReader<'a> {
    /// Finds lines and columns.
    pub places: &'a Places,
    /// The names in force.
    pub scope: &'a mut Scope,
    /// Takes the faults.
    pub faults: &'a mut Faults,
}

impl BlockReader<'_> {
    /// Notes a fault at a place.
    pub fn fault(&mut self, span: Place, path: &str, reason: impl Into<String>) {
        self.faults.add(self.places.at(span), path, reason);
    }

    /// Reads a block; `path` names it from the top.
    pub fn block(&mut self, block: &HclBlock, path: &str) -> Block {
        let at = self.places.at(block.span());
        if block.labels.len() > 1 {
            self.faults.add(at, path, "has more than one label");
        }
        let label = block.labels.first().map(|label| label.as_str().to_string());
        let mut out = Block { at, label, entries: Vec::new() };
        for structure in &block.body {
            match structure {
                Structure::Attribute(attribute) => self.attribute(attribute, path, &mut out.entries),
                Structure::Block(inner) if inner.ident.as_str() == "dynamic" => {
                    self.dynamic(inner, path, &mut out.entries);
                }
                Structure::Block(inner) => {
                    let key = inner.ident.as_str();
                    let label = inner.labels.first().map(|label| format!("[{}]", label.as_str()));
                    let path = format!("{path}.{key}{}", label.unwrap_or_default());
                    let inner = self.block(inner, &path);
                    out.entries.push(Entry { key: key.into(), at: inner.at, item: Item::Block(inner) });
                }
            }
        }
        out
    }

    fn attribute(&mut self, attribute: &Attribute, path: &str, entries: &mut Vec<Entry>) {
        let key = attribute.key.as_str();
        let path = format!("{path}.{key}");
        if entries.iter().any(|entry| entry.key == key) {
            return self.fault(attribute.span(), &path, "is there twice");
        }
        let entry = match self.scope.eval(&attribute.value) {
            Ok(value) => {
                Entry { key: key.into(), at: self.places.at(attribute.span()), item: Item::Value(value) }
            }
            Err(error) => {
                let at = self.places.at(error.span.or_else(|| attribute.span()));
                self.faults.add(at, &path, error.reason);
                Entry { key: key.into(), at, item: Item::Bad }
            }
        };
        entries.push(entry);
    }

    /// Writes out `dynamic "constraint" { for_each = ... content { ... } }`.
    fn dynamic(&mut self, block: &HclBlock, path: &str, entries: &mut Vec<Entry>) {
        let Some(key) = block.labels.first().map(|label| label.as_str().to_string()) else {
            return self.fault(block.span(), path, "`dynamic` needs the label of the block that it makes");
        };
        let path = format!("{path}.{key}");
        let mut attributes = block.body.attributes();
        if let Some(unknown) =
            attributes.find(|attribute| !DYNAMIC_ATTRIBUTES.contains(&attribute.key.as_str()))
        {
            let reason = "`dynamic` takes `for_each`, `iterator` and `labels`";
            return self.fault(unknown.span(), &path, reason);
        }
        let each = block.body.get_attribute("for_each");
        let content = block.body.get_blocks("content").next();
        let (Some(each), Some(content)) = (each, content) else {
            return self.fault(block.span(), &path, "`dynamic` needs `for_each` and a `content` block");
        };
        let iterator = match block.body.get_attribute("iterator") {
            Some(attribute) => attribute.value.to_string().trim().to_string(),
            None => key.clone(),
        };
        let items = match self.scope.eval(&each.value).and_then(|value| items(value, each.value.span())) {
            Ok(items) => items,
            Err(error) => return self.fault(error.span.or_else(|| each.span()), &path, error.reason),
        };
        let at = self.places.at(block.span());
        for LoopItem { key: item_key, value } in items {
            self.scope.push(&iterator, Value::Map(vec![("key".into(), item_key), ("value".into(), value)]));
            let made = self.dynamic_content(block, content, &path);
            self.scope.pop();
            entries.push(Entry { key: key.clone(), at, item: Item::Block(made) });
            if !self.faults.is_empty() {
                return;
            }
        }
    }

    /// One of the blocks that a `dynamic` block makes, with the label that `labels` gives it.
    fn dynamic_content(&mut self, block: &HclBlock, content: &HclBlock, path: &str) -> Block {
        let labels = block.body.get_attribute("labels").map(|attribute| self.scope.eval(&attribute.value));
        let mut made = self.block(content, path);
        match labels {
            None => {}
            Some(Ok(Value::List(labels))) => made.label = labels.first().and_then(Value::to_text),
            Some(Ok(_)) => self.fault(block.span(), path, "`labels` must be a list of strings"),
            Some(Err(error)) => self.fault(block.span(), path, error.reason),
        }
        made
    }
}
