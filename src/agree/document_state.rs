//! The replicated state machine: documents in force, and edits that are prepared but not in force yet. Processes that
//! have applied the same entries have the same state and the same digest of these entries.

use super::document::{Document, Edit, EditRejection, Value};
use super::voter::Voters;
use super::{Command, Entry, Index};
use ring::digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Results of edits that are kept, so that an edit that is sent again is applied once. An edit whose result was dropped
/// conflicts with its own change when it is sent again.
const MAX_RESULTS: usize = 4_096;
/// Limit on the estimated size of all documents together, so that one message can carry them. The estimate
/// does not count the text of plain values.
const MAX_DOCUMENTS_BYTES: usize = 4 * 1024 * 1024;

/// A digest over an entry and all entries before it.
pub type Digest = [u8; 32];

/// The digest of the log with one more entry: SHA-256 over the digest `before` and the entry's JSON.
pub fn next_digest(before: &Digest, entry: &Entry) -> Digest {
    let mut context = digest::Context::new(&digest::SHA256);
    context.update(before);
    // Fields are written in declaration order and maps in key order, so an entry has the same bytes in every process.
    context.update(&serde_json::to_vec(entry).unwrap_or_default());
    let mut after = Digest::default();
    after.copy_from_slice(context.finish().as_ref());
    after
}

/// A prepared edit. A process acts on values that neither the edit nor the documents in force forbid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Pending {
    index: Index,
    after: BTreeMap<String, Arc<Document>>,
    /// Whether the edit changes the membership, by which processes count grants.
    voters: bool,
    /// Whether processes that hold only the long lease could violate the edit. Stored as `long`.
    #[serde(rename = "long")]
    needs_long_lease: bool,
}

/// The replicated state machine: applying the same entries gives the same state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentState {
    /// The last entry that was applied. Stored as `read`.
    #[serde(rename = "read")]
    applied: Index,
    digest: Digest,
    /// The last edit in force.
    active: Index,
    in_force: BTreeMap<String, Arc<Document>>,
    pending: VecDeque<Pending>,
    /// Results of the last edits, by their ids.
    results: BTreeMap<u64, Result<Index, EditRejection>>,
    /// Ids of edits in `results`, the oldest first. Stored as `order`.
    #[serde(rename = "order")]
    result_order: VecDeque<u64>,
    /// Estimated size of all documents, in bytes.
    weight: usize,
    /// The membership; `None`: that of the configuration.
    voters: Option<Voters>,
    /// The entry that set `voters`, or 0.
    voters_at: Index,
}

impl DocumentState {
    /// The last entry that was applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The digest over all applied entries.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The last edit that is in force.
    pub fn active(&self) -> Index {
        self.active
    }

    /// The version of a document that is in force.
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.in_force.get(name).map(AsRef::as_ref)
    }

    /// All documents in force, by name.
    pub fn documents(&self) -> impl Iterator<Item = (&str, &Document)> {
        self.in_force.iter().map(|(name, document)| (name.as_str(), document.as_ref()))
    }

    /// The last version of a document, in force or prepared.
    pub fn latest(&self, name: &str) -> Option<&Document> {
        let pending = self.pending.iter().rev().find_map(|pending| pending.after.get(name));
        pending.or(self.in_force.get(name)).map(AsRef::as_ref)
    }

    /// Names of documents in force or prepared; a name may be repeated.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let pending = self.pending.iter().flat_map(|pending| pending.after.keys());
        self.in_force.keys().chain(pending).map(String::as_str)
    }

    /// The membership that the log sets, if any. It counts as soon as its entry is applied, since a change is only
    /// appended once every process that may still act knows of the last one.
    pub fn latest_voters(&self) -> Option<&Voters> {
        self.voters.as_ref()
    }

    /// The entry that set [`DocumentState::latest_voters`], or 0.
    pub fn voters_at(&self) -> Index {
        self.voters_at
    }

    /// Whether some process may still count grants by the membership before the last change.
    pub fn voters_pending(&self) -> bool {
        self.pending.iter().any(|pending| pending.voters)
    }

    /// The result of a committed edit: its entry, or why it was rejected.
    pub fn result(&self, id: u64) -> Option<&Result<Index, EditRejection>> {
        self.results.get(&id)
    }

    /// The last prepared edit, in force or not.
    pub fn prepared(&self) -> Index {
        self.pending.back().map_or(self.active, |pending| pending.index)
    }

    /// The first edit after `known` that a process could violate which knows only the entries up to `known`.
    /// `long_only`: considers only processes that hold no more than the long lease.
    pub fn first_conflict(&self, known: Index, long_only: bool) -> Option<Index> {
        let conflicts =
            |pending: &&Pending| pending.index > known && (pending.needs_long_lease || !long_only);
        self.pending.iter().find(conflicts).map(|pending| pending.index)
    }

    /// The last edit up to that entry that is prepared but not in force.
    pub fn last_pending_up_to(&self, index: Index) -> Option<Index> {
        self.pending.iter().rev().map(|pending| pending.index).find(|edit| *edit <= index)
    }

    /// Applies the next entry.
    pub fn apply(&mut self, entry: &Entry) {
        self.applied += 1;
        self.digest = next_digest(&self.digest, entry);
        match &entry.command {
            Command::Noop => {}
            Command::Edit(edit) => self.edit(edit),
            Command::Voters(voters) => {
                (self.voters, self.voters_at) = (Some(voters.clone()), self.applied);
                let after = BTreeMap::new();
                self.pending.push_back(Pending {
                    index: self.applied,
                    after,
                    voters: true,
                    needs_long_lease: true,
                });
            }
            Command::ActivateUpTo(to) => {
                let to = (*to).min(self.applied);
                while let Some(pending) = self.pending.pop_front_if(|pending| pending.index <= to) {
                    self.active = pending.index;
                    self.in_force.extend(pending.after);
                }
            }
        }
    }

    fn edit(&mut self, edit: &Edit) {
        if self.results.contains_key(&edit.id) {
            return;
        }
        let result = self.edited(edit).map(|(pending, weight)| {
            self.pending.push_back(pending);
            self.weight = weight;
            self.applied
        });
        self.results.insert(edit.id, result);
        self.result_order.push_back(edit.id);
        if self.result_order.len() > MAX_RESULTS
            && let Some(oldest) = self.result_order.pop_front()
        {
            self.results.remove(&oldest);
        }
    }

    /// The prepared edit and the estimated size of all documents with it, or why the edit is rejected.
    fn edited(&self, edit: &Edit) -> Result<(Pending, usize), EditRejection> {
        if edit.parts.is_empty() {
            return Err(EditRejection::Empty);
        }
        let (mut after, mut needs_long_lease, mut weight, empty) =
            (BTreeMap::new(), false, self.weight, Document::default());
        for (name, part) in &edit.parts {
            let before = self.latest(name).unwrap_or(&empty);
            let document = before.edited(part).map_err(|rejected| rejected.in_document(name))?;
            needs_long_lease |= before.needs_long_lease(&document);
            weight = (weight + document.weight()).saturating_sub(before.weight());
            if before.version == 0 {
                weight += name.len();
            }
            after.insert(name.clone(), Arc::new(document));
        }
        if weight > MAX_DOCUMENTS_BYTES {
            return Err(EditRejection::Full);
        }
        Ok((Pending { index: self.applied, after, voters: false, needs_long_lease }, weight))
    }

    /// The names of a document's fields, in force or prepared.
    pub fn fields(&self, document: &str) -> BTreeSet<&str> {
        let pending = self.pending.iter().filter_map(|pending| pending.after.get(document));
        let documents = self.in_force.get(document).into_iter().chain(pending);
        documents.flat_map(|document| document.fields.keys()).map(String::as_str).collect()
    }

    /// The value on which a process with this state acts: the strictest of the value in force and those prepared.
    pub fn effective_value(&self, document: &str, field: &str) -> Option<Value> {
        let pending = self.pending.iter().filter_map(|pending| pending.after.get(document));
        let values = self.in_force.get(document).into_iter().chain(pending);
        values.filter_map(|document| document.fields.get(field).cloned()).reduce(|a, b| a.strictest(&b))
    }
}
