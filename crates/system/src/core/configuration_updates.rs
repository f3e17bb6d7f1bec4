//! Messages by which edges get the configuration: the difference from the one that an edge has, or all of it. Each is
//! encoded once and sent to all edges that lack the same.

use crate::net::link::{Link, Mark};
use pathbank_control::document::Document;
use pathbank_control::document_history::DocumentHistory;
use pathbank_control::edge_document;
use pathbank_coordination::types::Index;
use pathbank_protocol::codec::SharedMessage;
use pathbank_protocol::message::{ConfigurationUpdate, Frame};
use std::collections::BTreeMap;

/// An encoded full configuration is sent for so long, with the difference since; encoding one costs processor time.
const FULL_MESSAGE_TTL_MS: u64 = 2_000;

/// An edge that asks for a full configuration again is sent it anew only after this.
const REPEAT_FULL_TIMEOUT_MS: u64 = 2_000;

/// The published configuration, and those that edges may have.
#[derive(Default)]
pub struct ConfigurationUpdates {
    history: DocumentHistory,
    /// The published document, and its log entry.
    newest: Option<(Index, Document)>,
    /// Encoded differences by the entry that they start from. `None`: the history has no such document.
    differences: BTreeMap<Index, Option<SharedMessage>>,
    full: Option<FullMessage>,
}

/// An encoded full configuration.
struct FullMessage {
    index: Index,
    encoded_at: u64,
    message: SharedMessage,
}

/// What an edge lacks of the configuration.
#[derive(Default)]
pub struct Update {
    /// It starts with a full configuration, and needs nothing of what the edge has.
    pub is_full: bool,
    /// The messages, in order.
    pub messages: Vec<SharedMessage>,
}

/// The configuration that an edge was sent on a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentConfiguration {
    /// The log entry of the configuration that it has, or is being sent; 0: none.
    pub index: Index,
    /// The end of that message on its link.
    end: Mark,
    /// The log entry of the last full configuration on the link; 0: there was none.
    full_index: Index,
    /// When the edge was first seen to ask for what that full configuration holds after it was written.
    asked_again_since: Option<u64>,
}

impl SentConfiguration {
    /// The configuration of an entry has just been queued on a link, in full or as a difference.
    pub fn record_queued(&mut self, index: Index, is_full: bool, link: &Link) {
        (self.index, self.end) = (index, link.mark());
        if is_full {
            (self.full_index, self.asked_again_since) = (index, None);
        }
    }

    /// Whether all of it has been written to the link.
    pub fn is_written(&self, link: &Link) -> bool {
        link.has_written(self.end)
    }

    /// Whether an edge that says that it has the configuration of `known` said so before it read the full one on this link,
    /// which keeps the order of messages. One that still says so after two seconds could not use it.
    pub fn crosses_full_configuration(&mut self, now: u64, known: Index) -> bool {
        if known >= self.full_index {
            return false;
        }
        let since = *self.asked_again_since.get_or_insert(now);
        now < since + REPEAT_FULL_TIMEOUT_MS
    }
}

fn encoded(index: Index, base_index: Index, document: &serde_json::Value) -> SharedMessage {
    let document = document.to_string().into_bytes();
    SharedMessage::new(&Frame::Configuration(ConfigurationUpdate { index, base_index, document }))
}

impl ConfigurationUpdates {
    /// Remembers a document that was applied. `bytes`: the size of the change.
    pub fn record(&mut self, index: Index, document: &Document, bytes: usize) {
        self.history.record(index, document, bytes);
    }

    /// The log entry of the published document; 0: none.
    pub fn index(&self) -> Index {
        self.newest.as_ref().map_or(0, |(index, _)| *index)
    }

    /// Makes a document the published one.
    pub fn publish(&mut self, index: Index, document: &Document) {
        self.newest = Some((index, document.clone()));
        self.differences.clear();
    }

    /// What an edge lacks that has the document of `known`, or none (0).
    pub fn update_from(&mut self, now: u64, known: Index) -> Update {
        if known >= self.index() {
            return Update::default();
        }
        match self.difference_from(known) {
            Some(difference) => Update { is_full: false, messages: vec![difference] },
            None => Update { is_full: true, messages: self.full_update(now) },
        }
    }

    fn difference_from(&mut self, known: Index) -> Option<SharedMessage> {
        let (index, document) = self.newest.as_ref()?;
        let encode = || {
            let difference = edge_document::difference(self.history.get(known)?, document)?;
            Some(encoded(*index, known, &difference))
        };
        self.differences.entry(known).or_insert_with(encode).clone()
    }

    /// A full configuration. All edges may lack it at once: an encoded one is reused, with the difference since behind it.
    fn full_update(&mut self, now: u64) -> Vec<SharedMessage> {
        if let Some(full) = self.full.as_ref().filter(|full| now < full.encoded_at + FULL_MESSAGE_TTL_MS) {
            let (index, message) = (full.index, full.message.clone());
            if index == self.index() {
                return vec![message];
            }
            if let Some(difference) = self.difference_from(index) {
                return vec![message, difference];
            }
        }
        let Some((index, document)) = &self.newest else { return Vec::new() };
        let message = encoded(*index, 0, &edge_document::full(document));
        self.full = Some(FullMessage { index: *index, encoded_at: now, message: message.clone() });
        vec![message]
    }
}
