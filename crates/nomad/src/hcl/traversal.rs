//! Traversals: attributes, indices and splats of a value.

use super::scope::{Error, Place, Result, Scope};
use crate::tree::Value;
use hcl_edit::expr::{Expression, Traversal, TraversalOperator};
use hcl_edit::{Decorated, Span};

impl Scope {
    pub(super) fn traversal(&mut self, traversal: &Traversal, span: Place) -> Result<Value> {
        if let Expression::Variable(root) = &traversal.expr
            && is_runtime(root.as_str())
            && self.find(root.as_str()).is_none()
        {
            return runtime_reference(root.as_str(), traversal, span);
        }
        let operators: Vec<&TraversalOperator> = traversal.operators.iter().map(Decorated::value).collect();
        let mut operators = operators.as_slice();
        let mut value = match &traversal.expr {
            Expression::Variable(root) if self.find(root.as_str()).is_some() => {
                self.reached(root.as_str(), &mut operators)
            }
            other => self.eval(other)?,
        };
        while let [operator, rest @ ..] = operators {
            self.step(&span)?;
            operators = rest;
            value = match operator {
                TraversalOperator::GetAttr(name) => attribute(value, name.as_str(), &span)?,
                TraversalOperator::Index(index) => {
                    let evaluated = self.eval(index)?;
                    element(value, &evaluated, index.span())?
                }
                TraversalOperator::LegacyIndex(index) => {
                    element(value, &Value::Whole(*index.value() as i64), span.clone())?
                }
                TraversalOperator::AttrSplat(_) | TraversalOperator::FullSplat(_) => {
                    operators = &[];
                    self.splat(value, rest, &span)?
                }
            };
        }
        self.charged(value, span)
    }

    /// Goes by attributes from a name in force as far as they are there, and takes those operators off. Goes by
    /// reference, so that only what is reached is copied.
    fn reached(&self, root: &str, operators: &mut &[&TraversalOperator]) -> Value {
        let mut reached = self.find(root).unwrap_or(&Value::Null);
        while let [TraversalOperator::GetAttr(name), rest @ ..] = *operators
            && let Some(inner) = reached.get(name.as_str())
        {
            reached = inner;
            *operators = rest;
        }
        reached.clone()
    }

    /// Applies the operators that follow a splat to each element; a value that is no list is its own element.
    fn splat(&mut self, value: Value, operators: &[&TraversalOperator], span: &Place) -> Result<Value> {
        let elements = match value {
            Value::List(elements) => elements,
            Value::Null => Vec::new(),
            other => vec![other],
        };
        let mut out = Vec::new();
        for mut value in elements {
            for operator in operators {
                self.step(span)?;
                value = match operator {
                    TraversalOperator::GetAttr(name) => attribute(value, name.as_str(), span)?,
                    TraversalOperator::Index(index) => {
                        let index = self.eval(index)?;
                        element(value, &index, span.clone())?
                    }
                    _ => return Err(Error::new(span.clone(), "one `*` is all that can be used here")),
                };
            }
            out.push(value);
        }
        Ok(Value::List(out))
    }
}

/// Names that Nomad's clients fill in on the machine.
fn is_runtime(name: &str) -> bool {
    matches!(name, "node" | "attr" | "meta" | "env" | "unique" | "device" | "NOMAD_META")
}

/// A reference that is filled in when a task starts stays as it is written: `${node.class}`.
fn runtime_reference(root: &str, traversal: &Traversal, span: Place) -> Result<Value> {
    let mut text = root.to_string();
    for operator in &traversal.operators {
        let TraversalOperator::GetAttr(name) = operator.value() else {
            return Err(Error::new(span, format!("`{text}` can only be followed by names")));
        };
        text.push('.');
        text.push_str(name.as_str());
    }
    Ok(Value::Text(format!("${{{text}}}")))
}

fn attribute(value: Value, name: &str, span: &Place) -> Result<Value> {
    match value {
        Value::Map(map) => match map.into_iter().find(|(key, _)| key == name) {
            Some((_, value)) => Ok(value),
            None => Err(Error::new(span.clone(), format!("there is no `{name}`"))),
        },
        other => Err(Error::new(span.clone(), format!("{} has no `{name}`", other.kind()))),
    }
}

fn element(value: Value, index: &Value, span: Place) -> Result<Value> {
    match (value, index) {
        (Value::List(mut list), Value::Whole(number)) => match usize::try_from(*number) {
            Ok(index) if index < list.len() => Ok(list.swap_remove(index)),
            _ => Err(Error::new(span, format!("the list has {} elements, none at {number}", list.len()))),
        },
        (value @ Value::Map(_), Value::Text(key)) => attribute(value, key, &span),
        (value, index) => {
            Err(Error::new(span, format!("{} can't be indexed by {}", value.kind(), index.kind())))
        }
    }
}
