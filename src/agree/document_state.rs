//! The state machine of the agreement: documents in force, and edits that are prepared but not in force yet. All that
//! have applied the same entries have the same state and the same digest of these entries.

use super::document::{Document, Edit, EditRejection, Value};
use super::voter::Voters;
use super::{Command, Entry, Index};
use ring::digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Results of edits that are kept, by which an edit that is sent again is applied once. An older one that comes again
/// conflicts with its own change.
const MAX_RESULTS: usize = 4_096;
/// All documents together by their estimated size: one message can carry them.
const MAX_DOCUMENTS_BYTES: usize = 4 * 1024 * 1024;

/// Over an entry and all before it.
pub type Digest = [u8; 32];

/// The digest of the log with one more entry: SHA-256 over the one before and the entry's JSON.
pub fn next_digest(before: &Digest, entry: &Entry) -> Digest {
    let mut context = digest::Context::new(&digest::SHA256);
    context.update(before);
    // Fields are in their order and maps in that of their keys: the same entry is the same bytes everywhere.
    context.update(&serde_json::to_vec(entry).unwrap_or_default());
    let mut after = Digest::default();
    after.copy_from_slice(context.finish().as_ref());
    after
}

/// A prepared edit: processes act by what neither it nor the documents in force forbid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Pending {
    index: Index,
    after: BTreeMap<String, Arc<Document>>,
    /// It changes the membership, by which processes count grants.
    voters: bool,
    /// Processes that hold only the long lease could act against it.
    #[serde(rename = "long")]
    needs_long_lease: bool,
}

/// The replicated state machine: applying the same entries gives the same state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentState {
    /// The last entry that was applied.
    #[serde(rename = "read")]
    applied: Index,
    digest: Digest,
    /// The last edit in force.
    active: Index,
    in_force: BTreeMap<String, Arc<Document>>,
    pending: VecDeque<Pending>,
    /// What became of the last edits, by their ids.
    results: BTreeMap<u64, Result<Index, EditRejection>>,
    /// Ids of edits in `results`, the oldest first.
    #[serde(rename = "order")]
    result_order: VecDeque<u64>,
    /// Estimated size of all documents, bytes.
    weight: usize,
    /// The membership, and the entry that set it; `None`: that of the configuration.
    voters: Option<Voters>,
    voters_at: Index,
}

impl DocumentState {
    /// The last entry that was applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Over all applied entries.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The last edit that is in force.
    pub fn active(&self) -> Index {
        self.active
    }

    /// A document as it is in force.
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.in_force.get(name).map(AsRef::as_ref)
    }

    /// Those in force, by name.
    pub fn documents(&self) -> impl Iterator<Item = (&str, &Document)> {
        self.in_force.iter().map(|(name, document)| (name.as_str(), document.as_ref()))
    }

    /// With all that is prepared.
    pub fn latest(&self, name: &str) -> Option<&Document> {
        let pending = self.pending.iter().rev().find_map(|pending| pending.after.get(name));
        pending.or(self.in_force.get(name)).map(AsRef::as_ref)
    }

    /// Names of documents in force or prepared; a name may come twice.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let pending = self.pending.iter().flat_map(|pending| pending.after.keys());
        self.in_force.keys().chain(pending).map(String::as_str)
    }

    /// Who votes, as far as this log says. Counts from its entry on: each change waits until all know of the
    /// last one.
    pub fn latest_voters(&self) -> Option<&Voters> {
        self.voters.as_ref()
    }

    /// The entry that set [`DocumentState::latest_voters`], or 0.
    pub fn voters_at(&self) -> Index {
        self.voters_at
    }

    /// Some process may still count grants of the voters before the last change.
    pub fn voters_pending(&self) -> bool {
        self.pending.iter().any(|pending| pending.voters)
    }

    /// The entry that an edit made, once it is committed.
    pub fn result(&self, id: u64) -> Option<&Result<Index, EditRejection>> {
        self.results.get(&id)
    }

    /// The last edit that is prepared, in force or not.
    pub fn prepared(&self) -> Index {
        self.pending.back().map_or(self.active, |pending| pending.index)
    }

    /// The first edit behind `known` that a process which knows no more could act against, on either lease or on its
    /// long lease only.
    pub fn first_conflict(&self, known: Index, long_only: bool) -> Option<Index> {
        let against = |pending: &&Pending| pending.index > known && (pending.needs_long_lease || !long_only);
        self.pending.iter().find(against).map(|pending| pending.index)
    }

    /// The last prepared edit up to that entry.
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

    /// All documents of an edit, or what is wrong with one of them.
    fn edited(&self, edit: &Edit) -> Result<(Pending, usize), EditRejection> {
        if edit.parts.is_empty() {
            return Err(EditRejection::Empty);
        }
        let (mut after, mut needs_long_lease, mut weight, nothing) =
            (BTreeMap::new(), false, self.weight, Document::default());
        for (name, part) in &edit.parts {
            let before = self.latest(name).unwrap_or(&nothing);
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

    /// The value to act on with this knowledge: the strictest of what is in force and what is prepared.
    pub fn effective_value(&self, document: &str, field: &str) -> Option<Value> {
        let pending = self.pending.iter().filter_map(|pending| pending.after.get(document));
        let values = self.in_force.get(document).into_iter().chain(pending);
        values.filter_map(|document| document.fields.get(field).cloned()).reduce(|a, b| a.strictest(&b))
    }
}
