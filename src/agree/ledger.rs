//! What the committed part of the log says: the documents in force, and the edits that are prepared and not in force yet.
//! Every voter and head that has read the same entries knows the same.

use super::document::{Document, Edit, Rejected, Value};
use super::{Command, Entry, Index};
use std::collections::BTreeMap;

/// An edit that is prepared for: heads act by what neither it nor what is in force forbids.
#[derive(Clone, Debug, PartialEq)]
struct Pending {
    index: Index,
    document: String,
    after: Document,
    /// Heads on their long leases could act against it.
    long: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Entries read so far.
    read: Index,
    /// The last edit in force.
    active: Index,
    in_force: BTreeMap<String, Document>,
    pending: Vec<Pending>,
    /// What became of each edit, by its id.
    results: BTreeMap<u64, Result<u64, Rejected>>,
}

impl Ledger {
    pub fn read(&self) -> Index {
        self.read
    }

    pub fn active(&self) -> Index {
        self.active
    }

    pub fn document(&self, name: &str) -> Option<&Document> {
        self.in_force.get(name)
    }

    /// With all that is prepared.
    pub fn latest(&self, name: &str) -> Document {
        let pending = self.pending.iter().rev().find(|pending| pending.document == name);
        pending.map(|pending| &pending.after).or(self.in_force.get(name)).cloned().unwrap_or_default()
    }

    /// The version that an edit made, once it is committed.
    pub fn result(&self, id: u64) -> Option<&Result<u64, Rejected>> {
        self.results.get(&id)
    }

    /// The last edit that is prepared, in force or not.
    pub fn prepared(&self) -> Index {
        self.pending.last().map_or(self.active, |pending| pending.index)
    }

    /// The first edit behind `known` on which a head that knows no more could act against, on its short or long lease.
    pub fn first_against(&self, known: Index, long_only: bool) -> Option<Index> {
        let against = |pending: &&Pending| pending.index > known && (pending.long || !long_only);
        self.pending.iter().find(against).map(|pending| pending.index)
    }

    /// The last edit up to there.
    pub fn last_edit_to(&self, index: Index) -> Option<Index> {
        self.pending.iter().rev().map(|pending| pending.index).find(|edit| *edit <= index)
    }

    /// The next entry. The same log gives the same ledger, whoever reads it.
    pub fn apply(&mut self, entry: &Entry) {
        self.read += 1;
        match &entry.command {
            Command::Begin => {}
            Command::Edit(edit) => self.edit(edit),
            Command::Activate(to) => {
                let to = (*to).min(self.read);
                for pending in self.pending.extract_if(.., |pending| pending.index <= to) {
                    self.active = pending.index;
                    self.in_force.insert(pending.document, pending.after);
                }
            }
        }
    }

    fn edit(&mut self, edit: &Edit) {
        if self.results.contains_key(&edit.id) {
            return;
        }
        let before = self.latest(&edit.document);
        let result = before.edited(edit).map(|after| {
            let (index, long, version) = (self.read, before.needs_long(&after), after.version);
            self.pending.push(Pending { index, document: edit.document.clone(), after, long });
            version
        });
        self.results.insert(edit.id, result);
    }

    /// What a head acts on that knows this much: what is in force, and nothing that a prepared edit forbids.
    pub fn acting(&self, document: &str, field: &str) -> Option<Value> {
        let pending = self.pending.iter().filter(|pending| pending.document == document);
        let values = self.in_force.get(document).into_iter().chain(pending.map(|pending| &pending.after));
        values.filter_map(|document| document.fields.get(field).cloned()).reduce(|a, b| a.safe(&b))
    }
}
