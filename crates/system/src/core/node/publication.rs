//! What edges are told of the replicated state: of configurations what changed since the one that they have,
//! and the versions of models. Nothing is told before all that is committed was applied: what a log is
//! replayed through is no news.

use super::{Node, Peer};
use crate::clock;
use crate::core::configuration_updates::{ConfigurationUpdates, SentConfiguration};
use crate::core::event::LinkId;
use crate::core::training::lead::model_versions;
use pathbank_control::document::Document;
use pathbank_coordination::types::Index;
use pathbank_protocol::message::{Frame, ModelVersions, ProcessRole};

/// Edges are told of changes at least so far apart, milliseconds.
const MIN_PUBLISH_INTERVAL_MS: u64 = 150;

/// What edges were told of the replicated state.
#[derive(Default)]
pub struct Publication {
    updates: ConfigurationUpdates,
    /// When a new configuration was told last.
    told_at: u64,
    /// The versions of models that those who listen here have. `None`: unknown.
    versions: Option<Vec<ModelVersions>>,
}

impl Publication {
    /// A document was applied, brought by a change of so many bytes.
    pub fn note(&mut self, index: Index, document: &Document, bytes: usize) {
        self.updates.note(index, document, bytes);
    }

    /// The entry of the document that edges were told last; 0: none.
    pub fn index(&self) -> Index {
        self.updates.index()
    }

    /// The versions of models that those who listen here have, while this head is in contact with a majority.
    pub fn versions(&self) -> Option<&[ModelVersions]> {
        self.versions.as_deref()
    }
}

impl Node {
    /// The entry of the configuration that edges may be given: none (0) while this head is out of contact
    /// with a majority.
    pub(super) fn current_index(&self) -> Index {
        if self.is_current(clock::now()) { self.publication.index() } else { 0 }
    }

    /// Tells edges of a configuration that they were not told yet: what changed to those that listen here,
    /// and to the others that there is one. A head that catches up tells only where it ends; changes in quick
    /// succession go together.
    pub(super) fn publish_configuration(&mut self, now: u64) {
        let Some((document, index)) = self.state.document() else { return };
        let soon = now < self.publication.told_at + MIN_PUBLISH_INTERVAL_MS;
        if index == self.publication.index() || soon || !self.is_current(now) {
            return;
        }
        self.publication.updates.publish(index, document);
        self.publication.told_at = now;
        self.update_subscribers(now);
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

    /// Sends edges that listen here what they lack of the configuration.
    pub(super) fn update_subscribers(&mut self, now: u64) {
        let newest = self.current_index();
        let lacks = |peer: &Peer| {
            peer.hello.role == ProcessRole::Edge && peer.subscribed && peer.configuration.index < newest
        };
        let lacking: Vec<LinkId> =
            self.peers.iter().filter(|(_, peer)| lacks(peer)).map(|(id, _)| *id).collect();
        lacking.into_iter().for_each(|id| self.update_edge(now, id));
    }

    /// An edge said which configuration it has: it gets what is newer, unless that is on its way.
    pub(super) fn update_edge_from(&mut self, now: u64, id: LinkId, known: Index) {
        let Some(edge) = self.peers.get_mut(&id) else { return };
        if edge.configuration.is_written(&edge.link) {
            edge.configuration.index = known;
        }
        self.update_edge(now, id);
    }

    /// Sends an edge what it lacks. One answer at a time: on a narrow link a whole configuration takes longer
    /// than it takes an edge to ask again, or operators to change it.
    fn update_edge(&mut self, now: u64, id: LinkId) {
        if self.current_index() == 0 {
            return;
        }
        let Some(edge) = self.peers.get(&id).filter(|edge| edge.configuration.is_written(&edge.link)) else {
            return;
        };
        let update = self.publication.updates.update_from(now, edge.configuration.index);
        // By this the edge knows that it is on its way, and asks nobody else.
        let announcement = update.is_whole.then(|| Frame::Core(self.core_status(false)));
        let Some(edge) = self.peers.get_mut(&id) else { return };
        if let Some(announcement) = announcement {
            edge.link.send(&announcement);
        }
        for message in update.messages {
            edge.link.send_encoded(message.to(&edge.hello));
        }
        let index = edge.configuration.index.max(self.publication.index());
        edge.configuration = SentConfiguration::queued(index, &edge.link);
    }
}
