//! Query strings, and the list pages that they select.

use crate::decode;
use pearford_scheduler::types::Duration;
use std::collections::BTreeMap;

/// Maximum number of elements on a page.
pub const MAX_PAGE: usize = 1000;
/// Maximum number of parameters that are read from a query; further ones are ignored.
const MAX_PARAMETERS: usize = 32;

/// Percent-decodes a text; none if the result is not UTF-8 or has control characters, which names can't
/// contain.
pub fn percent_decoded(text: &str) -> Option<String> {
    let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let high = digit(bytes.next())?;
            let low = digit(bytes.next())?;
            out.push((high * 16 + low) as u8);
        } else {
            out.push(byte);
        }
    }
    String::from_utf8(out).ok().filter(|text| !text.contains(char::is_control))
}

/// Parameters of a query string; the case of their names is ignored.
#[derive(Debug, Default)]
pub struct Query(BTreeMap<String, String>);

impl Query {
    /// Parses a query string; parameters that can't be decoded are ignored.
    pub fn of(text: &str) -> Self {
        let pairs = text.split('&').filter(|pair| !pair.is_empty()).take(MAX_PARAMETERS).filter_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            Some((key.to_ascii_lowercase(), percent_decoded(&value.replace('+', " "))?))
        });
        Self(pairs.collect())
    }

    /// A parameter's value, unless it is empty.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|value| !value.is_empty())
    }

    /// Whether a flag is given with a value other than `false` or `0`.
    pub fn has(&self, key: &str) -> bool {
        self.0.get(key).is_some_and(|value| value != "false" && value != "0")
    }

    /// A parameter as a non-negative integer; none if it is absent or not a number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }

    /// A parameter as a duration (`90s`, `5m`); none if it is absent or not a duration.
    pub fn duration(&self, key: &str) -> Option<Duration> {
        decode::duration(self.get(key)?).ok().map(Duration::from_secs_f64)
    }
}

/// The requested part of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Prefix that the names must have.
    pub prefix: String,
    /// Where the page begins: the `next_token` of the previous page, or empty for the first.
    pub from: String,
    /// Maximum number of elements on the page.
    pub most: usize,
}

impl Page {
    /// The page that a query's parameters give.
    ///
    /// # Errors
    /// The size is out of bounds, or a filter is given, which is not supported.
    pub fn of(query: &Query) -> Result<Self, String> {
        let most = match query.get("per_page").map(str::parse::<usize>) {
            None | Some(Ok(0)) => MAX_PAGE,
            Some(Ok(n)) if n <= MAX_PAGE => n,
            Some(_) => return Err(format!("per_page must be from 1 to {MAX_PAGE}")),
        };
        if query.get("filter").is_some() {
            return Err("`filter` is not known here; use `prefix`, or filter what comes".into());
        }
        let text = |key: &str| query.get(key).unwrap_or_default().to_string();
        Ok(Self { prefix: text("prefix"), from: text("next_token"), most })
    }
}
