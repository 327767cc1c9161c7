//! Values as files and API bodies hold them, each with its place in the text.

use crate::fault::Pos;

/// A value of either form.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Nothing.
    Null,
    /// True or false.
    Bool(bool),
    /// A whole number that fits, exactly.
    Whole(i64),
    /// Any other number.
    Number(f64),
    /// A string.
    Text(String),
    /// A list, whose elements may be of different types.
    List(Vec<Value>),
    /// Keys and values, in the order written.
    Map(Vec<(String, Value)>),
}

impl Value {
    /// What a message calls it.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Bool(_) => "a bool",
            Value::Whole(_) | Value::Number(_) => "a number",
            Value::Text(_) => "a string",
            Value::List(_) => "a list",
            Value::Map(_) => "a map",
        }
    }

    /// What clients send for a field that nobody set.
    pub fn is_unset(&self) -> bool {
        match self {
            Value::Null => true,
            Value::Bool(b) => !b,
            Value::Whole(n) => *n == 0,
            Value::Number(n) => *n == 0.0,
            Value::Text(t) => t.is_empty(),
            Value::List(l) => l.is_empty(),
            Value::Map(m) => m.iter().all(|(_, v)| v.is_unset()),
        }
    }

    /// A number, whole or not.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Value::Whole(n) => Some(*n as f64),
            Value::Number(n) => Some(*n),
            _ => None,
        }
    }

    /// A map's value by its key.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Map(entries) => entries.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    /// As a string, where the language converts to one.
    pub fn to_text(&self) -> Option<String> {
        match self {
            Value::Text(t) => Some(t.clone()),
            Value::Bool(b) => Some(b.to_string()),
            Value::Whole(n) => Some(n.to_string()),
            Value::Number(n) => Some(n.to_string()),
            _ => None,
        }
    }

    /// The value that JSON stands for; whole numbers that don't fit become floating-point ones.
    pub fn from_json(value: &serde_json::Value) -> Value {
        use serde_json::Value as Json;
        match value {
            Json::Null => Value::Null,
            Json::Bool(b) => Value::Bool(*b),
            Json::Number(n) => match n.as_i64() {
                Some(n) => Value::Whole(n),
                None => Value::Number(n.as_f64().unwrap_or(f64::NAN)),
            },
            Json::String(s) => Value::Text(s.clone()),
            Json::Array(a) => Value::List(a.iter().map(Value::from_json).collect()),
            Json::Object(o) => Value::Map(o.iter().map(|(k, v)| (k.clone(), Value::from_json(v))).collect()),
        }
    }

    /// The value as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        use serde_json::Value as Json;
        match self {
            Value::Null => Json::Null,
            Value::Bool(b) => (*b).into(),
            Value::Whole(n) => (*n).into(),
            Value::Number(n) => (*n).into(),
            Value::Text(t) => t.clone().into(),
            Value::List(l) => l.iter().map(Value::to_json).collect(),
            Value::Map(m) => Json::Object(m.iter().map(|(k, v)| (k.clone(), v.to_json())).collect()),
        }
    }
}

/// A block with its label, or an object of the API.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Block {
    /// Where it begins.
    pub at: Pos,
    /// Its label, if it has one.
    pub label: Option<String>,
    /// What it holds, in the order written.
    pub entries: Vec<Entry>,
}

/// A name in a block with what it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The name.
    pub key: String,
    /// Where it stands.
    pub at: Pos,
    /// What it holds.
    pub item: Item,
}

/// What a name in a block holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// A value.
    Value(Value),
    /// A block.
    Block(Block),
    /// Could not be evaluated; the fault is known already.
    Bad,
}
