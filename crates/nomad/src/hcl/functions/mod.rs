//! The functions that expressions in job files may call. None reads files, clocks or the environment.
//!
//! `eval` evaluates the arguments and calls [`call`], which finds the function in [`FUNCTIONS`] and checks the
//! number of arguments. The functions themselves stand in a module for each family.

mod arguments;
mod collections;
mod conversions;
mod format;
mod numbers;
mod strings;

use super::scope::Scope;
use crate::tree::Value;

/// The largest number of elements that one call may make.
const MAX_ELEMENTS: usize = 10_000;

/// What a function gives, or the reason why it can't, to be shown behind the function's name.
type Result<T> = std::result::Result<T, String>;

/// How many arguments a function takes.
#[derive(Debug, Clone, Copy)]
enum Arity {
    Exactly(usize),
    AtLeastOne,
    /// Any number, or a choice that the function checks itself.
    Any,
}

impl Arity {
    fn check(self, count: usize) -> Result<()> {
        match self {
            Self::Exactly(expected) if count != expected => {
                Err(format!("takes {expected} arguments, got {count}"))
            }
            Self::AtLeastOne if count == 0 => Err("needs an argument".into()),
            Self::Exactly(_) | Self::AtLeastOne | Self::Any => Ok(()),
        }
    }
}

/// Evaluates a function on arguments whose number has been checked. What it makes on the way is taken from the
/// scope's budget; its result is charged by the caller.
type Evaluate = fn(&[Value], &mut Scope) -> Result<Value>;

/// A function by the name that job files use.
struct Function {
    name: &'static str,
    arity: Arity,
    evaluate: Evaluate,
}

const fn function(name: &'static str, arity: Arity, evaluate: Evaluate) -> Function {
    Function { name, arity, evaluate }
}

/// Every function that job files may call.
const FUNCTIONS: &[Function] = &[
    function("upper", Arity::Exactly(1), strings::upper),
    function("lower", Arity::Exactly(1), strings::lower),
    function("title", Arity::Exactly(1), strings::title),
    function("chomp", Arity::Exactly(1), strings::chomp),
    function("strlen", Arity::Exactly(1), strings::strlen),
    function("trim", Arity::Exactly(2), strings::trim),
    function("trimspace", Arity::Exactly(1), strings::trimspace),
    function("trimprefix", Arity::Exactly(2), strings::trimprefix),
    function("trimsuffix", Arity::Exactly(2), strings::trimsuffix),
    function("startswith", Arity::Exactly(2), strings::startswith),
    function("endswith", Arity::Exactly(2), strings::endswith),
    function("strcontains", Arity::Exactly(2), strings::strcontains),
    function("replace", Arity::Exactly(3), strings::replace),
    function("substr", Arity::Exactly(3), strings::substr),
    function("join", Arity::Exactly(2), strings::join),
    function("split", Arity::Exactly(2), strings::split),
    function("format", Arity::AtLeastOne, format::format),
    function("formatlist", Arity::Any, format::formatlist),
    function("length", Arity::Exactly(1), collections::length),
    function("concat", Arity::Any, collections::concat),
    function("merge", Arity::Any, collections::merge),
    function("keys", Arity::Exactly(1), collections::keys),
    function("values", Arity::Exactly(1), collections::values),
    function("lookup", Arity::Any, collections::lookup),
    function("contains", Arity::Exactly(2), collections::contains),
    function("element", Arity::Exactly(2), collections::element),
    function("coalesce", Arity::Any, collections::coalesce),
    function("distinct", Arity::Exactly(1), collections::distinct),
    function("flatten", Arity::Exactly(1), collections::flatten),
    function("reverse", Arity::Exactly(1), collections::reverse),
    function("sort", Arity::Exactly(1), collections::sort),
    function("range", Arity::Any, numbers::range),
    function("min", Arity::AtLeastOne, numbers::min),
    function("max", Arity::AtLeastOne, numbers::max),
    function("ceil", Arity::Exactly(1), numbers::ceil),
    function("floor", Arity::Exactly(1), numbers::floor),
    function("abs", Arity::Exactly(1), numbers::abs),
    function("tostring", Arity::Exactly(1), conversions::to_string),
    function("tonumber", Arity::Exactly(1), conversions::to_number),
    function("tobool", Arity::Exactly(1), conversions::to_bool),
    function("tolist", Arity::Exactly(1), conversions::to_list),
    function("toset", Arity::Exactly(1), conversions::to_list),
    function("tomap", Arity::Exactly(1), conversions::to_map),
    function("jsonencode", Arity::Exactly(1), conversions::json_encode),
    function("jsondecode", Arity::Exactly(1), conversions::json_decode),
];

/// Functions that other tools know and that would read what a job file must not.
const READING_FUNCTIONS: &[&str] =
    &["file", "fileset", "fileexists", "filebase64", "templatefile", "env", "abspath", "pathexpand"];

/// Calls the function `name` with evaluated arguments.
///
/// # Errors
/// The reason, to be shown behind the function's name: it is unknown, or its arguments don't fit it, or the budget
/// is spent.
pub fn call(name: &str, arguments: &[Value], scope: &mut Scope) -> Result<Value> {
    let Some(function) = FUNCTIONS.iter().find(|function| function.name == name) else {
        return Err(unknown(name).into());
    };
    function.arity.check(arguments.len())?;
    (function.evaluate)(arguments, scope)
}

/// Why there is no function of this name.
fn unknown(name: &str) -> &'static str {
    if READING_FUNCTIONS.contains(&name) {
        "reads files or the environment, which a job file can't here; pass it as -var"
    } else {
        "is not known here"
    }
}
