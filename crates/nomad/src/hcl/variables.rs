//! `variable` and `locals`, and what is assigned from outside.

use super::scope::{Budget, Scope};
use super::{Places, parse};
use crate::fault::{Fault, Faults, Pos};
use crate::tree::Value;
use hcl_edit::Span;
use hcl_edit::expr::{Expression, Traversal, TraversalOperator};
use hcl_edit::structure::{Block, Body};
use std::collections::BTreeSet;

/// A variable's value from the command line or the API.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The variable.
    pub name: String,
    /// As typed (`-var k=v`): a string, or an expression where the variable's type is not a string.
    /// Else evaluated already, from a file.
    pub value: Result<Value, String>,
}

impl Assignment {
    /// `k=v`
    pub fn typed(text: &str) -> Option<Self> {
        let (name, value) = text.split_once('=')?;
        Some(Self { name: name.trim().into(), value: Err(value.into()) })
    }
}

/// Reads a file of assignments (`-var-file`).
pub fn read_assignments(text: &str, budget: Budget) -> Result<Vec<Assignment>, Vec<Fault>> {
    let body = parse(text)?;
    let places = Places::of(text);
    let (mut faults, mut scope, mut out) = (Faults::default(), Scope::new(budget), Vec::new());
    for block in body.blocks() {
        faults.add(
            places.at(block.span()),
            block.ident.as_str(),
            "a file of variables holds only NAME = VALUE",
        );
    }
    for a in body.attributes() {
        match scope.eval(&a.value) {
            Ok(value) => out.push(Assignment { name: a.key.as_str().into(), value: Ok(value) }),
            Err(error) => {
                faults.add(places.at(error.span.or_else(|| a.span())), a.key.as_str(), error.reason)
            }
        }
    }
    faults.or(out)
}

/// Puts `var` into the scope.
pub(super) fn declare(
    body: &Body,
    assignments: &[Assignment],
    places: &Places,
    scope: &mut Scope,
    faults: &mut Faults,
) {
    let mut vars: Vec<(String, Value)> = Vec::new();
    for block in body.get_blocks("variable") {
        let at = places.at(block.span());
        let Some(name) = block.labels.first().map(|l| l.as_str().to_string()) else {
            faults.add(at, "variable", "needs a name: variable \"name\" { ... }");
            continue;
        };
        let path = format!("variable.{name}");
        if vars.iter().any(|(n, _)| *n == name) {
            faults.add(at, &path, "is declared twice");
            continue;
        }
        let known = ["type", "default", "description", "sensitive"];
        for a in block.body.attributes().filter(|a| !known.contains(&a.key.as_str())) {
            let path = format!("{path}.{}", a.key.as_str());
            faults.add(places.at(a.span()), &path, "is unknown; a variable takes type, default, description");
        }
        let wanted = block.body.get_attribute("type").map(|a| &a.value);
        let assigned = assignments.iter().rev().find(|a| a.name == name);
        let value = match (assigned.map(|a| &a.value), block.body.get_attribute("default")) {
            (Some(Ok(value)), _) => Ok(value.clone()),
            (Some(Err(typed)), _) => typed_value(typed, wanted, scope),
            (None, Some(default)) => scope.eval(&default.value).map_err(|e| e.reason),
            (None, None) => Err(format!("has no default and no value; pass -var {name}=VALUE")),
        };
        let value = value.and_then(|v| convert(v, wanted));
        match value {
            Ok(value) => {
                scope.push("var", Value::Map(vec![(name.clone(), value.clone())]));
                validate(block, &path, places, scope, faults);
                scope.pop();
                vars.push((name, value));
            }
            Err(why) => faults.add(at, &path, why),
        }
    }
    let declared =
        |name: &str| body.get_blocks("variable").any(|b| b.labels.iter().any(|l| l.as_str() == name));
    for a in assignments.iter().filter(|a| !declared(&a.name)) {
        let reason = "is assigned but not declared; add `variable` to the file, or leave it out";
        faults.add(Pos::default(), &format!("variable.{}", a.name), reason);
    }
    scope.push("var", Value::Map(vars));
}

fn validate(block: &Block, path: &str, places: &Places, scope: &mut Scope, faults: &mut Faults) {
    for check in block.body.get_blocks("validation") {
        let Some(condition) = check.body.get_attribute("condition") else {
            faults.add(places.at(check.span()), path, "`validation` needs a `condition`");
            continue;
        };
        let at = places.at(condition.span());
        match scope.eval(&condition.value) {
            Ok(Value::Bool(true)) => {}
            Ok(Value::Bool(false)) => {
                let message = check.body.get_attribute("error_message").map(|a| scope.eval(&a.value));
                let message = match message {
                    Some(Ok(Value::Text(message))) => message,
                    _ => "its validation does not hold".into(),
                };
                faults.add(at, path, message);
            }
            Ok(other) => faults.add(at, path, format!("a condition must be a bool, not {}", other.kind())),
            Err(error) => faults.add(at, path, error.reason),
        }
    }
}

fn is_text(wanted: Option<&Expression>) -> bool {
    matches!(wanted, Some(Expression::Variable(name)) if name.as_str() == "string")
}

/// A value as typed on a command line.
fn typed_value(typed: &str, wanted: Option<&Expression>, scope: &mut Scope) -> Result<Value, String> {
    if is_text(wanted) || wanted.is_none() {
        return Ok(Value::Text(typed.into()));
    }
    let expr = hcl_edit::parser::parse_expr(typed.trim());
    let expr = expr.map_err(|_| format!("`{typed}` is not a value of its type"))?;
    scope.eval(&expr).map_err(|e| e.reason)
}

/// Brings a value to the declared type, or says why not.
fn convert(value: Value, wanted: Option<&Expression>) -> Result<Value, String> {
    let Some(wanted) = wanted else { return Ok(value) };
    if value == Value::Null {
        return Ok(value);
    }
    let wrong = |value: &Value, what: &str| Err(format!("must be {what}, is {}", value.kind()));
    match wanted {
        Expression::Variable(name) => match name.as_str() {
            "any" => Ok(value),
            "string" => match value.to_text() {
                Some(text) => Ok(Value::Text(text)),
                None => wrong(&value, "a string"),
            },
            "number" => match &value {
                Value::Whole(_) | Value::Number(_) => Ok(value),
                Value::Text(t) => match (t.trim().parse::<i64>(), t.trim().parse::<f64>()) {
                    (Ok(n), _) => Ok(Value::Whole(n)),
                    (_, Ok(n)) if n.is_finite() => Ok(Value::Number(n)),
                    _ => wrong(&value, "a number"),
                },
                _ => wrong(&value, "a number"),
            },
            "bool" => match &value {
                Value::Bool(_) => Ok(value),
                Value::Text(t) if t == "true" || t == "false" => Ok(Value::Bool(t == "true")),
                _ => wrong(&value, "a bool"),
            },
            other => Err(format!("its type `{other}` is unknown; use string, number, bool, list(T), map(T)")),
        },
        Expression::FuncCall(call) => {
            let inner = call.args.get(0);
            match (call.name.name.as_str(), value) {
                ("list" | "set", Value::List(l)) => {
                    Ok(Value::List(l.into_iter().map(|v| convert(v, inner)).collect::<Result<_, _>>()?))
                }
                ("tuple", Value::List(l)) => Ok(Value::List(l)),
                ("map", Value::Map(m)) => {
                    let entries = m.into_iter().map(|(k, v)| Ok((k, convert(v, inner)?)));
                    Ok(Value::Map(entries.collect::<Result<_, String>>()?))
                }
                ("object", Value::Map(m)) => Ok(Value::Map(m)),
                ("list" | "set" | "tuple", other) => wrong(&other, "a list"),
                ("map" | "object", other) => wrong(&other, "a map"),
                (other, _) => Err(format!("its type `{other}` is unknown")),
            }
        }
        _ => Err("its type can't be read; use string, number, bool, list(T), map(T)".into()),
    }
}

/// Puts `local` into the scope; locals may use one another in any order.
pub(super) fn locals(body: &Body, places: &Places, scope: &mut Scope, faults: &mut Faults) {
    let mut left: Vec<_> = body.get_blocks("locals").flat_map(|b| b.body.attributes()).collect();
    let mut seen = BTreeSet::new();
    left.retain(|a| {
        let new = seen.insert(a.key.as_str().to_string());
        if !new {
            faults.add(places.at(a.span()), &format!("local.{}", a.key.as_str()), "is there twice");
        }
        new
    });
    let mut known: Vec<(String, Value)> = Vec::new();
    loop {
        let before = left.len();
        let mut waiting = Vec::new();
        for a in left {
            let needs = locals_used(&a.value);
            if needs.iter().any(|n| seen.contains(n) && !known.iter().any(|(k, _)| k == n)) {
                waiting.push(a);
                continue;
            }
            scope.push("local", Value::Map(known.clone()));
            let value = scope.eval(&a.value);
            scope.pop();
            match value {
                Ok(value) => known.push((a.key.as_str().into(), value)),
                Err(error) => {
                    let at = places.at(error.span.or_else(|| a.span()));
                    faults.add(at, &format!("local.{}", a.key.as_str()), error.reason);
                    seen.remove(a.key.as_str());
                }
            }
        }
        if waiting.is_empty() || waiting.len() == before {
            for a in waiting {
                let reason = "goes round in a circle with other locals";
                faults.add(places.at(a.span()), &format!("local.{}", a.key.as_str()), reason);
            }
            break;
        }
        left = waiting;
    }
    scope.push("local", Value::Map(known));
}

/// Names after `local.` in an expression.
fn locals_used(expr: &Expression) -> BTreeSet<String> {
    use hcl_edit::visit::{Visit, visit_traversal};
    #[derive(Default)]
    struct Used(BTreeSet<String>);
    impl Visit for Used {
        fn visit_traversal(&mut self, t: &Traversal) {
            if let (Expression::Variable(root), Some(first)) = (&t.expr, t.operators.first())
                && root.as_str() == "local"
                && let TraversalOperator::GetAttr(name) = first.value()
            {
                self.0.insert(name.as_str().into());
            }
            visit_traversal(self, t);
        }
    }
    let mut used = Used::default();
    used.visit_expr(expr);
    used.0
}
