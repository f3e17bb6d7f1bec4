//! Publication of the replicated state to edges: the configuration, as a difference from the one that each edge
//! has or in full, and the versions of models. A core publishes only while it is current: what it replays from
//! the log may be outdated.

use super::configuration_updates::{ConfigurationUpdates, SentConfiguration, Update};
use super::event::LinkId;
use super::links::PeerLinks;
use pathbank_control::document::Document;
use pathbank_coordination::types::Index;
use pathbank_protocol::message::{Frame, ModelVersions};
use std::collections::BTreeMap;

/// Changes in quick succession are published together.
const MIN_PUBLISH_INTERVAL_MS: u64 = 150;

/// What edges were sent of the replicated state.
#[derive(Default)]
pub struct Publication {
    updates: ConfigurationUpdates,
    /// When a configuration was published last.
    published_at: u64,
    /// What each edge was sent of the configuration; nothing is recorded before the first message.
    sent: BTreeMap<LinkId, SentConfiguration>,
    /// The versions of models that subscribers know. `None`: unknown, this core was not current.
    versions: Option<Vec<ModelVersions>>,
}

impl Publication {
    /// Remembers a document that was applied, for later differences. `bytes`: the size of the change.
    pub fn record_document(&mut self, index: Index, document: &Document, bytes: usize) {
        self.updates.record(index, document, bytes);
    }

    /// The log entry of the published configuration; 0: none.
    pub fn index(&self) -> Index {
        self.updates.index()
    }

    /// The versions of models that subscribers know, while this core is current.
    pub fn versions(&self) -> Option<&[ModelVersions]> {
        self.versions.as_deref()
    }

    /// Whether a configuration may be published now: it is not yet, and the last one is old enough.
    pub fn is_due(&self, now: u64, index: Index) -> bool {
        index != self.index() && now >= self.published_at + MIN_PUBLISH_INTERVAL_MS
    }

    /// Makes a document the published one.
    pub fn publish(&mut self, now: u64, index: Index, document: &Document) {
        self.updates.publish(index, document);
        self.published_at = now;
    }

    /// Takes over the versions of models. Returns them if subscribers have to be notified.
    pub fn changed_versions(&mut self, versions: Vec<ModelVersions>) -> Option<&[ModelVersions]> {
        let is_known = match &self.versions {
            Some(known) => *known == versions,
            None => versions.is_empty(),
        };
        if is_known {
            return None;
        }
        self.versions = Some(versions);
        self.versions()
    }

    /// This core is not current: what it publishes next may differ from what subscribers know.
    pub fn forget_versions(&mut self) {
        self.versions = None;
    }

    /// Subscribers whose configuration is older than `newest`.
    pub fn outdated_subscribers(&self, links: &PeerLinks, newest: Index) -> Vec<LinkId> {
        links.subscribers().map(|(id, _)| id).filter(|id| self.sent(*id).index < newest).collect()
    }

    fn sent(&self, id: LinkId) -> SentConfiguration {
        self.sent.get(&id).copied().unwrap_or_default()
    }

    /// An edge asked for what is newer than the configuration that it has. Returns whether it is to be answered: not while
    /// an answer is on its way, nor if the question crossed a full configuration.
    pub fn set_known(&mut self, now: u64, links: &PeerLinks, id: LinkId, known: Index) -> bool {
        let Some(link) = links.link(id) else { return false };
        let sent = self.sent.entry(id).or_default();
        if !sent.is_written(link) || sent.crosses_full_configuration(now, known) {
            return false;
        }
        sent.index = known;
        true
    }

    /// What an edge lacks. `None` while an earlier answer is on its way: on a slow link a full configuration
    /// takes longer than the edge waits before it asks again.
    pub fn next_update(&mut self, now: u64, links: &PeerLinks, id: LinkId) -> Option<Update> {
        let sent = self.sent(id);
        links.link(id).filter(|link| sent.is_written(link))?;
        Some(self.updates.update_from(now, sent.index))
    }

    /// Sends an edge an update. `announcement` goes first: by it the edge knows that a full configuration is on its
    /// way, and asks no other core.
    pub fn send(&mut self, links: &PeerLinks, id: LinkId, update: &Update, announcement: Option<&Frame>) {
        let Some(link) = links.link(id) else { return };
        if let Some(announcement) = announcement {
            link.send(announcement);
        }
        for message in &update.messages {
            links.send_shared(id, message);
        }
        let newest = self.index();
        let sent = self.sent.entry(id).or_default();
        sent.record_queued(sent.index.max(newest), update.is_full, link);
    }

    /// Forgets an edge whose link was closed.
    pub fn forget(&mut self, id: LinkId) {
        self.sent.remove(&id);
    }
}
