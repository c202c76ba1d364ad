//! Parsing of TOML documents, with errors that state the line and the key.

use serde::de::DeserializeOwned;
use std::fmt;
use toml::{
    Spanned,
    de::{DeTable, DeValue, Error},
};

/// A key that is missing or unknown, or whose value is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentFault {
    /// Path of the key, such as `operation[2].path`; empty for the document itself.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl DocumentFault {
    /// Returns a fault of `key`.
    pub fn new(key: impl Into<String>, reason: impl Into<String>) -> DocumentFault {
        DocumentFault {
            key: key.into(),
            reason: reason.into(),
        }
    }
}

/// Why a document is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentError {
    /// Line of the fault, from 1; `None` if the document contains no part of the key.
    pub line: Option<usize>,
    /// The key and what is wrong with it.
    pub fault: DocumentFault,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.fault.key.is_empty() {
            write!(f, "key \"{}\": ", self.fault.key)?;
        }
        f.write_str(&self.fault.reason)
    }
}

impl std::error::Error for DocumentError {}

/// Parses `text` and validates the value with `check`.
///
/// # Errors
///
/// Returns an error if `text` is not TOML, a key is unknown or missing, a value has the wrong type,
/// or `check` returns a fault.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Result<(), DocumentFault>,
) -> Result<T, DocumentError> {
    let value = toml::from_str(text).map_err(|e| parse_error(text, &e))?;
    match check(&value) {
        Ok(()) => Ok(value),
        Err(fault) => Err(DocumentError {
            line: key_line(text, &fault.key),
            fault,
        }),
    }
}

fn parse_error(text: &str, error: &Error) -> DocumentError {
    let reason = error.message().to_owned();
    let position = error.span().map_or(0, |span| span.start);
    let path = DeTable::parse(text)
        .ok()
        .and_then(|table| key_at(table.get_ref(), position))
        .unwrap_or_default();
    let missing = missing_field(&reason);
    let line = match (&missing, path.is_empty()) {
        (Some(_), true) => None,
        _ => Some(line_of(text, position)),
    };
    let key = match missing {
        Some(field) => join(&path, field),
        None => path,
    };
    DocumentError {
        line,
        fault: DocumentFault { key, reason },
    }
}

fn missing_field(reason: &str) -> Option<&str> {
    let rest = reason.strip_prefix("missing field `")?;
    rest.split('`').next()
}

/// Returns the line of the deepest part of `key` that the document contains.
fn key_line(text: &str, key: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let mut found = None;
    let mut table = table.get_ref();
    for part in key.split('.') {
        let (name, index) = split_index(part);
        let Some((key, mut value)) = table.get_key_value(name) else {
            break;
        };
        found = Some(key.span().start);
        let element = index.and_then(|index| value.get_ref().get(index));
        if let Some(element) = element {
            found = Some(element.span().start);
            value = element;
        }
        match value.get_ref() {
            DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    found.map(|position| line_of(text, position))
}

/// Splits `operation[2]` into its name and index.
fn split_index(part: &str) -> (&str, Option<usize>) {
    let Some((name, rest)) = part.split_once('[') else {
        return (part, None);
    };
    (name, rest.trim_end_matches(']').parse().ok())
}

/// Returns the path of the key or value at byte `position`.
fn key_at(table: &DeTable<'_>, position: usize) -> Option<String> {
    table.iter().find_map(|(key, value)| {
        let name = key.get_ref().as_ref();
        if key.span().contains(&position) {
            return Some(name.to_owned());
        }
        value_at(name, value, position)
    })
}

fn value_at(path: &str, value: &Spanned<DeValue<'_>>, position: usize) -> Option<String> {
    let inner = match value.get_ref() {
        DeValue::Table(table) => key_at(table, position).map(|key| join(path, &key)),
        DeValue::Array(array) => array
            .iter()
            .enumerate()
            .find_map(|(idx, value)| value_at(&format!("{path}[{idx}]"), value, position)),
        _ => None,
    };
    let here = || value.span().contains(&position).then(|| path.to_owned());
    inner.or_else(here)
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn line_of(text: &str, position: usize) -> usize {
    let before = &text.as_bytes()[..position.min(text.len())];
    before.iter().filter(|&&b| b == b'\n').count() + 1
}
