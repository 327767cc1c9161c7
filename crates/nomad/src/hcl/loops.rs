//! Loops that make lists and maps: `[for x in list : ...]`, `{for k, v in map : k => v}`.

use super::scope::{Error, ItemNames, Place, Result, Scope, items};
use crate::tree::Value;
use hcl_edit::Span;
use hcl_edit::expr::ForExpr;

/// What one turn of a loop makes.
struct Made {
    /// Of a map's entry; none for a list's element.
    key: Option<String>,
    value: Value,
}

impl Scope {
    pub(super) fn comprehension(&mut self, comprehension: &ForExpr, span: Place) -> Result<Value> {
        let collection = &comprehension.intro.collection_expr;
        let names = ItemNames {
            key: comprehension.intro.key_var.as_ref().map(|name| name.as_str()),
            value: comprehension.intro.value_var.as_str(),
        };
        let mut list: Vec<Value> = Vec::new();
        let mut map: Vec<(String, Value)> = Vec::new();
        let evaluated = self.eval(collection)?;
        for item in items(evaluated, collection.span())? {
            let made = self.with_item(&names, item, |scope| scope.turn(comprehension))?;
            match made {
                None => {}
                Some(Made { key: None, value }) => list.push(value),
                Some(Made { key: Some(key), value }) => {
                    insert(&mut map, key, value, comprehension.grouping, &span)?;
                }
            }
        }
        let value = if comprehension.key_expr.is_some() { Value::Map(map) } else { Value::List(list) };
        self.charged(value, span)
    }

    /// One turn; none if the loop's condition leaves the item out.
    fn turn(&mut self, comprehension: &ForExpr) -> Result<Option<Made>> {
        if let Some(condition) = &comprehension.cond
            && !self.condition(&condition.expr)?
        {
            return Ok(None);
        }
        let key = match &comprehension.key_expr {
            Some(key) => Some(self.map_key(key)?),
            None => None,
        };
        let value = self.eval(&comprehension.value_expr)?;
        Ok(Some(Made { key, value }))
    }
}

/// Adds an entry to a map. Values of the same key are an error, unless the loop groups them as lists.
fn insert(
    map: &mut Vec<(String, Value)>,
    key: String,
    value: Value,
    grouping: bool,
    span: &Place,
) -> Result<()> {
    match map.iter_mut().find(|(known, _)| *known == key) {
        Some((_, Value::List(group))) if grouping => group.push(value),
        Some(_) => return Err(Error::new(span.clone(), format!("makes the key `{key}` twice"))),
        None if grouping => map.push((key, Value::List(vec![value]))),
        None => map.push((key, value)),
    }
    Ok(())
}
