//! Expressions. Every step takes from a budget, and so does every byte made.
//!
//! Templates, traversals, loops and operators each have a module of their own.

use super::functions;
use super::operators::{binary, unary};
use super::scope::{Error, Place, Result, Scope};
use crate::tree::Value;
use hcl_edit::Span;
use hcl_edit::expr::{Expression, FuncCall, Object, ObjectKey};

/// The value of a condition.
///
/// # Errors
/// It is not a bool.
fn truth(condition: &Expression, value: &Value) -> Result<bool> {
    match value {
        Value::Bool(truth) => Ok(*truth),
        other => {
            let reason = format!("a condition must be a bool, not {}", other.kind());
            Err(Error::new(condition.span(), reason))
        }
    }
}

impl Scope {
    /// Evaluates an expression.
    ///
    /// # Errors
    /// It can't be evaluated, or the budget is spent.
    pub fn eval(&mut self, expression: &Expression) -> Result<Value> {
        let span = expression.span();
        self.step(&span)?;
        match expression {
            Expression::Null(_) => Ok(Value::Null),
            Expression::Bool(flag) => Ok(Value::Bool(*flag.value())),
            Expression::Number(number) => Ok(match number.value().as_i64() {
                Some(whole) => Value::Whole(whole),
                None => Value::Number(number.value().as_f64().unwrap_or(f64::NAN)),
            }),
            Expression::String(text) => self.charged(Value::Text(text.value().clone()), span),
            Expression::Array(array) => {
                let elements = array.iter().map(|element| self.eval(element)).collect::<Result<Vec<_>>>()?;
                self.charged(Value::List(elements), span)
            }
            Expression::Object(object) => self.object(object, span),
            Expression::StringTemplate(template) => self.template(template, span),
            Expression::HeredocTemplate(heredoc) => {
                // Dedented by the library on a copy.
                let mut heredoc = (**heredoc).clone();
                heredoc.dedent();
                self.template(&heredoc.template, span)
            }
            Expression::Parenthesis(parenthesis) => self.eval(parenthesis.inner()),
            Expression::Variable(name) => self.variable(name.as_str(), span),
            Expression::Conditional(conditional) => {
                if self.condition(&conditional.cond_expr)? {
                    self.eval(&conditional.true_expr)
                } else {
                    self.eval(&conditional.false_expr)
                }
            }
            Expression::FuncCall(call) => self.function_call(call, span),
            Expression::Traversal(traversal) => self.traversal(traversal, span),
            Expression::UnaryOp(operation) => {
                let value = self.eval(&operation.expr)?;
                unary(*operation.operator.value(), value).map_err(|reason| Error::new(span, reason))
            }
            Expression::BinaryOp(operation) => {
                // Both sides are evaluated, as the language has it.
                let left = self.eval(&operation.lhs_expr)?;
                let right = self.eval(&operation.rhs_expr)?;
                let operator = *operation.operator.value();
                binary(operator, left, right).map_err(|reason| Error::new(span, reason))
            }
            Expression::ForExpr(comprehension) => self.comprehension(comprehension, span),
        }
    }

    /// Evaluates a condition, which must be a bool.
    pub(super) fn condition(&mut self, condition: &Expression) -> Result<bool> {
        let value = self.eval(condition)?;
        truth(condition, &value)
    }

    /// Evaluates the key of a map, which must be a string.
    pub(super) fn map_key(&mut self, key: &Expression) -> Result<String> {
        let value = self.eval(key)?;
        value.to_text().ok_or_else(|| Error::new(key.span(), "a map's key must be a string"))
    }

    /// A map; of a key's values the last one counts.
    fn object(&mut self, object: &Object, span: Place) -> Result<Value> {
        let mut map: Vec<(String, Value)> = Vec::new();
        for (key, value) in object {
            let key = match key {
                ObjectKey::Ident(name) => name.as_str().to_string(),
                ObjectKey::Expression(key) => self.map_key(key)?,
            };
            let value = self.eval(value.expr())?;
            match map.iter_mut().find(|(known, _)| *known == key) {
                Some((_, earlier)) => *earlier = value,
                None => map.push((key, value)),
            }
        }
        self.charged(Value::Map(map), span)
    }

    fn variable(&mut self, name: &str, span: Place) -> Result<Value> {
        match self.find(name).cloned() {
            Some(value) => self.charged(value, span),
            None => {
                let reason = format!("`{name}` is not declared; use var.NAME, local.NAME or quotes");
                Err(Error::new(span, reason))
            }
        }
    }

    fn function_call(&mut self, call: &FuncCall, span: Place) -> Result<Value> {
        let name = call.name.name.as_str();
        if call.name.is_namespaced() {
            return Err(Error::new(span, "functions of plug-ins are not known here"));
        }
        let mut arguments =
            call.args.iter().map(|argument| self.eval(argument)).collect::<Result<Vec<_>>>()?;
        if call.args.expand_final() {
            match arguments.pop() {
                Some(Value::List(last)) => arguments.extend(last),
                _ => return Err(Error::new(span, "`...` must follow a list")),
            }
        }
        let value = functions::call(name, &arguments, self)
            .map_err(|reason| Error::new(span.clone(), format!("{name}: {reason}")))?;
        self.charged(value, span)
    }
}
