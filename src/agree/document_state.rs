//! What the committed part of the log says: the documents in force, and the edits that are prepared and not
//! in force yet. Every voter and head that has read the same entries knows the same, and has the same digest
//! of all that it read.

use super::document::{Document, Edit, EditRejection, Value};
use super::voter::Voters;
use super::{Command, Entry, Index};
use ring::digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// So many edits are told apart from those that come a second time; an older one that comes again meets its
/// own base.
const MAX_RESULTS: usize = 4_096;
/// Documents together, in bytes as they are counted here: what a head can hold, and one message can carry.
const MAX_DOCUMENTS_BYTES: usize = 4 * 1024 * 1024;

/// Over an entry and all before it.
pub type Digest = [u8; 32];

pub fn next_digest(before: &Digest, entry: &Entry) -> Digest {
    let mut context = digest::Context::new(&digest::SHA256);
    context.update(before);
    // Fields are in their order and maps in that of their keys: the same entry is the same bytes everywhere.
    context.update(&serde_json::to_vec(entry).unwrap_or_default());
    let mut after = Digest::default();
    after.copy_from_slice(context.finish().as_ref());
    after
}

/// An edit that is prepared for: heads act by what neither it nor what is in force forbids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Pending {
    index: Index,
    after: BTreeMap<String, Arc<Document>>,
    /// It changes who votes: heads that do not know count by others.
    voters: bool,
    /// Heads on their long leases could act against it.
    long: bool,
}

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
    /// What became of the last edits, by id and in their order.
    results: BTreeMap<u64, Result<Index, EditRejection>>,
    order: VecDeque<u64>,
    weight: usize,
    /// Who votes, and the entry that said so; `None`: those that all were started with.
    voters: Option<Voters>,
    voters_at: Index,
}

impl DocumentState {
    /// The last entry that was applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    pub fn active(&self) -> Index {
        self.active
    }

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

    /// All that heads may have to act by: names of documents in force or prepared.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let pending = self.pending.iter().flat_map(|pending| pending.after.keys());
        self.in_force.keys().chain(pending).map(String::as_str)
    }

    /// Who votes, as far as this log says. Counts from its entry on: each change waits until all know of the
    /// last one.
    pub fn latest_voters(&self) -> Option<&Voters> {
        self.voters.as_ref()
    }

    pub fn voters_at(&self) -> Index {
        self.voters_at
    }

    /// Some head may still count by the voters of before.
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

    /// The first edit behind `known` on which a head that knows no more could act against, on its short or
    /// long lease.
    pub fn first_conflict(&self, known: Index, long_only: bool) -> Option<Index> {
        let against = |pending: &&Pending| pending.index > known && (pending.long || !long_only);
        self.pending.iter().find(against).map(|pending| pending.index)
    }

    /// The last edit up to there.
    pub fn last_pending_up_to(&self, index: Index) -> Option<Index> {
        self.pending.iter().rev().map(|pending| pending.index).find(|edit| *edit <= index)
    }

    /// The next entry. The same log gives the same ledger, whoever reads it.
    pub fn apply(&mut self, entry: &Entry) {
        self.applied += 1;
        self.digest = next_digest(&self.digest, entry);
        match &entry.command {
            Command::Noop => {}
            Command::Edit(edit) => self.edit(edit),
            Command::Voters(voters) => {
                (self.voters, self.voters_at) = (Some(voters.clone()), self.applied);
                let after = BTreeMap::new();
                self.pending.push_back(Pending { index: self.applied, after, voters: true, long: true });
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
        self.order.push_back(edit.id);
        if self.order.len() > MAX_RESULTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.results.remove(&oldest);
        }
    }

    /// All documents of an edit, or what is wrong with one of them.
    fn edited(&self, edit: &Edit) -> Result<(Pending, usize), EditRejection> {
        if edit.parts.is_empty() {
            return Err(EditRejection::Empty);
        }
        let (mut after, mut long, mut weight, nothing) =
            (BTreeMap::new(), false, self.weight, Document::default());
        for (name, part) in &edit.parts {
            let before = self.latest(name).unwrap_or(&nothing);
            let document = before.edited(part).map_err(|rejected| rejected.of(name))?;
            long |= before.needs_long_lease(&document);
            weight = (weight + document.weight()).saturating_sub(before.weight());
            if before.version == 0 {
                weight += name.len();
            }
            after.insert(name.clone(), Arc::new(document));
        }
        if weight > MAX_DOCUMENTS_BYTES {
            return Err(EditRejection::Full);
        }
        Ok((Pending { index: self.applied, after, voters: false, long }, weight))
    }

    /// The names of a document's fields, in force or prepared.
    pub fn fields(&self, document: &str) -> BTreeSet<&str> {
        let pending = self.pending.iter().filter_map(|pending| pending.after.get(document));
        let documents = self.in_force.get(document).into_iter().chain(pending);
        documents.flat_map(|document| document.fields.keys()).map(String::as_str).collect()
    }

    /// What a head acts on that knows this much: what is in force, and nothing that a prepared edit forbids.
    pub fn effective_value(&self, document: &str, field: &str) -> Option<Value> {
        let pending = self.pending.iter().filter_map(|pending| pending.after.get(document));
        let values = self.in_force.get(document).into_iter().chain(pending);
        values.filter_map(|document| document.fields.get(field).cloned()).reduce(|a, b| a.safe(&b))
    }
}
