//! Suggestions for misspelt names.

use super::{Origin, name_of};
use crate::fields::{self, Field};

/// Edits between a misspelt name and the one that is suggested, at most.
const MAX_EDITS: usize = 2;
/// Characters of a name that are compared.
const MAX_COMPARED: usize = 64;

/// The field that a misspelt one was probably meant to be.
pub fn nearest(form: &str, key: &str, origin: Origin) -> Option<&'static Field> {
    let named = fields::of_form(form).filter(|field| !name_of(field, origin).is_empty());
    let (edits, field) =
        named.map(|field| (distance(name_of(field, origin), key), field)).min_by_key(|(edits, _)| *edits)?;
    (edits <= MAX_EDITS && edits < name_of(field, origin).len()).then_some(field)
}

/// Edits from one name to another (Levenshtein's distance, whatever their case).
pub(crate) fn distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().take(MAX_COMPARED).collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (index, from_letter) in from.chars().take(MAX_COMPARED).enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, to_letter) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(!from_letter.eq_ignore_ascii_case(to_letter));
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[to.len()]
}
