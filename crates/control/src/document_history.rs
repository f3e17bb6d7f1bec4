//! The latest documents by the log entries that brought them. An edge that has one of them gets the difference to the
//! newest, also from a core that has just started.

use crate::document::Document;
use pathbank_coordination::types::Index;
use std::collections::VecDeque;

/// Documents that are kept at most.
const MAX_DOCUMENTS: usize = 256;
/// Bytes of the changes that brought them, at most. Documents share what they have in common, so that each takes a
/// small multiple of its change.
const MAX_CHANGE_BYTES: usize = 1024 * 1024;

#[derive(Clone, Debug)]
struct Revision {
    index: Index,
    document: Document,
    bytes: usize,
}

/// The latest documents, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    revisions: VecDeque<Revision>,
    bytes: usize,
}

impl DocumentHistory {
    /// Adds a document that came into force by a change of that many bytes. One that is not newer than the newest
    /// changes nothing.
    pub fn record(&mut self, index: Index, document: &Document, bytes: usize) {
        if self.revisions.back().is_some_and(|newest| index <= newest.index) {
            return;
        }
        self.revisions.push_back(Revision { index, document: document.clone(), bytes });
        self.bytes += bytes;
        while self.revisions.len() > MAX_DOCUMENTS
            || (self.bytes > MAX_CHANGE_BYTES && self.revisions.len() > 1)
        {
            let oldest = self.revisions.pop_front();
            self.bytes -= oldest.map_or(0, |oldest| oldest.bytes);
        }
    }

    /// The document that the log entry `index` brought, if it is still kept.
    pub fn get(&self, index: Index) -> Option<&Document> {
        let position = self.revisions.binary_search_by_key(&index, |revision| revision.index).ok()?;
        self.revisions.get(position).map(|revision| &revision.document)
    }
}
