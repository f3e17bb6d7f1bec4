//! Documents, their fields, and the strictness of values. A process that cannot know which of several values is in
//! force acts by a value that none of them forbids.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Which requests of a class may be sent again; the strictest rule is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// None of them.
    Never,
    /// Only requests with a key by which nodes drop repeats.
    Keyed,
    /// All of them.
    Always,
}

/// A field's value. All but `Plain` are rules that bind processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Value {
    /// A rate limit, in units per second.
    Limit {
        /// The limit on all processes together.
        rate: f64,
        /// An edit that sets the rate below this comes into force only after all long leases have expired.
        least: f64,
    },
    /// The limit on attempts at one request, the first one included.
    Attempts(u32),
    /// Which requests of a class may be repeated.
    Repeats(Repeats),
    /// Whether a node gets requests; `false` if an operator took it out of rotation.
    Node(bool),
    /// A weight, value or name. Processes that disagree about it violate no rule.
    Plain(String),
}

/// The leases that a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseLevel {
    /// Neither: no rule that the process knows is certain to be up to date.
    NoLease,
    /// Only the long lease.
    LongLease,
    /// Both leases.
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

    /// The stricter of two values of one kind: acting on it violates neither. For values of different kinds,
    /// it is the value on which a process without a lease may act.
    pub fn strictest(&self, other: &Value) -> Value {
        match (self, other) {
            (Value::Limit { rate: a, least: c }, Value::Limit { rate: b, least: d }) => {
                Value::Limit { rate: a.min(*b), least: c.min(*d) }
            }
            (Value::Attempts(a), Value::Attempts(b)) => Value::Attempts(*a.min(b)),
            (Value::Repeats(a), Value::Repeats(b)) => Value::Repeats(*a.min(b)),
            (Value::Node(a), Value::Node(b)) => Value::Node(*a && *b),
            (_, Value::Plain(_)) => other.clone(),
            (a, b) if a.kind() == b.kind() => a.clone(),
            _ => other.at_level(LeaseLevel::NoLease),
        }
    }

    /// The value on which a process that knows this value may act with the leases `level`.
    pub fn at_level(&self, level: LeaseLevel) -> Value {
        match (self, level) {
            (value, LeaseLevel::FullLease) => value.clone(),
            (Value::Limit { least, .. }, LeaseLevel::LongLease) => {
                Value::Limit { rate: *least, least: *least }
            }
            (Value::Limit { .. }, LeaseLevel::NoLease) => Value::Limit { rate: 0.0, least: 0.0 },
            (Value::Attempts(_), _) => Value::Attempts(1),
            (Value::Repeats(_), _) => Value::Repeats(Repeats::Never),
            (Value::Node(in_rotation), LeaseLevel::LongLease) => Value::Node(*in_rotation),
            (Value::Node(_), LeaseLevel::NoLease) => Value::Node(false),
            (Value::Plain(_), _) => self.clone(),
        }
    }

    /// Whether acting on this value violates no rule of the other. The guarantee requires this of each field.
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

    /// Whether a process that knows only this value could violate the other on its long lease. Such a change
    /// has to wait until the long leases have expired; other changes do not.
    fn needs_long_lease(&self, other: &Value) -> bool {
        !self.at_level(LeaseLevel::LongLease).satisfies(other)
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

/// A document: its fields and its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The number of edits so far; 0: never edited.
    pub version: u64,
    /// Values by field name.
    pub fields: BTreeMap<String, Value>,
    /// The version that last changed each field, including removed fields.
    changed: BTreeMap<String, u64>,
}

/// An atomic change of fields in one or more documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Idempotency key: an edit that is sent again with the same id is applied once.
    pub id: u64,
    /// Changes by document.
    pub parts: BTreeMap<String, DocumentChange>,
    /// The operator's name.
    pub who: String,
    /// The operator's reason, for the history.
    pub why: String,
    /// Unix time in milliseconds by the editor's clock, for the history only.
    pub at_ms: u64,
}

/// The changes of an edit to one document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    /// The version that the editor changed.
    pub base: u64,
    /// New values by field name; `None` removes the field.
    pub changes: BTreeMap<String, Option<Value>>,
}

/// Estimated size of a field without its name.
const FIELD_OVERHEAD_BYTES: usize = 48;

impl Edit {
    /// The edit's estimated size in bytes, without the text of plain values.
    pub fn weight(&self) -> usize {
        let part = |(name, part): (&String, &DocumentChange)| {
            name.len()
                + FIELD_OVERHEAD_BYTES
                + part.changes.keys().map(|name| name.len() + FIELD_OVERHEAD_BYTES).sum::<usize>()
        };
        self.who.len() + self.why.len() + FIELD_OVERHEAD_BYTES + self.parts.iter().map(part).sum::<usize>()
    }
}

/// Why an edit is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditRejection {
    /// These fields were changed since `base`.
    Conflict(Vec<String>),
    /// `base` is a version that does not exist yet.
    Ahead,
    /// A value is invalid.
    Fault {
        /// The field of the value.
        field: String,
        /// The condition that the value does not meet.
        what: String,
    },
    /// The edit changes a field's kind of value, or removes a rule: a process could not know that there was one.
    Kind {
        /// The field.
        field: String,
    },
    /// The edit changes no field.
    Empty,
    /// All documents together would be larger than one message.
    Full,
}

impl EditRejection {
    /// Returns the rejection with the document's name before each field.
    pub fn in_document(self, document: &str) -> EditRejection {
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
    /// The document's estimated size in bytes, without the text of plain values.
    pub fn weight(&self) -> usize {
        self.fields.keys().map(|name| name.len() + FIELD_OVERHEAD_BYTES).sum()
    }

    /// The version that last changed a field.
    pub fn changed(&self, field: &str) -> u64 {
        self.changed.get(field).copied().unwrap_or(0)
    }

    /// The document after an edit. Edits of the same base version merge if they change different fields.
    ///
    /// # Errors
    ///
    /// See [`EditRejection`].
    pub fn edited(&self, edit: &DocumentChange) -> Result<Document, EditRejection> {
        if edit.changes.is_empty() {
            return Err(EditRejection::Empty);
        }
        if edit.base > self.version {
            return Err(EditRejection::Ahead);
        }
        let changed_since =
            |field: &&String| self.changed.get(*field).is_some_and(|version| *version > edit.base);
        let conflicts: Vec<String> = edit.changes.keys().filter(changed_since).cloned().collect();
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

    /// Whether processes that know only this version could violate rules of `after` on their long leases. They could
    /// violate any new rule, since only processes that have prepared for it follow it.
    pub fn needs_long_lease(&self, after: &Document) -> bool {
        after.fields.iter().any(|(field, value)| match self.fields.get(field) {
            Some(before) => before.needs_long_lease(value),
            None => !matches!(value, Value::Plain(_)),
        })
    }
}

#[cfg(test)]
mod tests;
