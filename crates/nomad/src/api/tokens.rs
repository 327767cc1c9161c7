//! Access tokens, stored as hashes, and the permissions of their holders.

use serde::Deserialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// A token that the operators have issued.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Name of the token in logs and errors.
    pub name: String,
    /// SHA-256 of the token, as 64 hexadecimal digits (`printf %s TOKEN | sha256sum`).
    pub sha256: String,
    /// Namespaces that it gives access to; `*` is all.
    pub namespaces: Vec<String>,
    /// Whether it may register, stop and plan jobs; otherwise it may only read.
    #[serde(default)]
    pub write: bool,
}

/// The configured tokens with their hashes.
#[derive(Debug, Clone, PartialEq)]
pub struct Tokens {
    known: Vec<([u8; 32], Token)>,
}

/// The origin of a request, which determines its permissions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Caller<'a> {
    /// No tokens are configured: any local client has all permissions.
    Anybody,
    /// The holder of a token.
    Holder(&'a Token),
}

impl Tokens {
    /// Reads the configured tokens.
    ///
    /// # Errors
    /// One line for each fault, with the token's name and the remedy.
    pub fn new(tokens: &[Token]) -> Result<Self, Vec<String>> {
        let (mut known, mut faults) = (Vec::new(), Vec::new());
        for token in tokens {
            match parse_sha256(&token.sha256) {
                Some(hash) => known.push((hash, token.clone())),
                None => faults.push(format!(
                    "tokens.{}.sha256: must be 64 hexadecimal digits; make them with `printf %s TOKEN | sha256sum`",
                    token.name
                )),
            }
            if token.namespaces.is_empty() {
                faults.push(format!("tokens.{}.namespaces: is empty; name some, or \"*\"", token.name));
            }
        }
        if faults.is_empty() { Ok(Self { known }) } else { Err(faults) }
    }

    /// Whether no tokens are configured.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The caller with this token; none if the token is unknown. All hashes are compared, each in constant
    /// time, so that the response time does not reveal which token matched.
    pub fn caller(&self, token: Option<&str>) -> Option<Caller<'_>> {
        if self.known.is_empty() {
            return Some(Caller::Anybody);
        }
        let given: [u8; 32] = Sha256::digest(token?.as_bytes()).into();
        let mut found = None;
        for (hash, token) in &self.known {
            if bool::from(hash.ct_eq(&given)) {
                found = Some(Caller::Holder(token));
            }
        }
        found
    }
}

fn parse_sha256(hex: &str) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    for (byte, pair) in out.iter_mut().zip(hex.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(out)
}

impl Caller<'_> {
    /// Whether it may read a namespace; `*` is all.
    pub fn may_read(&self, namespace: &str) -> bool {
        match self {
            Caller::Anybody => true,
            Caller::Holder(token) => token.namespaces.iter().any(|n| n == "*" || n == namespace),
        }
    }

    /// Whether it may register and stop jobs in a namespace.
    pub fn may_write(&self, namespace: &str) -> bool {
        match self {
            Caller::Anybody => true,
            Caller::Holder(token) => token.write && self.may_read(namespace),
        }
    }
}

#[cfg(test)]
mod tests;
