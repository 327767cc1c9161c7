//! Where members stand in a JSON text, so that faults of a job in JSON have their places. `source` calls it.

use crate::fault::{Fault, Pos};

/// How deep the text is searched; members further in have the place of the nearest one around them.
const MAX_DEPTH: usize = 128;

/// Gives faults of a JSON text their places.
pub fn place_faults(text: &str, mut faults: Vec<Fault>) -> Vec<Fault> {
    let mut finder = MemberFinder::new(text);
    finder.value("Job", 0);
    for fault in &mut faults {
        if fault.at == Pos::default()
            && let Some(at) = finder.nearest(&fault.path)
        {
            fault.at = at;
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// A member or element that has been found.
struct Member {
    /// From the top: `Job.TaskGroups[0].Count`.
    path: String,
    at: Pos,
}

/// Goes through a text that is known to be JSON and notes where each member is.
struct MemberFinder<'a> {
    bytes: &'a [u8],
    /// The next byte to be read.
    offset: usize,
    line: u32,
    /// Where the line begins.
    line_start: usize,
    found: Vec<Member>,
}

impl<'a> MemberFinder<'a> {
    fn new(text: &'a str) -> Self {
        Self { bytes: text.as_bytes(), offset: 0, line: 1, line_start: 0, found: Vec::new() }
    }

    /// The place of a member, or of the nearest one around it.
    fn nearest(&self, path: &str) -> Option<Pos> {
        let mut path = path;
        loop {
            if let Some(member) = self.found.iter().find(|member| member.path.eq_ignore_ascii_case(path)) {
                return Some(member.at);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    fn note(&mut self, path: &str, at: Pos) {
        self.found.push(Member { path: path.into(), at });
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.offset).copied()
    }

    fn next(&mut self) -> Option<u8> {
        let byte = self.peek()?;
        self.offset += 1;
        if byte == b'\n' {
            self.line += 1;
            self.line_start = self.offset;
        }
        Some(byte)
    }

    fn skip_blanks(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.next();
        }
    }

    fn position(&self) -> Pos {
        Pos { line: self.line, column: (self.offset - self.line_start + 1) as u32 }
    }

    /// Reads a string; empty if it can't be decoded, as no member is named so.
    fn string(&mut self) -> String {
        let start = self.offset;
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
        let quoted = self.bytes.get(start..self.offset).unwrap_or_default();
        serde_json::from_slice(quoted).unwrap_or_default()
    }

    fn value(&mut self, path: &str, depth: usize) {
        self.skip_blanks();
        if depth == 0 {
            self.note(path, self.position());
        }
        match self.peek() {
            Some(b'{') if depth < MAX_DEPTH => self.members(path, depth),
            Some(b'[') if depth < MAX_DEPTH => self.elements(path, depth),
            Some(b'"') => {
                self.string();
            }
            _ => self.skip_literal(),
        }
    }

    /// Skips a number, `true`, `false` or `null`.
    fn skip_literal(&mut self) {
        while self.peek().is_some_and(|byte| !b",]}".contains(&byte) && !byte.is_ascii_whitespace()) {
            self.next();
        }
    }

    /// Reads an array, from its bracket on.
    fn elements(&mut self, path: &str, depth: usize) {
        self.next();
        let mut index = 0;
        loop {
            self.skip_blanks();
            match self.peek() {
                Some(b']') | None => break,
                Some(b',') => {
                    self.next();
                }
                Some(_) => {
                    let path = format!("{path}[{index}]");
                    index += 1;
                    self.note(&path, self.position());
                    self.value(&path, depth + 1);
                }
            }
        }
        self.next();
    }

    /// Reads an object, from its brace on.
    fn members(&mut self, path: &str, depth: usize) {
        self.next();
        loop {
            self.skip_blanks();
            match self.peek() {
                Some(b'"') => self.member(path, depth),
                Some(b',') => {
                    self.next();
                }
                _ => break,
            }
        }
        self.next();
    }

    fn member(&mut self, path: &str, depth: usize) {
        let at = self.position();
        let key = self.string();
        // A request's `Job` is the job.
        let path = if depth == 0 && key == "Job" { path.to_string() } else { format!("{path}.{key}") };
        self.note(&path, at);
        self.skip_blanks();
        self.next();
        self.value(&path, depth + 1);
    }
}
