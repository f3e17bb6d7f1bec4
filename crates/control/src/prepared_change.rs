//! A change that is prepared for its evaluation: parsed, and applied to a copy of the document. The cost of
//! the preparation grows with the change. The preparation needs the document only, so a caller can run it
//! outside its event loop.

use crate::checked_document::CheckedDocument;
use crate::configuration::Rejection;
use crate::document::{self, AbsentLists};
use crate::state::{Change, ChangeKind};
use pathbank_coordination::digest::digest;
use serde_json::Value;

/// The configuration that a change is prepared against. Copies share their items.
#[derive(Clone, Debug, Default)]
pub struct ChangeBasis {
    document: Option<CheckedDocument>,
    /// The index of the log entry that brought the document; 0: there is none yet.
    index: u64,
    version: u64,
}

/// A change, with the document that results from it.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    /// The digest by which the change is recognised if it is sent again.
    digest: u128,
    /// The index of the log entry that brought the document of the basis.
    basis_index: u64,
    /// The resulting document; `None`: the change names another version than the basis has.
    document: Option<Result<CheckedDocument, Rejection>>,
}

impl ChangeBasis {
    /// The configuration of a log entry.
    pub(crate) fn new(document: Option<CheckedDocument>, index: u64, version: u64) -> ChangeBasis {
        ChangeBasis { document, index, version }
    }

    /// Parses a change, and applies it to a copy of the document if it builds on the version of this basis.
    ///
    /// # Errors
    ///
    /// The body is no JSON object.
    pub fn prepare(&self, change: &Change) -> Result<PreparedChange, Rejection> {
        let body = document::parse_object(change.body.as_bytes())?;
        let digest = digest_of(change, &body);
        let document = (change.base == self.version).then(|| self.document_after(change.kind, body));
        Ok(PreparedChange { digest, basis_index: self.index, document })
    }

    fn document_after(&self, kind: ChangeKind, body: Value) -> Result<CheckedDocument, Rejection> {
        match (kind, body) {
            (ChangeKind::Replace, Value::Object(body)) => CheckedDocument::replaced(body, self.version),
            (ChangeKind::UpdateItems, body) => self.updated(&body, AbsentLists::StayAbsent),
            (ChangeKind::Replace | ChangeKind::Update, body) => self.updated(&body, AbsentLists::Appear),
        }
    }

    fn updated(&self, body: &Value, absent_lists: AbsentLists) -> Result<CheckedDocument, Rejection> {
        let empty = CheckedDocument::default();
        self.document.as_ref().unwrap_or(&empty).updated(body, absent_lists, self.version)
    }
}

impl PreparedChange {
    /// The digest by which the change is recognised if it is sent again.
    pub(crate) fn digest(&self) -> u128 {
        self.digest
    }

    /// The resulting document; `None`: the change was not prepared on the document of the log entry `index`.
    pub(crate) fn document_on(&self, index: u64) -> Option<Result<CheckedDocument, Rejection>> {
        self.document.clone().filter(|_| self.basis_index == index)
    }
}

/// The identity of a change: its kind as the operator sent it, its base and its content regardless of white space.
fn digest_of(change: &Change, body: &Value) -> u128 {
    let kind: &[u8] = match change.kind {
        ChangeKind::Replace => b"replace",
        ChangeKind::Update | ChangeKind::UpdateItems => b"update",
    };
    digest(&[kind, &change.base.to_le_bytes(), body.to_string().as_bytes()])
}
