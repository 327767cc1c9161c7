//! Operators on values. Whole numbers stay whole where the result is so exactly.

use crate::tree::Value;
use hcl_edit::expr::{BinaryOperator, UnaryOperator};

/// What an operator gives, or the reason why it can't.
type Result<T> = std::result::Result<T, String>;

/// Applies an operator to one value.
pub fn unary(operator: UnaryOperator, value: Value) -> Result<Value> {
    match (operator, value) {
        (UnaryOperator::Neg, Value::Whole(number)) => {
            Ok(number.checked_neg().map_or(Value::Number(-(number as f64)), Value::Whole))
        }
        (UnaryOperator::Neg, Value::Number(number)) => Ok(Value::Number(-number)),
        (UnaryOperator::Not, Value::Bool(flag)) => Ok(Value::Bool(!flag)),
        (operator, other) => Err(format!("`{operator}` does not go with {}", other.kind())),
    }
}

/// Applies an operator to two values.
pub fn binary(operator: BinaryOperator, left: Value, right: Value) -> Result<Value> {
    use BinaryOperator as Op;
    match operator {
        Op::Eq => Ok(Value::Bool(same(&left, &right))),
        Op::NotEq => Ok(Value::Bool(!same(&left, &right))),
        Op::And | Op::Or => logical(operator, &left, &right),
        _ => match exact(operator, &left, &right) {
            Some(number) => Ok(Value::Whole(number)),
            None => numeric(operator, &left, &right),
        },
    }
}

fn mismatch(operator: BinaryOperator, left: &Value, right: &Value) -> String {
    format!("`{operator}` does not go with {} and {}", left.kind(), right.kind())
}

fn logical(operator: BinaryOperator, left: &Value, right: &Value) -> Result<Value> {
    let (Value::Bool(left), Value::Bool(right)) = (left, right) else {
        return Err(mismatch(operator, left, right));
    };
    let truth = if operator == BinaryOperator::And { *left && *right } else { *left || *right };
    Ok(Value::Bool(truth))
}

/// The result on whole numbers, if it is whole and does not overflow.
fn exact(operator: BinaryOperator, left: &Value, right: &Value) -> Option<i64> {
    use BinaryOperator as Op;
    let (Value::Whole(left), Value::Whole(right)) = (left, right) else { return None };
    match operator {
        Op::Plus => left.checked_add(*right),
        Op::Minus => left.checked_sub(*right),
        Op::Mul => left.checked_mul(*right),
        Op::Mod => left.checked_rem(*right),
        Op::Div if left.checked_rem(*right) == Some(0) => left.checked_div(*right),
        _ => None,
    }
}

fn numeric(operator: BinaryOperator, left_value: &Value, right_value: &Value) -> Result<Value> {
    use BinaryOperator as Op;
    let (Some(left), Some(right)) = (left_value.as_f64(), right_value.as_f64()) else {
        return Err(mismatch(operator, left_value, right_value));
    };
    let number = match operator {
        Op::Less => return Ok(Value::Bool(left < right)),
        Op::LessEq => return Ok(Value::Bool(left <= right)),
        Op::Greater => return Ok(Value::Bool(left > right)),
        Op::GreaterEq => return Ok(Value::Bool(left >= right)),
        Op::Plus => left + right,
        Op::Minus => left - right,
        Op::Mul => left * right,
        Op::Div => left / right,
        Op::Mod => left % right,
        _ => return Err(mismatch(operator, left_value, right_value)),
    };
    if number.is_finite() { Ok(Value::Number(number)) } else { Err(format!("`{operator}` gives no number")) }
}

/// Whether two values are equal; numbers are, whole or not, by what they amount to.
fn same(left: &Value, right: &Value) -> bool {
    match (left.as_f64(), right.as_f64()) {
        (Some(left), Some(right)) => left == right,
        _ => left == right,
    }
}
