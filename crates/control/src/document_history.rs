//! The latest documents, by the log entries that brought them. An edge that has one of these documents is
//! sent only the difference to the newest one, even by a core that has just started.

use crate::document::Document;
use pathbank_coordination::types::Index;
use std::collections::VecDeque;

/// The limit of documents that are kept.
const MAX_DOCUMENTS: usize = 256;
/// The limit of bytes of the changes that brought the documents. Documents share unchanged items, so each
/// takes a small multiple of its change.
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
    /// Adds a document that came into force by a change of `bytes` bytes. A document that is not newer than
    /// the newest one is ignored.
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
