//! The latest documents by the entries that brought them, so that an edge head which knows one of them is told what changed
//! since, also by a control head that has just started.

use crate::document::Document;
use pathbank_coordination::types::Index;
use std::collections::VecDeque;

/// Documents that are kept. They share what they have in common: each costs what one change touched.
const KEPT: usize = 256;

/// The latest documents, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    documents: VecDeque<(Index, Document)>,
}

impl DocumentHistory {
    /// A document came into force. One that is known already changes nothing.
    pub fn note(&mut self, index: Index, document: &Document) {
        if self.documents.back().is_some_and(|(last, _)| index <= *last) {
            return;
        }
        self.documents.push_back((index, document.clone()));
        if self.documents.len() > KEPT {
            self.documents.pop_front();
        }
    }

    /// The document that an entry brought, if it is still kept.
    pub fn get(&self, index: Index) -> Option<&Document> {
        let place = self.documents.binary_search_by_key(&index, |(index, _)| *index).ok()?;
        self.documents.get(place).map(|(_, document)| document)
    }
}
