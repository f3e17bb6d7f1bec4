//! What edge heads are told of the replicated state: of configurations what changed since the one that they have, and the versions
//! of models. Nothing is told before all that is committed was applied: what a log is replayed through is no news.

use super::{Node, Peer};
use crate::clock;
use crate::core::peers::LinkId;
use crate::core::training::lead::model_versions;
use bytes::Bytes;
use pathbank_control::document::Document;
use pathbank_control::document_history::DocumentHistory;
use pathbank_control::edge_document;
use pathbank_coordination::types::Index;
use pathbank_protocol::codec;
use pathbank_protocol::message::{ConfigurationUpdate, Frame, ModelVersions, ProcessRole};
use std::collections::BTreeMap;

/// Edges are told of changes at least so far apart, milliseconds.
const PUBLISH_APART: u64 = 150;

/// The configuration that edges are told, and those that they may have.
#[derive(Default)]
pub struct Publication {
    history: DocumentHistory,
    /// What was told last, and the entry that brought it.
    newest: Option<(Index, Document)>,
    told_at: u64,
    /// The versions of models that those who listen here have. `None`: unknown.
    versions: Option<Vec<ModelVersions>>,
}

impl Publication {
    /// A document was applied, brought by a change of so many bytes.
    pub fn note(&mut self, index: Index, document: &Document, bytes: usize) {
        self.history.note(index, document, bytes);
    }

    /// The entry of the document that edges were told last; 0: none.
    pub fn index(&self) -> Index {
        self.newest.as_ref().map_or(0, |(index, _)| *index)
    }

    /// The versions of models that those who listen here have, while this head is in contact with a majority.
    pub fn versions(&self) -> Option<&[ModelVersions]> {
        self.versions.as_deref()
    }

    /// What an edge is told that has the document of `known`, or none (0). `None`: nothing was published yet.
    fn update_from(&self, known: Index) -> Option<ConfigurationUpdate> {
        let (index, document) = self.newest.as_ref()?;
        let difference = self.history.get(known).and_then(|base| edge_document::difference(base, document));
        let (base_index, told) = match difference {
            Some(difference) => (known, difference),
            None => (0, edge_document::whole(document)),
        };
        Some(ConfigurationUpdate { index: *index, base_index, document: told.to_string().into_bytes() })
    }
}

impl Node {
    /// The entry of the configuration that edges may be given: none (0) while this head is out of contact with a majority.
    pub(super) fn current_index(&self) -> Index {
        if self.is_current(clock::now()) { self.publication.index() } else { 0 }
    }

    /// Tells edges of a configuration that they were not told yet: what changed to those that listen here, and to the
    /// others that there is one. A head that catches up tells only where it ends; changes in quick succession go together.
    pub(super) fn publish_configuration(&mut self, now: u64) {
        let Some((document, index)) = self.state.document() else { return };
        let soon = now < self.publication.told_at + PUBLISH_APART;
        if index == self.publication.index() || soon || !self.is_current(now) {
            return;
        }
        self.publication.newest = Some((index, document.clone()));
        self.publication.told_at = now;
        self.update_subscribers();
        let status = Frame::Core(self.core_status(false));
        self.tell(&status, |edge| !edge.subscribed);
    }

    /// Tells edges that listen here which versions of models there are, unless they know.
    pub(super) fn publish_versions(&mut self, now: u64) {
        if !self.is_current(now) {
            self.publication.versions = None;
            return;
        }
        let versions = model_versions(self.state.training());
        let known = self.publication.versions.as_ref();
        if known.map_or(versions.is_empty(), |known| *known == versions) {
            return;
        }
        self.publish_to_subscribers(&Frame::ModelVersions(versions.clone()));
        self.publication.versions = Some(versions);
    }

    fn update_subscribers(&mut self) {
        let publication = &self.publication;
        let mut updates: BTreeMap<Index, Option<Bytes>> = BTreeMap::new();
        let subscribed = |peer: &&mut Peer| peer.hello.role == ProcessRole::Edge && peer.subscribed;
        for edge in self.peers.values_mut().filter(subscribed) {
            let known = edge.configuration_index;
            let encoded = updates.entry(known).or_insert_with(|| {
                let update = publication.update_from(known).filter(|update| update.index > known)?;
                Some(codec::encode(&Frame::Configuration(update)).into())
            });
            if let Some(bytes) = encoded {
                edge.link.send_encoded(bytes.clone());
                edge.configuration_index = publication.index();
            }
        }
    }

    /// An edge that begins to listen here, or missed something, said which configuration it has: it gets what is newer.
    pub(super) fn update_subscriber(&mut self, id: LinkId, known: Index) {
        let current = self.current_index();
        let Some(edge) = self.peers.get_mut(&id) else { return };
        edge.configuration_index = known;
        if current <= known {
            return;
        }
        if let Some(update) = self.publication.update_from(known) {
            edge.link.send(&Frame::Configuration(update));
            edge.configuration_index = current;
        }
    }

    /// An edge missed something: it gets the whole configuration.
    pub(super) fn send_configuration_to(&self, id: LinkId) {
        if self.current_index() == 0 {
            return;
        }
        if let (Some(peer), Some(update)) = (self.peers.get(&id), self.publication.update_from(0)) {
            peer.link.send(&Frame::Configuration(update));
        }
    }
}
