//! `variable` and `locals`, and what is assigned from outside.

use super::scope::{Budget, Place, Scope};
use super::{Places, parse};
use crate::fault::{Fault, Faults, Pos};
use crate::tree::Value;
use hcl_edit::Span;
use hcl_edit::expr::{Expression, Traversal, TraversalOperator};
use hcl_edit::structure::{Attribute, Block, Body};
use hcl_edit::visit::{Visit, visit_traversal};
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
    /// An assignment of a command line, `NAME=VALUE`; none without the `=`.
    pub fn typed(text: &str) -> Option<Self> {
        let (name, value) = text.split_once('=')?;
        Some(Self { name: name.trim().into(), value: Err(value.into()) })
    }
}

/// Reads a file of assignments (`-var-file`).
///
/// # Errors
/// The file is no HCL, holds blocks, or a value can't be evaluated.
pub fn read_assignments(text: &str, budget: Budget) -> Result<Vec<Assignment>, Vec<Fault>> {
    let body = parse(text)?;
    let places = Places::of(text);
    let mut faults = Faults::default();
    let mut scope = Scope::new(budget);
    let mut assignments = Vec::new();
    for block in body.blocks() {
        faults.add(
            places.at(block.span()),
            block.ident.as_str(),
            "a file of variables holds only NAME = VALUE",
        );
    }
    for attribute in body.attributes() {
        let name = attribute.key.as_str();
        match scope.eval(&attribute.value) {
            Ok(value) => assignments.push(Assignment { name: name.into(), value: Ok(value) }),
            Err(error) => {
                faults.add(places.at(error.span.or_else(|| attribute.span())), name, error.reason);
            }
        }
    }
    faults.or(assignments)
}

/// What a variable's block may say.
const VARIABLE_ATTRIBUTES: [&str; 4] = ["type", "default", "description", "sensitive"];

/// Puts `var` into the scope, with every variable that has a valid value.
pub(super) fn declare(
    body: &Body,
    assignments: &[Assignment],
    places: &Places,
    scope: &mut Scope,
    faults: &mut Faults,
) {
    let mut variables: Vec<(String, Value)> = Vec::new();
    for block in body.get_blocks("variable") {
        let at = places.at(block.span());
        let Some(name) = block.labels.first().map(|label| label.as_str().to_string()) else {
            faults.add(at, "variable", "needs a name: variable \"name\" { ... }");
            continue;
        };
        let path = format!("variable.{name}");
        if variables.iter().any(|(declared, _)| *declared == name) {
            faults.add(at, &path, "is declared twice");
            continue;
        }
        check_attributes(block, &path, places, faults);
        match variable_value(block, &name, assignments, scope) {
            Ok(value) => {
                scope.push("var", Value::Map(vec![(name.clone(), value.clone())]));
                validate(block, &path, places, scope, faults);
                scope.pop();
                variables.push((name, value));
            }
            Err(reason) => faults.add(at, &path, reason),
        }
    }
    check_assignments(body, assignments, faults);
    scope.push("var", Value::Map(variables));
}

/// Notes attributes that a variable can't have.
fn check_attributes(block: &Block, path: &str, places: &Places, faults: &mut Faults) {
    for attribute in block.body.attributes() {
        let key = attribute.key.as_str();
        if !VARIABLE_ATTRIBUTES.contains(&key) {
            let reason = "is unknown; a variable takes type, default, description";
            faults.add(places.at(attribute.span()), &format!("{path}.{key}"), reason);
        }
    }
}

/// Notes assignments to variables that the file does not declare.
fn check_assignments(body: &Body, assignments: &[Assignment], faults: &mut Faults) {
    let declared = |name: &str| {
        let mut labels = body.get_blocks("variable").flat_map(|block| &block.labels);
        labels.any(|label| label.as_str() == name)
    };
    for assignment in assignments.iter().filter(|assignment| !declared(&assignment.name)) {
        let reason = "is assigned but not declared; add `variable` to the file, or leave it out";
        faults.add(Pos::default(), &format!("variable.{}", assignment.name), reason);
    }
}

/// A variable's value: the last one assigned, else the default, brought to the declared type.
fn variable_value(
    block: &Block,
    name: &str,
    assignments: &[Assignment],
    scope: &mut Scope,
) -> Result<Value, String> {
    let declared_type = block.body.get_attribute("type").map(|attribute| &attribute.value);
    let assigned = assignments.iter().rev().find(|assignment| assignment.name == name);
    let value = match assigned.map(|assignment| &assignment.value) {
        Some(Ok(value)) => value.clone(),
        Some(Err(typed)) => typed_value(typed, declared_type, scope)?,
        None => match block.body.get_attribute("default") {
            Some(default) => scope.eval(&default.value).map_err(|error| error.reason)?,
            None => return Err(format!("has no default and no value; pass -var {name}=VALUE")),
        },
    };
    match declared_type {
        Some(declared_type) => convert(value, declared_type),
        None => Ok(value),
    }
}

/// Notes the `validation` blocks of a variable that do not hold.
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
                let message = check.body.get_attribute("error_message");
                let message = message.map(|attribute| scope.eval(&attribute.value));
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

/// A value as typed on a command line: a string, unless the variable's type is another.
fn typed_value(typed: &str, declared_type: Option<&Expression>, scope: &mut Scope) -> Result<Value, String> {
    match declared_type {
        None => return Ok(Value::Text(typed.into())),
        Some(Expression::Variable(name)) if name.as_str() == "string" => {
            return Ok(Value::Text(typed.into()));
        }
        Some(_) => {}
    }
    let expression = hcl_edit::parser::parse_expr(typed.trim())
        .map_err(|_| format!("`{typed}` is not a value of its type"))?;
    scope.eval(&expression).map_err(|error| error.reason)
}

fn wrong_type(value: &Value, expected: &str) -> Result<Value, String> {
    Err(format!("must be {expected}, is {}", value.kind()))
}

/// Brings a value to the declared type, or says why not. Null is of every type.
fn convert(value: Value, declared_type: &Expression) -> Result<Value, String> {
    if value == Value::Null {
        return Ok(value);
    }
    match declared_type {
        Expression::Variable(name) => convert_to_simple(value, name.as_str()),
        Expression::FuncCall(call) => convert_to_collection(value, call.name.name.as_str(), call.args.get(0)),
        _ => Err("its type can't be read; use string, number, bool, list(T), map(T)".into()),
    }
}

fn convert_to_simple(value: Value, type_name: &str) -> Result<Value, String> {
    match type_name {
        "any" => Ok(value),
        "string" => match value.to_text() {
            Some(text) => Ok(Value::Text(text)),
            None => wrong_type(&value, "a string"),
        },
        "number" => match &value {
            Value::Whole(_) | Value::Number(_) => Ok(value),
            Value::Text(text) => parse_number(text).map_or_else(|| wrong_type(&value, "a number"), Ok),
            _ => wrong_type(&value, "a number"),
        },
        "bool" => match &value {
            Value::Bool(_) => Ok(value),
            Value::Text(text) if text == "true" || text == "false" => Ok(Value::Bool(text == "true")),
            _ => wrong_type(&value, "a bool"),
        },
        other => Err(format!("its type `{other}` is unknown; use string, number, bool, list(T), map(T)")),
    }
}

/// A number in a string, whole if it is written so and fits.
fn parse_number(text: &str) -> Option<Value> {
    let text = text.trim();
    if let Ok(whole) = text.parse() {
        return Some(Value::Whole(whole));
    }
    let number: f64 = text.parse().ok()?;
    number.is_finite().then_some(Value::Number(number))
}

/// Brings a value to `list(T)`, `map(T)` and the like; without a `T`, elements stay as they are.
fn convert_to_collection(
    value: Value,
    type_name: &str,
    element_type: Option<&Expression>,
) -> Result<Value, String> {
    let element = |value| match element_type {
        Some(element_type) => convert(value, element_type),
        None => Ok(value),
    };
    match (type_name, value) {
        ("list" | "set", Value::List(elements)) => {
            Ok(Value::List(elements.into_iter().map(element).collect::<Result<_, _>>()?))
        }
        ("tuple", Value::List(elements)) => Ok(Value::List(elements)),
        ("map", Value::Map(entries)) => {
            let entries = entries.into_iter().map(|(key, value)| Ok((key, element(value)?)));
            Ok(Value::Map(entries.collect::<Result<_, String>>()?))
        }
        ("object", Value::Map(entries)) => Ok(Value::Map(entries)),
        ("list" | "set" | "tuple", other) => wrong_type(&other, "a list"),
        ("map" | "object", other) => wrong_type(&other, "a map"),
        (other, _) => Err(format!("its type `{other}` is unknown")),
    }
}

/// Puts `local` into the scope; locals may use one another in any order.
pub(super) fn locals(body: &Body, places: &Places, scope: &mut Scope, faults: &mut Faults) {
    let mut fault = |attribute: &Attribute, span: Place, reason: &str| {
        let at = places.at(span.or_else(|| attribute.span()));
        faults.add(at, &format!("local.{}", attribute.key.as_str()), reason);
    };
    let mut names = BTreeSet::new();
    let mut remaining: Vec<&Attribute> = Vec::new();
    for attribute in body.get_blocks("locals").flat_map(|block| block.body.attributes()) {
        if names.insert(attribute.key.as_str()) {
            remaining.push(attribute);
        } else {
            fault(attribute, None, "is there twice");
        }
    }
    let mut known: Vec<(String, Value)> = Vec::new();
    while !remaining.is_empty() {
        let before = remaining.len();
        let mut waiting = Vec::new();
        for attribute in remaining {
            let is_known = |name: &String| known.iter().any(|(local, _)| local == name);
            let mut used = locals_used(&attribute.value).into_iter();
            if used.any(|name| names.contains(name.as_str()) && !is_known(&name)) {
                waiting.push(attribute);
                continue;
            }
            scope.push("local", Value::Map(known.clone()));
            let value = scope.eval(&attribute.value);
            scope.pop();
            match value {
                Ok(value) => known.push((attribute.key.as_str().into(), value)),
                Err(error) => {
                    fault(attribute, error.span, &error.reason);
                    // Locals that use it are evaluated, and fail in their turn.
                    names.remove(attribute.key.as_str());
                }
            }
        }
        if waiting.len() == before {
            for attribute in waiting {
                fault(attribute, None, "goes round in a circle with other locals");
            }
            break;
        }
        remaining = waiting;
    }
    scope.push("local", Value::Map(known));
}

/// Names after `local.` in an expression.
fn locals_used(expression: &Expression) -> BTreeSet<String> {
    let mut used = UsedLocals::default();
    used.visit_expr(expression);
    used.names
}

#[derive(Default)]
struct UsedLocals {
    names: BTreeSet<String>,
}

impl Visit for UsedLocals {
    fn visit_traversal(&mut self, traversal: &Traversal) {
        if let Expression::Variable(root) = &traversal.expr
            && root.as_str() == "local"
            && let Some(first) = traversal.operators.first()
            && let TraversalOperator::GetAttr(name) = first.value()
        {
            self.names.insert(name.as_str().into());
        }
        visit_traversal(self, traversal);
    }
}
