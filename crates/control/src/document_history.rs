//! The latest documents by the entries that brought them, so that an edge which knows one of them is told
//! what changed since, also by a core that has just started.

use crate::document::Document;
use pathbank_coordination::types::Index;
use std::collections::VecDeque;

/// Documents that are kept at most.
const KEPT: usize = 256;
/// Bytes of the changes that brought them, at most. Documents share what they have in common: each costs what
/// its change brought, some times over.
const KEPT_BYTES: usize = 1024 * 1024;

#[derive(Clone, Debug)]
struct Known {
    index: Index,
    document: Document,
    bytes: usize,
}

/// The latest documents, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    documents: VecDeque<Known>,
    bytes: usize,
}

impl DocumentHistory {
    /// A document came into force, by a change of so many bytes. One that is known already changes nothing.
    pub fn record(&mut self, index: Index, document: &Document, bytes: usize) {
        if self.documents.back().is_some_and(|newest| index <= newest.index) {
            return;
        }
        self.documents.push_back(Known { index, document: document.clone(), bytes });
        self.bytes += bytes;
        while self.documents.len() > KEPT || (self.bytes > KEPT_BYTES && self.documents.len() > 1) {
            let oldest = self.documents.pop_front();
            self.bytes -= oldest.map_or(0, |oldest| oldest.bytes);
        }
    }

    /// The document that an entry brought, if it is still kept.
    pub fn get(&self, index: Index) -> Option<&Document> {
        let place = self.documents.binary_search_by_key(&index, |known| known.index).ok()?;
        self.documents.get(place).map(|known| &known.document)
    }
}
