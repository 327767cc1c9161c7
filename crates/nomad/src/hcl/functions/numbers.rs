//! Functions on numbers.

use super::arguments::{number, whole};
use super::{MAX_ELEMENTS, Result};
use crate::hcl::scope::Scope;
use crate::tree::Value;

/// 2^53: whole numbers below it are exact as `f64`.
const EXACT_BELOW: f64 = 9_007_199_254_740_992.0;

/// A number as a value: whole if it is so exactly.
///
/// # Errors
/// It is infinite or no number.
pub fn value_of(number: f64) -> Result<Value> {
    if number.fract() == 0.0 && number.abs() < EXACT_BELOW {
        Ok(Value::Whole(number as i64))
    } else if number.is_finite() {
        Ok(Value::Number(number))
    } else {
        Err("gives no number".into())
    }
}

/// The whole numbers from a start (0 if only the end is given) up to the end, without it.
pub fn range(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    let (start, end, step) = match arguments {
        [end] => (0, whole(end)?, 1),
        [start, end] => (whole(start)?, whole(end)?, 1),
        [start, end, step] => (whole(start)?, whole(end)?, whole(step)?),
        _ => return Err("takes one to three whole numbers".into()),
    };
    if step == 0 {
        return Err("needs a step other than 0".into());
    }
    let count = (i128::from(end) - i128::from(start)) / i128::from(step);
    if count > MAX_ELEMENTS as i128 {
        return Err(format!("makes more than {MAX_ELEMENTS} elements"));
    }
    let mut out = Vec::new();
    let mut next = start;
    while (step > 0 && next < end) || (step < 0 && next > end) {
        out.push(Value::Whole(next));
        next = next.saturating_add(step);
    }
    Ok(Value::List(out))
}

/// The smallest argument.
pub fn min(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    reduce(arguments, f64::min)
}

/// The largest argument.
pub fn max(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    reduce(arguments, f64::max)
}

fn reduce(arguments: &[Value], pick: fn(f64, f64) -> f64) -> Result<Value> {
    let numbers = arguments.iter().map(number).collect::<Result<Vec<_>>>()?;
    value_of(numbers.into_iter().reduce(pick).unwrap_or(0.0))
}

/// The least whole number not below the argument.
pub fn ceil(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    value_of(number(&arguments[0])?.ceil())
}

/// The greatest whole number not above the argument.
pub fn floor(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    value_of(number(&arguments[0])?.floor())
}

/// The argument without its sign.
pub fn abs(arguments: &[Value], _: &mut Scope) -> Result<Value> {
    value_of(number(&arguments[0])?.abs())
}
