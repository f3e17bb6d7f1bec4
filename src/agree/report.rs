//! Parses and formats documents and their history as text for operators. The module has no I/O.

use super::document::{Document, DocumentChange, Edit, Repeats, Value};
use super::{Command, Entry, Index};
use std::collections::BTreeMap;
use std::fmt::Write;
use thiserror::Error;

/// Why a value or a change cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The text is not a value in any of the known forms.
    #[error(
        "{0:?} is not a value: expected limit:RATE[,LEAST], attempts:N, repeats:never|keyed|always, node:in|out, plain:TEXT or none"
    )]
    Value(String),
    /// There is no `=` between field and value.
    #[error("{0:?}: expected FIELD=VALUE")]
    Change(String),
    /// The field's name is empty or contains control characters.
    #[error("{0:?}: the field's name is empty or contains control characters")]
    FieldName(String),
}

/// Parses a value: `limit:RATE[,LEAST]`, `attempts:N`, `repeats:never|keyed|always`, `node:in|out` or `plain:TEXT`;
/// `none` removes a plain field.
pub fn parse_value(text: &str) -> Result<Option<Value>, ParseError> {
    let invalid = || ParseError::Value(text.to_string());
    if text == "none" {
        return Ok(None);
    }
    let (kind, rest) = text.split_once(':').ok_or_else(invalid)?;
    let number =
        |text: &str| text.parse::<f64>().ok().filter(|number| number.is_finite()).ok_or_else(invalid);
    Ok(Some(match (kind, rest) {
        ("limit", rest) => {
            let (rate, least) = rest.split_once(',').unwrap_or((rest, "0"));
            Value::Limit { rate: number(rate)?, least: number(least)? }
        }
        ("attempts", rest) => Value::Attempts(rest.parse().map_err(|_| invalid())?),
        ("repeats", "never") => Value::Repeats(Repeats::Never),
        ("repeats", "keyed") => Value::Repeats(Repeats::Keyed),
        ("repeats", "always") => Value::Repeats(Repeats::Always),
        ("node", "in") => Value::Node(true),
        ("node", "out") => Value::Node(false),
        ("plain", rest) => Value::Plain(rest.to_string()),
        _ => return Err(invalid()),
    }))
}

/// Formats a value in the form that [`parse_value`] reads.
pub fn value(value: &Value) -> String {
    match value {
        Value::Limit { rate, least } => format!("limit:{rate},{least}"),
        Value::Attempts(most) => format!("attempts:{most}"),
        Value::Repeats(Repeats::Never) => "repeats:never".into(),
        Value::Repeats(Repeats::Keyed) => "repeats:keyed".into(),
        Value::Repeats(Repeats::Always) => "repeats:always".into(),
        Value::Node(true) => "node:in".into(),
        Value::Node(false) => "node:out".into(),
        Value::Plain(text) => format!("plain:{text}"),
    }
}

/// Parses a field and its value: `FIELD=VALUE`.
pub fn parse_change(text: &str) -> Result<(String, Option<Value>), ParseError> {
    let (field, value) = text.split_once('=').ok_or_else(|| ParseError::Change(text.to_string()))?;
    if field.is_empty() || field.chars().any(char::is_control) {
        return Err(ParseError::FieldName(text.to_string()));
    }
    Ok((field.to_string(), parse_value(value)?))
}

/// Formats a document with its fields, one per line; `note` follows the version.
pub fn document(name: &str, document: &Document, note: &str) -> String {
    let mut text = format!("{name} version {}{note}\n", document.version);
    for (field, at) in &document.fields {
        let _ = writeln!(text, "  {field}={} (since version {})", value(at), document.changed(field));
    }
    text
}

/// Formats an entry for the history of the document `only`, or of all documents. `None`: the entry is not part of it.
pub fn entry(index: Index, entry: &Entry, only: Option<&str>) -> Option<String> {
    match &entry.command {
        Command::Noop => None,
        Command::ActivateUpTo(to) => only.is_none().then(|| format!("{index}: in force up to {to}\n")),
        Command::Voters(voters) => only.is_none().then(|| {
            let voters: Vec<String> = voters.iter().map(|(id, at)| format!("{id} at {at}")).collect();
            format!("{index}: voters {}\n", voters.join(", "))
        }),
        Command::Edit(edit) => {
            let parts: Vec<(&String, &DocumentChange)> =
                edit.parts.iter().filter(|(name, _)| only.is_none_or(|only| only == *name)).collect();
            if parts.is_empty() {
                return None;
            }
            let mut text =
                format!("{index}: edit {} by {} at {}: {}\n", edit.id, edit.who, time(edit.at_ms), edit.why);
            for (name, part) in parts {
                for (field, change) in &part.changes {
                    let to = change.as_ref().map_or("none".to_string(), value);
                    let _ = writeln!(text, "  {name}.{field}={to} (on version {})", part.base);
                }
            }
            Some(text)
        }
    }
}

fn time(at_ms: u64) -> String {
    match jiff::Timestamp::from_millisecond(i64::try_from(at_ms).unwrap_or(i64::MAX)) {
        Ok(time) => time.to_string(),
        Err(_) => format!("{at_ms} ms"),
    }
}

/// Every version of one document, from the beginning of the log. A rejected edit makes no version.
pub fn versions<'a>(entries: impl Iterator<Item = &'a Entry>, name: &str) -> Vec<Document> {
    let (mut state, mut versions) =
        (super::document_state::DocumentState::default(), vec![Document::default()]);
    for entry in entries {
        state.apply(entry);
        if let Some(document) = state.latest(name)
            && versions.last().is_some_and(|last| last.version < document.version)
        {
            versions.push(document.clone());
        }
    }
    versions
}

/// Formats the fields in which two versions differ, one per line.
pub fn diff(before: &Document, after: &Document) -> String {
    let mut text = String::new();
    let fields: BTreeMap<&String, ()> =
        before.fields.keys().chain(after.fields.keys()).map(|field| (field, ())).collect();
    for field in fields.into_keys() {
        let (was, is) = (before.fields.get(field), after.fields.get(field));
        if was != is {
            let format = |at: Option<&Value>| at.map_or("none".to_string(), value);
            let _ = writeln!(text, "{field}: {} -> {}", format(was), format(is));
        }
    }
    text
}

/// Creates an edit of one document from changes in the form that [`parse_change`] reads.
pub fn edit(
    id: u64,
    name: &str,
    base: u64,
    changes: &[String],
    (who, why, at_ms): (&str, &str, u64),
) -> Result<Edit, ParseError> {
    let changes = changes.iter().map(|change| parse_change(change)).collect::<Result<_, _>>()?;
    let parts = BTreeMap::from([(name.to_string(), DocumentChange { base, changes })]);
    Ok(Edit { id, parts, who: who.into(), why: why.into(), at_ms })
}

#[cfg(test)]
mod tests;
