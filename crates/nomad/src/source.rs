//! Job files of either form, and where their faults are.

use crate::decode;
use crate::fault::{Fault, Faults, Pos};
use crate::hcl::{self, Assignment, Budget, MAX_FILE};
use crate::json_places::place_faults;
use crate::translate::{Context, Job, translate};

/// Reads and translates a job file, HCL or JSON.
///
/// # Errors
/// Everything that is wrong with it, with places in the text.
pub fn job(text: &str, assignments: &[Assignment], context: &Context) -> Result<Job, Vec<Fault>> {
    let mut faults = Faults::default();
    if text.trim_start().starts_with('{') {
        let section = decode::api(&json(text)?, &mut faults);
        return translate(&section, context, faults).map_err(|faults| place_faults(text, faults));
    }
    let section = decode::file(&hcl::read(text, assignments, Budget::FILE, &mut faults)?, &mut faults);
    translate(&section, context, faults)
}

/// Reads a job file as the JSON that is registered, having checked it.
///
/// # Errors
/// Everything that is wrong with it, with places in the text.
pub fn as_api(
    text: &str,
    assignments: &[Assignment],
    context: &Context,
) -> Result<serde_json::Value, Vec<Fault>> {
    if text.trim_start().starts_with('{') {
        job(text, assignments, context)?;
        return json(text);
    }
    hcl_as_api(text, assignments, Budget::FILE, context)
}

/// As [`as_api`], of a file in HCL and within a budget.
///
/// # Errors
/// Everything that is wrong with it, with places in the text.
pub fn hcl_as_api(
    text: &str,
    assignments: &[Assignment],
    budget: Budget,
    context: &Context,
) -> Result<serde_json::Value, Vec<Fault>> {
    let mut faults = Faults::default();
    let section = decode::file(&hcl::read(text, assignments, budget, &mut faults)?, &mut faults);
    translate(&section, context, faults)?;
    Ok(section.to_api("job"))
}

/// A job in JSON: as it is, or as the `Job` of a request.
fn json(text: &str) -> Result<serde_json::Value, Vec<Fault>> {
    let refused = |at, reason: String| vec![Fault { at, path: "(file)".into(), reason }];
    if text.len() > MAX_FILE {
        return Err(refused(Pos::default(), format!("holds more than {MAX_FILE} bytes")));
    }
    let value: serde_json::Value = serde_json::from_str(text).map_err(|error| {
        let at = Pos { line: error.line() as u32, column: error.column() as u32 };
        refused(at, format!("is not JSON: {error}"))
    })?;
    match value {
        serde_json::Value::Object(mut members) if members.contains_key("Job") => {
            Ok(members.remove("Job").unwrap_or_default())
        }
        other => Ok(other),
    }
}
