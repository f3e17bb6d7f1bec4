//! Documents, their fields, and how strict each value is. Whoever does not know which of several values is in
//! force acts by one that none of them forbids.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// How often a class's requests may be repeated, the fewest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    Never,
    Keyed,
    Always,
}

/// A field's value. All but `Plain` decide what a head may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Value {
    /// Units a second over all heads; and what it is never set below without waiting for the long leases.
    Limit {
        rate: f64,
        least: f64,
    },
    /// Attempts at one request.
    Attempts(u32),
    Repeats(Repeats),
    /// Whether a node takes requests: `false` where it is taken out by hand.
    Node(bool),
    /// Weights, worths, names: heads that differ in these break no rule.
    Plain(String),
}

/// How fresh a head's knowledge is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseLevel {
    /// Neither lease runs.
    NoLease,
    /// The long lease runs.
    LongLease,
    /// Both do.
    FullLease,
}

impl Value {
    fn kind(&self) -> &'static str {
        match self {
            Value::Limit { .. } => "limit",
            Value::Attempts(_) => "attempts",
            Value::Repeats(_) => "repeats",
            Value::Node(_) => "node",
            Value::Plain(_) => "plain",
        }
    }

    /// What neither of two values forbids. Of two kinds there is none but what a head does at `NoLease`.
    pub fn safe(&self, other: &Value) -> Value {
        match (self, other) {
            (Value::Limit { rate: a, least: c }, Value::Limit { rate: b, least: d }) => {
                Value::Limit { rate: a.min(*b), least: c.min(*d) }
            }
            (Value::Attempts(a), Value::Attempts(b)) => Value::Attempts(*a.min(b)),
            (Value::Repeats(a), Value::Repeats(b)) => Value::Repeats(*a.min(b)),
            (Value::Node(a), Value::Node(b)) => Value::Node(*a && *b),
            (_, Value::Plain(_)) => other.clone(),
            (a, b) if a.kind() == b.kind() => a.clone(),
            _ => other.at(LeaseLevel::NoLease),
        }
    }

    /// What a head acts on that knows this value, by how fresh that knowledge is.
    pub fn at(&self, level: LeaseLevel) -> Value {
        match (self, level) {
            (value, LeaseLevel::FullLease) => value.clone(),
            (Value::Limit { least, .. }, LeaseLevel::LongLease) => {
                Value::Limit { rate: *least, least: *least }
            }
            (Value::Limit { .. }, LeaseLevel::NoLease) => Value::Limit { rate: 0.0, least: 0.0 },
            (Value::Attempts(_), _) => Value::Attempts(1),
            (Value::Repeats(_), _) => Value::Repeats(Repeats::Never),
            (Value::Node(takes), LeaseLevel::LongLease) => Value::Node(*takes),
            (Value::Node(_), LeaseLevel::NoLease) => Value::Node(false),
            (Value::Plain(_), _) => self.clone(),
        }
    }

    /// Whether whoever acts on this keeps to that as well: the promise, field by field.
    pub fn satisfies(&self, other: &Value) -> bool {
        match (self, other) {
            (Value::Limit { rate: a, .. }, Value::Limit { rate: b, .. }) => a <= b,
            (Value::Attempts(a), Value::Attempts(b)) => a <= b,
            (Value::Repeats(a), Value::Repeats(b)) => a <= b,
            (Value::Node(a), Value::Node(b)) => *b || !*a,
            (Value::Plain(_), _) | (_, Value::Plain(_)) => true,
            _ => false,
        }
    }

    /// Whether a head at `LongLease` that knows this one would not keep to that one: only then have long
    /// leases to end.
    fn needs_long_lease(&self, other: &Value) -> bool {
        !self.at(LeaseLevel::LongLease).satisfies(other)
    }

    fn validation_error(&self) -> Option<&'static str> {
        match self {
            Value::Limit { rate, least } if !(rate.is_finite() && least.is_finite()) => {
                Some("a limit is a finite number")
            }
            Value::Limit { rate, least } if *least < 0.0 || rate < least => {
                Some("a limit is at least its `least`, which is at least 0")
            }
            Value::Attempts(0) => Some("there is one attempt at least"),
            _ => None,
        }
    }
}

/// A document: its fields, and the number of its edits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    pub version: u64,
    pub fields: BTreeMap<String, Value>,
    /// The version that last changed each field, those taken out included.
    changed: BTreeMap<String, u64>,
}

/// Some fields of documents, changed by somebody who saw each of these at its version `base`. All of it or
/// nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Whoever sends it again sends the same: it counts once.
    pub id: u64,
    pub parts: BTreeMap<String, DocumentChange>,
    pub who: String,
    pub why: String,
    /// Unix milliseconds at whoever made it: told, never decided by.
    pub at_ms: u64,
}

/// What an edit changes of one document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    pub base: u64,
    /// `None`: the field is taken out.
    pub changes: BTreeMap<String, Option<Value>>,
}

/// About how many bytes a field takes beside its name.
const FIELD_OVERHEAD_BYTES: usize = 48;

impl Edit {
    pub fn weight(&self) -> usize {
        let part = |(name, part): (&String, &DocumentChange)| {
            name.len()
                + FIELD_OVERHEAD_BYTES
                + part.changes.keys().map(|name| name.len() + FIELD_OVERHEAD_BYTES).sum::<usize>()
        };
        self.who.len() + self.why.len() + FIELD_OVERHEAD_BYTES + self.parts.iter().map(part).sum::<usize>()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditRejection {
    /// Somebody else changed these fields since `base`.
    Conflict(Vec<String>),
    /// A document has no such version yet.
    Ahead,
    Fault {
        field: String,
        what: String,
    },
    /// Rules cannot be taken out: a head could not know that there was one.
    Kind {
        field: String,
    },
    Empty,
    /// All documents together would be larger than may be.
    Full,
}

impl EditRejection {
    /// The same with the document named.
    pub fn of(self, document: &str) -> EditRejection {
        let named = |field: String| format!("{document}.{field}");
        match self {
            EditRejection::Conflict(fields) => {
                EditRejection::Conflict(fields.into_iter().map(named).collect())
            }
            EditRejection::Fault { field, what } => EditRejection::Fault { field: named(field), what },
            EditRejection::Kind { field } => EditRejection::Kind { field: named(field) },
            other => other,
        }
    }
}

impl fmt::Display for EditRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditRejection::Conflict(fields) => {
                write!(f, "changed by somebody else since: {}", fields.join(", "))
            }
            EditRejection::Ahead => write!(f, "its base is a version that does not exist"),
            EditRejection::Fault { field, what } => write!(f, "{field}: {what}"),
            EditRejection::Kind { field } => {
                write!(f, "{field}: its kind of value cannot change, nor be taken out")
            }
            EditRejection::Empty => write!(f, "it changes nothing"),
            EditRejection::Full => write!(f, "all documents together would be larger than may be"),
        }
    }
}

impl Document {
    pub fn weight(&self) -> usize {
        self.fields.keys().map(|name| name.len() + FIELD_OVERHEAD_BYTES).sum()
    }

    /// The version that last changed a field.
    pub fn changed(&self, field: &str) -> u64 {
        self.changed.get(field).copied().unwrap_or(0)
    }

    /// The document after an edit. Edits on one base go together where they touch different fields.
    pub fn edited(&self, edit: &DocumentChange) -> Result<Document, EditRejection> {
        if edit.changes.is_empty() {
            return Err(EditRejection::Empty);
        }
        if edit.base > self.version {
            return Err(EditRejection::Ahead);
        }
        let since = |field: &&String| self.changed.get(*field).is_some_and(|version| *version > edit.base);
        let conflicts: Vec<String> = edit.changes.keys().filter(since).cloned().collect();
        if !conflicts.is_empty() {
            return Err(EditRejection::Conflict(conflicts));
        }
        let mut after = self.clone();
        after.version += 1;
        for (field, change) in &edit.changes {
            let before = self.fields.get(field);
            let same_kind = match (before, change) {
                (Some(before), Some(value)) => before.kind() == value.kind(),
                (Some(before), None) => matches!(before, Value::Plain(_)),
                (None, _) => true,
            };
            if !same_kind {
                return Err(EditRejection::Kind { field: field.clone() });
            }
            if let Some(what) = change.as_ref().and_then(Value::validation_error) {
                return Err(EditRejection::Fault { field: field.clone(), what: what.into() });
            }
            match change {
                Some(value) => drop(after.fields.insert(field.clone(), value.clone())),
                None => drop(after.fields.remove(field)),
            }
            after.changed.insert(field.clone(), after.version);
        }
        Ok(after)
    }

    /// Whether heads that know only this one could act against `after` on their long leases. A rule that is
    /// new is known to nobody who has not prepared for it: they act without.
    pub fn needs_long_lease(&self, after: &Document) -> bool {
        after.fields.iter().any(|(field, value)| match self.fields.get(field) {
            Some(before) => before.needs_long_lease(value),
            None => !matches!(value, Value::Plain(_)),
        })
    }
}

#[cfg(test)]
mod tests;
