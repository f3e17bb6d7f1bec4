//! What edge heads are told of the replicated state: of configurations what changed since the one that they have, and the versions
//! of models. Nothing is told before all that is committed was applied: what a log is replayed through is no news.

use super::{Node, Peer};
use crate::clock;
use crate::core::peers::LinkId;
use crate::core::training::lead::model_versions;
use crate::net::link::{Link, Mark};
use pathbank_control::document::Document;
use pathbank_control::document_history::DocumentHistory;
use pathbank_control::edge_document;
use pathbank_coordination::types::Index;
use pathbank_protocol::codec::SharedMessage;
use pathbank_protocol::message::{ConfigurationUpdate, Frame, ModelVersions, ProcessRole};
use std::collections::BTreeMap;

/// Edges are told of changes at least so far apart, milliseconds.
const PUBLISH_APART: u64 = 150;
/// A whole configuration that was made ready serves all edges that lack one for so long, with what changed since, milliseconds.
const WHOLE_KEPT: u64 = 2_000;

/// The configuration that edges are told, and those that they may have.
#[derive(Default)]
pub struct Publication {
    history: DocumentHistory,
    /// What was told last, and the entry that brought it.
    newest: Option<(Index, Document)>,
    told_at: u64,
    /// What leads on from earlier entries to the newest one, as far as it was made ready. `None`: nothing does.
    differences: BTreeMap<Index, Option<SharedMessage>>,
    whole: Option<ReadyWhole>,
    /// The versions of models that those who listen here have. `None`: unknown.
    versions: Option<Vec<ModelVersions>>,
}

/// A whole configuration as edges get it.
struct ReadyWhole {
    index: Index,
    made_at: u64,
    message: SharedMessage,
}

/// What an edge is to be sent, in order.
#[derive(Default)]
struct Update {
    is_whole: bool,
    messages: Vec<SharedMessage>,
}

/// The configuration that an edge was sent on a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentConfiguration {
    /// The entry of the configuration that it has, or is being sent; 0: none.
    index: Index,
    /// Where that ends on its link.
    end: Mark,
}

impl SentConfiguration {
    /// Whether the edge has been sent all that was meant for it.
    fn is_written(&self, link: &Link) -> bool {
        link.has_written(self.end)
    }
}

fn encoded(index: Index, base_index: Index, document: &serde_json::Value) -> SharedMessage {
    let document = document.to_string().into_bytes();
    SharedMessage::new(&Frame::Configuration(ConfigurationUpdate { index, base_index, document }))
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

    /// Edges are told of this document from now on.
    fn publish(&mut self, now: u64, index: Index, document: &Document) {
        self.newest = Some((index, document.clone()));
        self.told_at = now;
        self.differences.clear();
    }

    /// What an edge is sent that has the document of `known`, or none (0).
    fn update_from(&mut self, now: u64, known: Index) -> Update {
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

    /// The whole configuration. Making one ready costs as much as it holds, and all edges may lack it at once: it is kept, and
    /// what changed since goes behind it.
    fn whole(&mut self, now: u64) -> Vec<SharedMessage> {
        if let Some(whole) = self.whole.as_ref().filter(|whole| now < whole.made_at + WHOLE_KEPT) {
            let (index, message) = (whole.index, whole.message.clone());
            if index == self.index() {
                return vec![message];
            }
            if let Some(difference) = self.difference_from(index) {
                return vec![message, difference];
            }
        }
        let Some((index, document)) = &self.newest else { return Vec::new() };
        let message = encoded(*index, 0, &edge_document::whole(document));
        self.whole = Some(ReadyWhole { index: *index, made_at: now, message: message.clone() });
        vec![message]
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
        self.publication.publish(now, index, document);
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

    /// Sends an edge what it lacks. One answer at a time: on a narrow link a whole configuration takes longer than it takes an
    /// edge to ask again, or operators to change it.
    fn update_edge(&mut self, now: u64, id: LinkId) {
        if self.current_index() == 0 {
            return;
        }
        let Some(edge) = self.peers.get(&id).filter(|edge| edge.configuration.is_written(&edge.link)) else {
            return;
        };
        let update = self.publication.update_from(now, edge.configuration.index);
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
        edge.configuration = SentConfiguration { index, end: edge.link.mark() };
    }
}
