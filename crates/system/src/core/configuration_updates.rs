//! What edges are sent of the configuration: what leads on from the one that they have, or the whole. Each is
//! made ready once and sent to all that lack the same.

use crate::net::link::{Link, Mark};
use pathbank_control::document::Document;
use pathbank_control::document_history::DocumentHistory;
use pathbank_control::edge_document;
use pathbank_coordination::types::Index;
use pathbank_protocol::codec::SharedMessage;
use pathbank_protocol::message::{ConfigurationUpdate, Frame};
use std::collections::BTreeMap;

/// A whole configuration that was made ready serves all edges that lack one for so long, with what changed
/// since, milliseconds.
const COMPLETE_MESSAGE_TTL_MS: u64 = 2_000;

/// The configuration that edges are told, and those that they may have.
#[derive(Default)]
pub struct ConfigurationUpdates {
    history: DocumentHistory,
    /// What was told last, and the entry that brought it.
    newest: Option<(Index, Document)>,
    /// What leads on from earlier entries to the newest one, as far as it was made ready. `None`: nothing
    /// does.
    differences: BTreeMap<Index, Option<SharedMessage>>,
    whole: Option<ReadyWhole>,
}

/// A whole configuration as edges get it.
struct ReadyWhole {
    index: Index,
    made_at: u64,
    message: SharedMessage,
}

/// What an edge is to be sent, in order.
#[derive(Default)]
pub struct Update {
    /// It does not need what the edge has.
    pub is_whole: bool,
    /// The messages.
    pub messages: Vec<SharedMessage>,
}

/// The configuration that an edge was sent on a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentConfiguration {
    /// The entry of the configuration that it has, or is being sent; 0: none.
    pub index: Index,
    /// Where that ends on its link.
    end: Mark,
}

impl SentConfiguration {
    /// All up to this entry has just been queued on a link.
    pub fn queued(index: Index, link: &Link) -> SentConfiguration {
        SentConfiguration { index, end: link.mark() }
    }

    /// Whether the edge has been sent all that was meant for it.
    pub fn is_written(&self, link: &Link) -> bool {
        link.has_written(self.end)
    }
}

fn encoded(index: Index, base_index: Index, document: &serde_json::Value) -> SharedMessage {
    let document = document.to_string().into_bytes();
    SharedMessage::new(&Frame::Configuration(ConfigurationUpdate { index, base_index, document }))
}

impl ConfigurationUpdates {
    /// A document was applied, brought by a change of so many bytes.
    pub fn note(&mut self, index: Index, document: &Document, bytes: usize) {
        self.history.record(index, document, bytes);
    }

    /// The entry of the document that edges were told last; 0: none.
    pub fn index(&self) -> Index {
        self.newest.as_ref().map_or(0, |(index, _)| *index)
    }

    /// Edges are told of this document from now on.
    pub fn publish(&mut self, index: Index, document: &Document) {
        self.newest = Some((index, document.clone()));
        self.differences.clear();
    }

    /// What an edge is sent that has the document of `known`, or none (0).
    pub fn update_from(&mut self, now: u64, known: Index) -> Update {
        if known >= self.index() {
            return Update::default();
        }
        match self.difference_from(known) {
            Some(difference) => Update { is_whole: false, messages: vec![difference] },
            None => Update { is_whole: true, messages: self.whole(now) },
        }
    }

    fn difference_from(&mut self, known: Index) -> Option<SharedMessage> {
        let (index, document) = self.newest.as_ref()?;
        let make = || {
            let difference = edge_document::difference(self.history.get(known)?, document)?;
            Some(encoded(*index, known, &difference))
        };
        self.differences.entry(known).or_insert_with(make).clone()
    }

    /// The whole configuration. Making one ready costs as much as it holds, and all edges may lack it at
    /// once: it is kept, and what changed since goes behind it.
    fn whole(&mut self, now: u64) -> Vec<SharedMessage> {
        if let Some(whole) = self.whole.as_ref().filter(|whole| now < whole.made_at + COMPLETE_MESSAGE_TTL_MS)
        {
            let (index, message) = (whole.index, whole.message.clone());
            if index == self.index() {
                return vec![message];
            }
            if let Some(difference) = self.difference_from(index) {
                return vec![message, difference];
            }
        }
        let Some((index, document)) = &self.newest else { return Vec::new() };
        let message = encoded(*index, 0, &edge_document::full(document));
        self.whole = Some(ReadyWhole { index: *index, made_at: now, message: message.clone() });
        vec![message]
    }
}
