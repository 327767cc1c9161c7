//! Expressions. Every step takes from a budget, and so does every byte made.

use super::functions;
use crate::tree::Value;
use hcl_edit::Span;
use hcl_edit::expr::{
    BinaryOperator, Expression, ForExpr, ObjectKey, Traversal, TraversalOperator, UnaryOperator,
};
use hcl_edit::template::{Directive, Element, Template};
use std::ops::Range;

/// Expressions evaluated, and bytes of values made, for one file.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    steps: usize,
    bytes: usize,
}

impl Budget {
    /// On a command line, where only the one who asks waits.
    pub const FILE: Self = Self { steps: 200_000, bytes: 4 * 1024 * 1024 };
    /// In a node, which does nothing else meanwhile and has a small share of a core.
    pub const CALL: Self = Self { steps: 5_000, bytes: 256 * 1024 };
}

#[derive(Debug)]
pub struct Error {
    pub span: Option<Range<usize>>,
    pub reason: String,
}

impl Error {
    pub fn new(span: Option<Range<usize>>, reason: impl Into<String>) -> Self {
        Self { span, reason: reason.into() }
    }
}

type Result<T> = std::result::Result<T, Error>;

/// Names in force, and what is left of the budget.
#[derive(Debug)]
pub struct Scope {
    names: Vec<(String, Value)>,
    steps: usize,
    bytes: usize,
}

impl Scope {
    pub fn new(budget: Budget) -> Self {
        Self { names: Vec::new(), steps: budget.steps, bytes: budget.bytes }
    }
}

/// Bytes that a value takes, roughly.
fn size(value: &Value) -> usize {
    16 + match value {
        Value::Text(t) => t.len(),
        Value::List(l) => l.iter().map(size).sum(),
        Value::Map(m) => m.iter().map(|(k, v)| k.len() + size(v)).sum(),
        _ => 0,
    }
}

/// Keys and values of a collection.
pub fn items(value: Value, span: Option<Range<usize>>) -> Result<Vec<(Value, Value)>> {
    match value {
        Value::List(l) => Ok(l.into_iter().enumerate().map(|(i, v)| (Value::Whole(i as i64), v)).collect()),
        Value::Map(m) => Ok(m.into_iter().map(|(k, v)| (Value::Text(k), v)).collect()),
        other => Err(Error::new(span, format!("goes through {}; give a list or a map", other.kind()))),
    }
}

impl Scope {
    pub fn push(&mut self, name: &str, value: Value) {
        self.names.push((name.into(), value));
    }

    pub fn pop(&mut self) {
        self.names.pop();
    }

    fn look_up(&self, name: &str) -> Option<&Value> {
        self.names.iter().rev().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    fn step(&mut self, span: Option<Range<usize>>) -> Result<()> {
        match self.steps.checked_sub(1) {
            Some(left) => self.steps = left,
            None => {
                return Err(Error::new(
                    span,
                    "takes too long to evaluate; write it out, or in smaller loops",
                ));
            }
        }
        Ok(())
    }

    /// Takes `bytes` from the budget for what has been made.
    pub fn spend(&mut self, bytes: usize) -> std::result::Result<(), String> {
        match self.bytes.checked_sub(bytes) {
            Some(left) => self.bytes = left,
            None => return Err("grows beyond what a job file may; write less of it".into()),
        }
        Ok(())
    }

    fn made(&mut self, value: Value, span: Option<Range<usize>>) -> Result<Value> {
        self.spend(size(&value)).map_err(|why| Error::new(span, why))?;
        Ok(value)
    }

    pub fn eval(&mut self, expr: &Expression) -> Result<Value> {
        let span = expr.span();
        self.step(span.clone())?;
        match expr {
            Expression::Null(_) => Ok(Value::Null),
            Expression::Bool(b) => Ok(Value::Bool(*b.value())),
            Expression::Number(n) => Ok(match n.value().as_i64() {
                Some(n) => Value::Whole(n),
                None => Value::Number(n.value().as_f64().unwrap_or(f64::NAN)),
            }),
            Expression::String(s) => self.made(Value::Text(s.value().clone()), span),
            Expression::Array(a) => {
                let list = a.iter().map(|e| self.eval(e)).collect::<Result<Vec<_>>>()?;
                self.made(Value::List(list), span)
            }
            Expression::Object(o) => {
                let mut map: Vec<(String, Value)> = Vec::new();
                for (key, value) in o.iter() {
                    let key = match key {
                        ObjectKey::Ident(name) => name.as_str().to_string(),
                        ObjectKey::Expression(e) => {
                            let key = self.eval(e)?;
                            let wrong = || Error::new(e.span(), "a map's key must be a string");
                            key.to_text().ok_or_else(wrong)?
                        }
                    };
                    let value = self.eval(value.expr())?;
                    match map.iter_mut().find(|(k, _)| *k == key) {
                        Some(entry) => entry.1 = value,
                        None => map.push((key, value)),
                    }
                }
                self.made(Value::Map(map), span)
            }
            Expression::StringTemplate(t) => self.template(t, span),
            Expression::HeredocTemplate(t) => {
                // Dedented by the library on a copy.
                let mut heredoc = (**t).clone();
                heredoc.dedent();
                self.template(&heredoc.template, span)
            }
            Expression::Parenthesis(p) => self.eval(p.inner()),
            Expression::Variable(name) => self.variable(name.as_str(), span),
            Expression::Conditional(c) => match self.eval(&c.cond_expr)? {
                Value::Bool(true) => self.eval(&c.true_expr),
                Value::Bool(false) => self.eval(&c.false_expr),
                other => {
                    let why = format!("a condition must be a bool, not {}", other.kind());
                    Err(Error::new(c.cond_expr.span(), why))
                }
            },
            Expression::FuncCall(call) => {
                let name = call.name.name.as_str();
                if call.name.is_namespaced() {
                    return Err(Error::new(span, "functions of plug-ins are not known here"));
                }
                let mut args = call.args.iter().map(|e| self.eval(e)).collect::<Result<Vec<_>>>()?;
                if call.args.expand_final() {
                    match args.pop() {
                        Some(Value::List(last)) => args.extend(last),
                        _ => return Err(Error::new(span, "`...` must follow a list")),
                    }
                }
                let value = functions::call(name, &args, self);
                let value = value.map_err(|why| Error::new(span.clone(), format!("{name}: {why}")))?;
                self.made(value, span)
            }
            Expression::Traversal(t) => self.traversal(t, span),
            Expression::UnaryOp(op) => {
                let value = self.eval(&op.expr)?;
                match (op.operator.value(), value) {
                    (UnaryOperator::Neg, Value::Whole(n)) => {
                        Ok(n.checked_neg().map_or(Value::Number(-(n as f64)), Value::Whole))
                    }
                    (UnaryOperator::Neg, Value::Number(n)) => Ok(Value::Number(-n)),
                    (UnaryOperator::Not, Value::Bool(b)) => Ok(Value::Bool(!b)),
                    (op, other) => Err(Error::new(span, format!("`{op}` does not go with {}", other.kind()))),
                }
            }
            Expression::BinaryOp(op) => {
                let left = self.eval(&op.lhs_expr)?;
                let operator = *op.operator.value();
                // Both sides are evaluated, as the language has it.
                let right = self.eval(&op.rhs_expr)?;
                binary(operator, left, right).map_err(|why| Error::new(span, why))
            }
            Expression::ForExpr(f) => self.for_expr(f, span),
        }
    }

    fn variable(&mut self, name: &str, span: Option<Range<usize>>) -> Result<Value> {
        match self.look_up(name).cloned() {
            Some(value) => self.made(value, span),
            None => {
                Err(Error::new(span, format!("`{name}` is not declared; use var.NAME, local.NAME or quotes")))
            }
        }
    }

    fn traversal(&mut self, t: &Traversal, span: Option<Range<usize>>) -> Result<Value> {
        // Names that a node fills in when a task starts stay as they are written: ${node.class}.
        if let (Expression::Variable(root), true) = (&t.expr, is_runtime(&t.expr))
            && self.look_up(root.as_str()).is_none()
        {
            let mut text = root.as_str().to_string();
            for operator in &t.operators {
                match operator.value() {
                    TraversalOperator::GetAttr(name) => text += &format!(".{}", name.as_str()),
                    _ => return Err(Error::new(span, format!("`{text}` can only be followed by names"))),
                }
            }
            return Ok(Value::Text(format!("${{{text}}}")));
        }
        let mut operators = t.operators.iter().peekable();
        let mut value = match &t.expr {
            // Walked by reference: only what is reached is copied.
            Expression::Variable(root) if self.look_up(root.as_str()).is_some() => {
                let mut at = self.look_up(root.as_str()).unwrap_or(&Value::Null);
                while let Some(TraversalOperator::GetAttr(name)) = operators.peek().map(|o| o.value())
                    && let Some(inner) = at.get(name.as_str())
                {
                    at = inner;
                    operators.next();
                }
                at.clone()
            }
            other => self.eval(other)?,
        };
        while let Some(operator) = operators.next() {
            self.step(span.clone())?;
            value = match operator.value() {
                TraversalOperator::GetAttr(name) => attribute(value, name.as_str(), &span)?,
                TraversalOperator::Index(index) => {
                    let at = index.span();
                    let index = self.eval(index)?;
                    element(value, &index, at)?
                }
                TraversalOperator::LegacyIndex(index) => {
                    element(value, &Value::Whole(*index.value() as i64), span.clone())?
                }
                TraversalOperator::AttrSplat(_) | TraversalOperator::FullSplat(_) => {
                    let rest: Vec<_> = operators.by_ref().collect();
                    let list = match value {
                        Value::List(list) => list,
                        Value::Null => Vec::new(),
                        other => vec![other],
                    };
                    let mut out = Vec::new();
                    for mut value in list {
                        for operator in &rest {
                            self.step(span.clone())?;
                            value = match operator.value() {
                                TraversalOperator::GetAttr(name) => attribute(value, name.as_str(), &span)?,
                                TraversalOperator::Index(index) => {
                                    let index = self.eval(index)?;
                                    element(value, &index, span.clone())?
                                }
                                _ => return Err(Error::new(span, "one `*` is all that can be used here")),
                            };
                        }
                        out.push(value);
                    }
                    Value::List(out)
                }
            };
        }
        self.made(value, span)
    }

    fn for_expr(&mut self, f: &ForExpr, span: Option<Range<usize>>) -> Result<Value> {
        let over = self.eval(&f.intro.collection_expr)?;
        let (mut list, mut map): (Vec<Value>, Vec<(String, Value)>) = Default::default();
        for (key, value) in items(over, f.intro.collection_expr.span())? {
            let named = f.intro.key_var.as_ref().map(|k| k.as_str().to_string());
            let had = self.names.len();
            if let Some(name) = named {
                self.push(&name, key);
            }
            self.push(f.intro.value_var.as_str(), value);
            let made = self.for_item(f);
            self.names.truncate(had);
            match made? {
                None => {}
                Some((None, value)) => list.push(value),
                Some((Some(key), value)) => match map.iter_mut().find(|(k, _)| *k == key) {
                    Some((_, Value::List(group))) if f.grouping => group.push(value),
                    Some(_) => return Err(Error::new(span, format!("makes the key `{key}` twice"))),
                    None if f.grouping => map.push((key, Value::List(vec![value]))),
                    None => map.push((key, value)),
                },
            }
        }
        let value = if f.key_expr.is_some() { Value::Map(map) } else { Value::List(list) };
        self.made(value, span)
    }

    fn for_item(&mut self, f: &ForExpr) -> Result<Option<(Option<String>, Value)>> {
        if let Some(cond) = &f.cond {
            match self.eval(&cond.expr)? {
                Value::Bool(true) => {}
                Value::Bool(false) => return Ok(None),
                other => {
                    let why = format!("a condition must be a bool, not {}", other.kind());
                    return Err(Error::new(cond.expr.span(), why));
                }
            }
        }
        let key = match &f.key_expr {
            None => None,
            Some(e) => {
                let key = self.eval(e)?.to_text();
                Some(key.ok_or_else(|| Error::new(e.span(), "a map's key must be a string"))?)
            }
        };
        Ok(Some((key, self.eval(&f.value_expr)?)))
    }

    fn template(&mut self, template: &Template, span: Option<Range<usize>>) -> Result<Value> {
        // A lone interpolation keeps its type.
        if let [Element::Interpolation(only)] = template.iter().collect::<Vec<_>>().as_slice() {
            return self.eval(&only.expr);
        }
        let mut out = String::new();
        self.fill(template, &mut out, &span)?;
        self.made(Value::Text(out), span)
    }

    fn fill(&mut self, template: &Template, out: &mut String, span: &Option<Range<usize>>) -> Result<()> {
        for element in template.iter() {
            self.step(span.clone())?;
            match element {
                Element::Literal(text) => {
                    self.spend(text.len()).map_err(|why| Error::new(span.clone(), why))?;
                    out.push_str(text.value());
                }
                Element::Interpolation(i) => {
                    let value = self.eval(&i.expr)?;
                    let text = value.to_text().ok_or_else(|| {
                        Error::new(i.expr.span(), format!("{} does not go into a string", value.kind()))
                    })?;
                    self.spend(text.len()).map_err(|why| Error::new(span.clone(), why))?;
                    out.push_str(&text);
                }
                Element::Directive(d) => match &**d {
                    Directive::If(i) => match self.eval(&i.if_expr.cond_expr)? {
                        Value::Bool(true) => self.fill(&i.if_expr.template, out, span)?,
                        Value::Bool(false) => {
                            if let Some(other) = &i.else_expr {
                                self.fill(&other.template, out, span)?;
                            }
                        }
                        other => {
                            let why = format!("a condition must be a bool, not {}", other.kind());
                            return Err(Error::new(i.if_expr.cond_expr.span(), why));
                        }
                    },
                    Directive::For(f) => {
                        let f = &f.for_expr;
                        let over = self.eval(&f.collection_expr)?;
                        for (key, value) in items(over, f.collection_expr.span())? {
                            let had = self.names.len();
                            if let Some(name) = &f.key_var {
                                self.push(name.as_str(), key);
                            }
                            self.push(f.value_var.as_str(), value);
                            let filled = self.fill(&f.template, out, span);
                            self.names.truncate(had);
                            filled?;
                        }
                    }
                },
            }
        }
        Ok(())
    }
}

/// Names that Nomad's clients fill in on the machine.
fn is_runtime(expr: &Expression) -> bool {
    let Expression::Variable(name) = expr else { return false };
    matches!(name.as_str(), "node" | "attr" | "meta" | "env" | "unique" | "device" | "NOMAD_META")
}

fn attribute(value: Value, name: &str, span: &Option<Range<usize>>) -> Result<Value> {
    match value {
        Value::Map(map) => match map.into_iter().find(|(k, _)| k == name) {
            Some((_, value)) => Ok(value),
            None => Err(Error::new(span.clone(), format!("there is no `{name}`"))),
        },
        other => Err(Error::new(span.clone(), format!("{} has no `{name}`", other.kind()))),
    }
}

fn element(value: Value, index: &Value, span: Option<Range<usize>>) -> Result<Value> {
    match (value, index) {
        (Value::List(mut list), Value::Whole(i)) => match usize::try_from(*i) {
            Ok(i) if i < list.len() => Ok(list.swap_remove(i)),
            _ => Err(Error::new(span, format!("the list has {} elements, none at {i}", list.len()))),
        },
        (value @ Value::Map(_), Value::Text(key)) => attribute(value, key, &span),
        (value, index) => {
            Err(Error::new(span, format!("{} can't be indexed by {}", value.kind(), index.kind())))
        }
    }
}

fn binary(operator: BinaryOperator, left: Value, right: Value) -> std::result::Result<Value, String> {
    use BinaryOperator as Op;
    let wrong = |l: &Value, r: &Value| format!("`{operator}` does not go with {} and {}", l.kind(), r.kind());
    match operator {
        Op::Eq => return Ok(Value::Bool(same(&left, &right))),
        Op::NotEq => return Ok(Value::Bool(!same(&left, &right))),
        Op::And | Op::Or => {
            let (Value::Bool(l), Value::Bool(r)) = (&left, &right) else { return Err(wrong(&left, &right)) };
            return Ok(Value::Bool(if operator == Op::And { *l && *r } else { *l || *r }));
        }
        _ => {}
    }
    if let (Value::Whole(l), Value::Whole(r)) = (&left, &right) {
        let (l, r) = (*l, *r);
        let exact = match operator {
            Op::Plus => l.checked_add(r),
            Op::Minus => l.checked_sub(r),
            Op::Mul => l.checked_mul(r),
            Op::Mod => l.checked_rem(r),
            Op::Div if r != 0 && l.checked_rem(r) == Some(0) => l.checked_div(r),
            _ => None,
        };
        if let Some(n) = exact {
            return Ok(Value::Whole(n));
        }
    }
    let (Some(l), Some(r)) = (left.as_f64(), right.as_f64()) else { return Err(wrong(&left, &right)) };
    let number = match operator {
        Op::Less => return Ok(Value::Bool(l < r)),
        Op::LessEq => return Ok(Value::Bool(l <= r)),
        Op::Greater => return Ok(Value::Bool(l > r)),
        Op::GreaterEq => return Ok(Value::Bool(l >= r)),
        Op::Plus => l + r,
        Op::Minus => l - r,
        Op::Mul => l * r,
        Op::Div => l / r,
        Op::Mod => l % r,
        _ => return Err(wrong(&left, &right)),
    };
    if number.is_finite() { Ok(Value::Number(number)) } else { Err(format!("`{operator}` gives no number")) }
}

fn same(left: &Value, right: &Value) -> bool {
    match (left.as_f64(), right.as_f64()) {
        (Some(l), Some(r)) => l == r,
        _ => left == right,
    }
}
