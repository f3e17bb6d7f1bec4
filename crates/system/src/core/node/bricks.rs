//! Bricks: their heartbeats, their silence, what is out at them, and who is sent news of them.

use super::Node;
use crate::core::peers::LinkId;
use crate::startup::Milestone;
use pathbank_control::pending_news::News;
use pathbank_protocol::codec::{self, SharedMessage};
use pathbank_protocol::message::{AdmissionRequest, Brick, BrickLoad, BrickState, BrickUpdate, Frame};
use std::collections::BTreeSet;

impl Node {
    /// Only the leader grants, for a line in two places is none.
    pub(super) fn on_admission_request(&mut self, now: u64, id: LinkId, request: &AdmissionRequest) {
        if !self.replication.replica.is_settled_leader() {
            return;
        }
        let grant = self.leadership.admission.admit(now, request);
        if let (Some(grant), Some(peer)) = (grant, self.peers.get(&id)) {
            peer.link.send(&Frame::AdmissionGrant(grant));
        }
    }

    /// All bricks, for an edge that begins to listen here. Many may begin at once: it is made ready anew only after a change.
    pub(super) fn all_bricks(&mut self) -> SharedMessage {
        let directory = &self.directory;
        let make = || {
            let bricks = directory.bricks().collect();
            SharedMessage::new(&Frame::Bricks(BrickUpdate { complete: true, bricks }))
        };
        self.all_bricks.get_or_insert_with(make).clone()
    }

    /// Edges that listen here hear of every change. That a brick leaves is told to all edges, by every head that hears
    /// of it: no request may reach it much later.
    pub(super) fn publish_bricks(&mut self, bricks: Vec<Brick>) {
        if bricks.is_empty() {
            return;
        }
        self.all_bricks = None;
        let leaving: Vec<Brick> =
            bricks.iter().filter(|brick| brick.state != BrickState::Ready).cloned().collect();
        self.publish_to_subscribers(&Frame::Bricks(BrickUpdate { complete: false, bricks }));
        if !leaving.is_empty() {
            let update = Frame::Bricks(BrickUpdate { complete: false, bricks: leaving });
            self.tell(&update, |edge| !edge.subscribed);
        }
    }

    /// An order that this leader gave changes what a brick may be used for: its edges and the other cores hear of it.
    /// `reported`: the brick just said what it holds.
    pub(super) fn publish_order_update(&mut self, instance: &str, reported: bool) {
        self.publish_bricks(self.directory.brick(instance).into_iter().collect());
        if let Some(news) = self.directory.news(instance, reported) {
            self.mesh.send_to_all(&Frame::BrickNews(news));
        }
    }

    /// What the other cores were told of withheld models holds only for a while.
    pub(super) fn repeat_order_updates(&self) {
        if !self.replication.replica.is_settled_leader() {
            return;
        }
        for news in self.directory.withheld().filter_map(|instance| self.directory.news(instance, false)) {
            self.mesh.send_to_all(&Frame::BrickNews(news));
        }
    }

    /// What is out at bricks, and which of them fail much, by the reports of all edges.
    pub(super) fn joint_loads(&self, now: u64) -> Vec<BrickLoad> {
        let ready: Vec<Brick> = self.directory.ready().collect();
        self.demand.joint_loads(now, self.outliers.outliers(now, &ready))
    }

    /// The leader's line of prompts has to know which slots are taken.
    pub(super) fn count_slots(&mut self, now: u64) {
        if self.replication.replica.is_settled_leader() {
            let ready: Vec<Brick> = self.directory.ready().collect();
            self.leadership.admission.note_slots(&ready, &self.demand.in_flight(now));
        }
    }

    /// The leader hears from every edge what is out at bricks, and tells all what it comes to.
    /// Returns the message's bytes.
    pub(super) fn publish_loads(&mut self, now: u64) -> u64 {
        if !self.replication.replica.is_settled_leader() {
            return 0;
        }
        let loads = self.joint_loads(now);
        if loads.is_empty() {
            return 0;
        }
        let frame = Frame::Loads(loads);
        self.publish_to_subscribers(&frame);
        self.mesh.send_to_all(&frame);
        codec::encode(&frame).len() as u64
    }

    /// Bricks that fell silent. Only edges that listen here are told: it is no more than a guess.
    pub(super) fn expire_bricks(&mut self, now: u64) {
        let lapsed = self.directory.lapse(now);
        self.publish_bricks(lapsed);
        if !self.is_current(now) {
            return self.directory.forgive_silence(now);
        }
        let bricks = self.directory.expire(now);
        if !bricks.is_empty() {
            tracing::info!(count = bricks.len(), "bricks fell silent");
            self.all_bricks = None;
            self.publish_to_subscribers(&Frame::Bricks(BrickUpdate { complete: false, bricks }));
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: u64, brick: Brick, own: bool) {
        self.startup.reach(Milestone::BrickKnown);
        let instance = brick.instance.clone();
        let heard = self.directory.heard(now, brick);
        let Some(state) = self.directory.state(&instance) else { return };
        if heard.changed || !heard.displaced.is_empty() {
            self.all_bricks = None;
        }
        heard.displaced.into_iter().for_each(|brick| self.pending_news.note_leaving(brick.instance));
        if heard.relay && own {
            self.pending_news.note_relayed(instance.clone());
        }
        if heard.changed {
            match state {
                BrickState::Ready => self.pending_news.note_changed(instance),
                BrickState::Draining | BrickState::Gone => self.pending_news.note_leaving(instance),
            }
        }
        self.publish_urgent_news(now);
    }

    /// A brick said that it ends.
    pub(super) fn on_deregister(&mut self, now: u64, instance: &str) {
        if self.directory.deregister(now, instance).is_none() {
            return;
        }
        self.all_bricks = None;
        self.pending_news.note_leaving(instance.to_owned());
        self.pending_news.note_relayed(instance.to_owned());
        self.publish_urgent_news(now);
    }

    /// No request may reach a brick that leaves much later; what else there is to tell of bricks goes together.
    fn publish_urgent_news(&mut self, now: u64) {
        if let Some(news) = self.pending_news.take_urgent(now) {
            self.publish_news(news);
        }
    }

    /// Tells what is new of bricks since the last time.
    pub(super) fn publish_brick_news(&mut self, now: u64) {
        let news = self.pending_news.take(now);
        self.publish_news(news);
    }

    /// Each brick is told as it is now.
    fn publish_news(&self, news: News) {
        let known = |instances: BTreeSet<String>| -> Vec<Brick> {
            instances.iter().filter_map(|instance| self.directory.brick(instance)).collect()
        };
        let update = |bricks| Frame::Bricks(BrickUpdate { complete: false, bricks });
        let [leaving, changed, relayed] = [news.leaving, news.changed, news.relayed].map(known);
        if !relayed.is_empty() {
            self.mesh.send_to_all(&Frame::Heartbeats(relayed));
        }
        // Every head that hears of it tells all edges: one of them may be out of touch.
        if !leaving.is_empty() {
            self.publish_to_edges(&update(leaving));
        }
        if !changed.is_empty() {
            self.publish_to_subscribers(&update(changed));
        }
    }
}
