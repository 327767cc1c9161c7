//! Job files of either form, and where their faults are.

use crate::decode;
use crate::fault::{Fault, Faults, Pos};
use crate::hcl::{self, Assignment, Budget, MAX_FILE};
use crate::translate::{Context, Job, translate};

/// Reads and translates a job file, HCL or JSON; the faults have their places in it.
pub fn job(text: &str, assignments: &[Assignment], context: &Context) -> Result<Job, Vec<Fault>> {
    let mut faults = Faults::default();
    if text.trim_start().starts_with('{') {
        let section = decode::api(&json(text)?, &mut faults);
        return translate(&section, context, faults).map_err(|faults| placed(text, faults));
    }
    let section = decode::file(&hcl::read(text, assignments, Budget::FILE, &mut faults)?, &mut faults);
    translate(&section, context, faults)
}

/// Reads a job file as the JSON that is registered, having checked it.
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

/// As `as_api`, of a file in HCL.
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
    let value: serde_json::Value = serde_json::from_str(text).map_err(|e| {
        refused(Pos { line: e.line() as u32, column: e.column() as u32 }, format!("is not JSON: {e}"))
    })?;
    Ok(match value {
        serde_json::Value::Object(mut map) if map.contains_key("Job") => {
            map.remove("Job").unwrap_or_default()
        }
        other => other,
    })
}

/// Gives faults of a JSON text their places.
fn placed(text: &str, mut faults: Vec<Fault>) -> Vec<Fault> {
    let mut finder = Finder { bytes: text.as_bytes(), at: 0, line: 1, line_starts: 0, found: Vec::new() };
    finder.value("Job", 0);
    for fault in faults.iter_mut().filter(|f| f.at == Pos::default()) {
        // The field itself, or the nearest one around it.
        let mut path = fault.path.as_str();
        loop {
            let at = finder.found.iter().find(|(p, _)| p.eq_ignore_ascii_case(path)).map(|(_, at)| *at);
            if let Some(at) = at {
                fault.at = at;
                break;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => break,
            }
        }
    }
    faults.sort_by_key(|f| f.at);
    faults
}

/// Walks a text that is known to be JSON and notes where each member is.
struct Finder<'a> {
    bytes: &'a [u8],
    at: usize,
    line: u32,
    line_starts: usize,
    found: Vec<(String, Pos)>,
}

const MAX_DEPTH: usize = 128;

impl Finder<'_> {
    fn next(&mut self) -> Option<u8> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        if byte == b'\n' {
            self.line += 1;
            self.line_starts = self.at;
        }
        Some(byte)
    }

    fn blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.next();
        }
    }

    fn pos(&self) -> Pos {
        Pos { line: self.line, column: (self.at - self.line_starts + 1) as u32 }
    }

    /// A string; what it says, as far as names go.
    fn string(&mut self) -> String {
        let from = self.at;
        self.next();
        loop {
            match self.next() {
                Some(b'\\') => {
                    self.next();
                }
                Some(b'"') | None => break,
                Some(_) => {}
            }
        }
        let quoted = self.bytes.get(from..self.at).unwrap_or_default();
        serde_json::from_slice(quoted).unwrap_or_default()
    }

    fn value(&mut self, path: &str, depth: usize) {
        self.blanks();
        if depth == 0 {
            self.found.push((path.into(), self.pos()));
        }
        match self.bytes.get(self.at) {
            Some(b'{') if depth < MAX_DEPTH => {
                self.next();
                self.members(path, depth);
            }
            Some(b'[') if depth < MAX_DEPTH => {
                self.next();
                let mut n = 0;
                loop {
                    self.blanks();
                    match self.bytes.get(self.at) {
                        Some(b']') | None => break,
                        Some(b',') => {
                            self.next();
                        }
                        _ => {
                            let path = format!("{path}[{n}]");
                            n += 1;
                            self.found.push((path.clone(), self.pos()));
                            self.value(&path, depth + 1);
                        }
                    }
                }
                self.next();
            }
            Some(b'"') => {
                self.string();
            }
            _ => {
                while self.bytes.get(self.at).is_some_and(|b| !b",]}".contains(b) && !b.is_ascii_whitespace())
                {
                    self.next();
                }
            }
        }
    }

    fn members(&mut self, path: &str, depth: usize) {
        loop {
            self.blanks();
            match self.bytes.get(self.at) {
                Some(b'"') => {
                    let at = self.pos();
                    let key = self.string();
                    // A request's `Job` is the job.
                    let inner =
                        if depth == 0 && key == "Job" { path.to_string() } else { format!("{path}.{key}") };
                    self.found.push((inner.clone(), at));
                    self.blanks();
                    self.next();
                    self.value(&inner, depth + 1);
                }
                Some(b',') => {
                    self.next();
                }
                _ => break,
            }
        }
        self.next();
    }
}
