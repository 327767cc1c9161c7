//! Golden bytes: the external form of each kind of record, message, request and answer.
//!
//! Each group of kinds has a file under the package's `tests/golden/`, one line per kind: its name, a tab,
//! its bytes (JSON and text as they are, postcard as hexadecimal digits). A test builds one value of each
//! kind with every field filled in, writes it by the function that the program uses, and compares. Where the
//! program also reads the kind, the test reads the recorded bytes and writes them again.
//!
//! A difference means that the program would no longer be compatible with nodes of the previous version,
//! stored records, workers, users or the platform. Bytes are recorded again only for an intended change of a
//! format: `PEARFORD_WRITE_GOLDEN=1 cargo test golden` writes the files, and the tests compare again from the
//! next build on. Continuous integration never sets the variable. Files named `..._read.txt` hold what other
//! programs send; they are written by hand and never recorded.

use crate::wire::HttpRequest;
use std::collections::BTreeSet;

/// Environment variable that makes the tests write the files instead of comparing with them.
const WRITE: &str = "PEARFORD_WRITE_GOLDEN";

/// The kinds recorded in one file.
#[derive(Debug)]
pub struct Group {
    path: &'static str,
    recorded: &'static str,
    written: Vec<(String, String)>,
    differences: Vec<String>,
}

/// The group whose file has this name, in `tests/golden/` of the calling package.
#[macro_export]
macro_rules! golden_group {
    ($file:literal) => {
        $crate::golden::Group::new(
            concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/", $file),
            include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/", $file)),
        )
    };
}

impl Group {
    /// A group for the file at `path`; `recorded` is its content when the test was built.
    pub fn new(path: &'static str, recorded: &'static str) -> Self {
        Self { path, recorded, written: Vec::new(), differences: Vec::new() }
    }

    /// Adds a kind that the program only writes.
    pub fn writes(&mut self, name: &str, bytes: impl Into<String>) {
        self.written.push((name.into(), bytes.into()));
    }

    /// Adds a kind that the program writes and reads. `rewrite` parses the recorded bytes and serializes them
    /// again.
    pub fn both_ways(
        &mut self,
        name: &str,
        bytes: impl Into<String>,
        rewrite: impl FnOnce(&str) -> Option<String>,
    ) {
        self.writes(name, bytes);
        let Some(recorded) = find(self.recorded, name).filter(|_| !is_recording()) else { return };
        match rewrite(recorded) {
            Some(again) if again == recorded => {}
            Some(again) => self.differences.push(format!("{name}: read and written again as\n  {again}")),
            None => self.differences.push(format!("{name}: the recorded bytes can't be read")),
        }
    }

    /// Compares all kinds, and panics with every difference found.
    pub fn finish(mut self) {
        let names: BTreeSet<&str> = self.written.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(names.len(), self.written.len(), "{}: a name is used twice", self.path);
        if is_recording() {
            let lines: Vec<String> =
                self.written.iter().map(|(name, bytes)| format!("{name}\t{bytes}\n")).collect();
            std::fs::write(self.path, lines.concat()).expect("the file can be written");
            return;
        }
        for (name, bytes) in &self.written {
            match find(self.recorded, name) {
                Some(recorded) if recorded == bytes => {}
                recorded => self.differences.push(format!(
                    "{name}: recorded\n  {}\nwritten now\n  {bytes}",
                    recorded.unwrap_or("nothing")
                )),
            }
        }
        for (name, _) in lines(self.recorded).filter(|(name, _)| !names.contains(name)) {
            self.differences.push(format!("{name}: recorded, but no longer written"));
        }
        assert!(self.differences.is_empty(), "{}:\n{}", self.path, self.differences.join("\n"));
    }
}

fn is_recording() -> bool {
    std::env::var(WRITE).is_ok_and(|value| value == "1")
}

fn lines(recorded: &str) -> impl Iterator<Item = (&str, &str)> {
    recorded.lines().filter_map(|line| line.split_once('\t'))
}

fn find<'a>(recorded: &'a str, name: &str) -> Option<&'a str> {
    lines(recorded).find(|(known, _)| *known == name).map(|(_, bytes)| bytes)
}

/// The bytes recorded under `name`.
pub fn recorded<'a>(file: &'a str, name: &str) -> &'a str {
    find(file, name).unwrap_or_else(|| panic!("there is no line `{name}`"))
}

/// Hexadecimal digits of bytes.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits; `None` if they are malformed.
pub fn from_hex(digits: &str) -> Option<Vec<u8>> {
    let byte = |at: usize| u8::from_str_radix(digits.get(at..at + 2)?, 16).ok();
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// A request as one line: method, path and body.
pub fn request_line(request: HttpRequest) -> String {
    let HttpRequest { method, path, body } = request;
    format!("{method} {path} {}", String::from_utf8_lossy(&body)).trim_end().to_string()
}
