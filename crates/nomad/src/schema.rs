//! The table as a JSON schema of the jobs that the API takes.

use crate::fields::{self, Field, Kind, Lit, META, META_FIELDS, MetaKind, Rule};
use serde_json::{Map, Value, json};

fn literal(lit: &Lit) -> Value {
    match lit {
        Lit::Text(t) => json!(t),
        Lit::Whole(n) => json!(n),
        Lit::Flag(b) => json!(b),
        Lit::Duration(s) => json!((s * 1e9) as u64),
    }
}

fn member(field: &Field) -> Value {
    let (_, says) = field.says();
    let mut schema = match field.rule {
        Rule::Only(values, _) => {
            json!({"enum": values.iter().map(literal).chain([Value::Null]).collect::<Vec<_>>()})
        }
        Rule::Sent(always, sent, _) => {
            json!({"enum": always.iter().chain(sent).map(literal).chain([Value::Null]).collect::<Vec<_>>()})
        }
        Rule::Refused(..) => json!({"enum": [null, "", 0, false, [], {}]}),
        Rule::Answer => json!({}),
        Rule::Honoured(_) => match field.kind {
            Kind::Text => json!({"type": ["string", "null"]}),
            Kind::Whole | Kind::Duration => json!({"type": ["integer", "null"]}),
            Kind::Flag => json!({"type": ["boolean", "null"]}),
            Kind::Texts => json!({"type": ["array", "null"], "items": {"type": "string"}}),
            Kind::Map if field.json == "Meta" => meta(),
            Kind::Map => json!({"type": ["object", "null"], "additionalProperties": {"type": "string"}}),
            Kind::Block(form) => json!({"anyOf": [{"$ref": format!("#/$defs/{form}")}, {"type": "null"}]}),
            Kind::Blocks(form) => {
                json!({"type": ["array", "null"], "items": {"$ref": format!("#/$defs/{form}")}})
            }
            Kind::Any => json!({}),
        },
    };
    if let Some(map) = schema.as_object_mut() {
        map.insert("description".into(), says.into());
    }
    schema
}

fn meta() -> Value {
    let keys = META_FIELDS.iter().map(|m| {
        let pattern = match m.kind {
            MetaKind::Flag => json!({"enum": ["true", "false"], "description": m.says}),
            _ => json!({"type": "string", "description": m.says}),
        };
        (format!("{META}{}", m.name), pattern)
    });
    json!({"type": ["object", "null"], "additionalProperties": false, "properties": Value::Object(keys.collect())})
}

fn form(name: &str) -> Value {
    let members: Map<String, Value> = fields::of_form(name)
        .filter(|f| !f.json.is_empty())
        .map(|f| (f.json.to_string(), member(f)))
        .collect();
    json!({"type": "object", "additionalProperties": false, "properties": members})
}

/// The schema of `Job` (JSON Schema 2020-12).
pub fn job() -> Value {
    let forms: std::collections::BTreeSet<&str> = fields::FIELDS.iter().map(|f| f.form).collect();
    let defs: Map<String, Value> =
        forms.into_iter().filter(|f| *f != "job").map(|f| (f.to_string(), form(f))).collect();
    let mut schema = schemars::json_schema!({"$schema": "https://json-schema.org/draft/2020-12/schema"});
    if let Value::Object(root) = form("job") {
        root.into_iter().for_each(|(key, value)| {
            schema.insert(key, value);
        });
    }
    schema.insert("$defs".into(), Value::Object(defs));
    schema.to_value()
}
