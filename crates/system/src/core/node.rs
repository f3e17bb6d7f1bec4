//! The one owner of a control head's state: every event comes here, one after the other.

mod leadership;
mod overview;
mod replication;
mod training;

use super::brick_json::BrickView;
use super::brick_json::ReportJson;
use super::disk::{Disk, DiskEvent};
use super::orders::OrderEnd;
use super::peers::LinkId;
use super::training::call::TrainingCall;
use super::training::lead::model_versions;
use crate::clock;
use crate::net::client::ConnectionPool;
use crate::net::link::Link;
use crate::net::mesh::{Mesh, MeshEvent};
use crate::settings::Settings;
use crate::signals::Request;
use anyhow::{Context, Result};
use bytes::Bytes;
use leadership::Leadership;
use pathbank_control::autoscaling::ScaleOrder;
use pathbank_control::demand::DemandTable;
use pathbank_control::directory::Directory;
pub use pathbank_control::operator_calls::Reply;
use pathbank_control::outliers::OutlierTable;
use pathbank_control::state::{Change, Command, ControlState, StateError};
use pathbank_control::usage::UsageLedger;
use pathbank_coordination::fencing::Fence;
use pathbank_coordination::record::Durable;
use pathbank_coordination::replica::{Departure, Replica, Role, Timing};
use pathbank_coordination::types::{Index, Member, Payload, StoreId};
use pathbank_protocol::codec;
use pathbank_protocol::message::{
    AdmissionRequest, Brick, BrickLoad, BrickState, BrickUpdate, ConfigurationUpdate, CoreStatus, Frame,
    Hello, ProcessRole, Subscription,
};
use pathbank_router::wall_clock::WallClock;
use replication::Replication;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// How often a core tells others about itself, milliseconds.
const STATUS_EVERY: u64 = 700;
/// In every so many of these words it names the voters.
const MEMBERS_EVERY: u64 = 4;
/// How often the leader counts the requests at each brick, milliseconds.
const SLOTS_EVERY: u64 = 150;
/// How often the leader tells how much is out at each brick, milliseconds.
const LOADS_EVERY: u64 = 400;
/// And no more than so many bytes a second to each edge.
const LOADS_BYTES_S: u64 = 6_000;
/// How often the settings file is looked at, milliseconds.
const SETTINGS_EVERY: u64 = 2_000;
/// How often the other cores are told again what bricks are about to drop, milliseconds.
const ORDER_NEWS_EVERY: u64 = 3_000;
/// How often bricks that fell silent are looked for, milliseconds.
const EXPIRE_EVERY: u64 = 250;

/// A head that was told to stop waits no longer than this for another store to take its place, milliseconds.
const LEAVE_WITHIN: u64 = 3_000;
/// Nor longer than this for a first word of the leader, milliseconds.
const LEAVE_ANSWER_WITHIN: u64 = 600;

/// Whatever happens to a control head.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A brick's heartbeat.
    Heartbeat(Brick),
    /// A brick ends.
    Deregister(String),
    /// An operator's change.
    Change(Change, oneshot::Sender<Reply>),
    /// An operator asks for the configuration.
    ReadConfiguration(oneshot::Sender<Reply>),
    /// An operator asks for the bricks.
    ReadBricks(oneshot::Sender<Reply>),
    /// An operator asks what is placed where, and why.
    ReadPlacement(oneshot::Sender<Reply>),
    /// An operator asks who holds the duties, and how they stand.
    ReadDuties(oneshot::Sender<Reply>),
    /// An operator asks how things stand.
    ReadStatus(oneshot::Sender<Reply>),
    /// The disk reports.
    Disk(DiskEvent),
    /// Another process opened a link to this one.
    LinkOpened(LinkId, Hello, Link),
    /// Something came on it.
    LinkSaid(LinkId, Frame),
    /// It ended.
    LinkClosed(LinkId),
    /// This process's own links to other cores.
    Mesh(MeshEvent),
    /// An order to a brick has ended.
    OrderEnded(Box<OrderEnd>),
    /// A window's usage was reported, or could not be.
    UsageReported(u64, bool),
    /// The platform took an order of bricks, or gave no clear answer.
    BricksOrdered(ScaleOrder, bool),
    /// A trainer's call.
    Training(TrainingCall, oneshot::Sender<Reply>),
    /// A worker of a training step told how it stands.
    WorkerReported {
        /// The step's model.
        model: String,
        /// The worker's incarnation.
        worker: String,
        /// Its report.
        report: ReportJson,
    },
    /// An order that brings a worker to another version has ended.
    VersionOrderEnded(Box<OrderEnd>),
}

struct Peer {
    hello: Hello,
    link: Link,
    /// It wants all news from this head.
    subscribed: bool,
}

/// Times at which regular work is due.
#[derive(Default)]
struct Due {
    status: u64,
    slots: u64,
    loads: u64,
    settings: u64,
    expire: u64,
    order_news: u64,
}

/// A control head.
pub struct Node {
    settings: Settings,
    life: u64,
    events: UnboundedSender<Event>,
    replication: Replication,
    state: ControlState,
    directory: Directory,
    demand: DemandTable,
    outliers: OutlierTable,
    usage: UsageLedger,
    wall_clock: WallClock,
    peers: BTreeMap<LinkId, Peer>,
    mesh: Mesh,
    pool: ConnectionPool,
    leadership: Leadership,
    /// How often others were told of this head.
    status_round: u64,
    /// The leader that others were told.
    told_leader: Option<StoreId>,
    /// Whether others were told that this head is current.
    told_current: bool,
    /// It was told to stop then.
    stopping_since: Option<u64>,
    /// Why it cannot go on.
    fatal: Option<StateError>,
    due: Due,
}

/// Every command of the log has to be one that this program knows.
fn check_commands(durable: &Durable) -> Result<()> {
    for entry in durable.log.entries() {
        if let Payload::Command(bytes) = &entry.payload {
            Command::decode(bytes).with_context(|| format!("entry {} of this disk's log", entry.index))?;
        }
    }
    Ok(())
}

impl Node {
    /// A control head on what its disk held.
    pub fn new(settings: Settings, disk: Disk, events: UnboundedSender<Event>) -> Result<Node> {
        let life = clock::entropy();
        let hello = Hello {
            role: ProcessRole::Core,
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            life,
        };
        let mesh_events = events.clone();
        let mesh = Mesh::new(hello, move |event| drop(mesh_events.send(Event::Mesh(event))));
        let now = clock::now();
        let snapshot = disk.durable.snapshot.clone();
        let state = ControlState::decode(&snapshot.data).context("state of this disk's snapshot")?;
        check_commands(&disk.durable)?;
        let mut fence = Fence::default();
        fence.restore(snapshot.leaders);
        let replica = Replica::new(disk.me.clone(), Timing::default(), disk.durable.clone(), now, life);
        let mut node = Node {
            directory: Directory::new(settings.heartbeat_ms),
            leadership: Leadership::new(fence),
            replication: Replication::new(replica, disk),
            settings,
            life,
            events,
            state,
            demand: DemandTable::default(),
            outliers: OutlierTable::default(),
            usage: UsageLedger::default(),
            wall_clock: WallClock::default(),
            peers: BTreeMap::new(),
            mesh,
            pool: ConnectionPool::default(),
            status_round: 0,
            told_leader: None,
            told_current: false,
            stopping_since: None,
            fatal: None,
            due: Due::default(),
        };
        node.open_links();
        Ok(node)
    }

    /// Why this head cannot go on, if it cannot.
    pub fn take_fatal(&mut self) -> Option<StateError> {
        self.fatal.take()
    }

    /// Whether a head that was told to stop may end: it is out of the group, or nobody can take its place.
    pub fn may_end(&self, now: u64) -> bool {
        let Some(since) = self.stopping_since else { return false };
        match self.replication.replica.departure() {
            Departure::Free => true,
            Departure::Replacing => now >= since + (self.settings.bounds.grace_ms / 2).min(LEAVE_WITHIN),
            Departure::Unanswered => now >= since + LEAVE_ANSWER_WITHIN,
        }
    }

    /// The last thing that a head does: whoever leads on stands for election at once.
    pub fn end(&mut self, now: u64) {
        let effects = self.replication.replica.hand_over(now);
        self.carry_out(now, effects);
    }

    /// The one function that takes events.
    pub fn on_event(&mut self, now: u64, event: Event) {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Heartbeat(brick) => self.on_heartbeat(now, brick, true),
            Event::Deregister(instance) => {
                if let Some(brick) = self.directory.deregister(now, &instance) {
                    self.tell_edges_of_bricks(vec![brick.clone()]);
                    self.mesh.send_to_all(&Frame::Heartbeats(vec![brick]));
                }
            }
            Event::Change(change, reply) => self.on_change(now, change, reply),
            Event::ReadConfiguration(reply) => self.on_read_configuration(now, reply),
            Event::ReadBricks(reply) => {
                let bricks: Vec<BrickView> = self.directory.bricks().map(BrickView::from).collect();
                let _ = reply.send(Reply::Json(serde_json::to_vec(&bricks).unwrap_or_default()));
            }
            Event::ReadStatus(reply) => {
                let _ = reply.send(Reply::Json(self.status().to_string().into_bytes()));
            }
            Event::ReadPlacement(reply) => self.on_read_placement(now, reply),
            Event::ReadDuties(reply) => self.on_read_duties(now, reply),
            Event::Disk(event) => self.on_disk(now, event),
            Event::LinkOpened(id, hello, link) => self.on_link(id, hello, link),
            Event::LinkSaid(id, frame) => self.on_frame(now, id, frame),
            Event::LinkClosed(id) => drop(self.peers.remove(&id)),
            Event::Mesh(MeshEvent::Opened(address)) => self.on_core_reached(address),
            Event::Mesh(MeshEvent::Closed(_) | MeshEvent::Said(..)) => {}
            Event::OrderEnded(end) => self.on_order_ended(*end),
            Event::UsageReported(window, taken) => self.leadership.usage_reported(window, taken),
            Event::BricksOrdered(order, taken) => self.leadership.bricks_ordered(now, &order, taken),
            Event::Training(call, reply) => self.on_training_call(now, call, reply),
            Event::WorkerReported { model, worker, report } => {
                self.on_worker_reported(now, &model, &worker, &report);
            }
            Event::VersionOrderEnded(end) => self.on_version_order_ended(now, *end),
        }
    }

    /// A signal came.
    pub fn on_signal(&mut self, now: u64, signal: Request) {
        match signal {
            Request::Reload => self.reload(),
            Request::Stop => {
                self.stopping_since.get_or_insert(now);
                self.leave(now);
            }
        }
    }

    /// A voter that ends leaves the group first, where another store can take its place.
    fn leave(&mut self, now: u64) {
        if self.stopping_since.is_some() {
            let effects = self.replication.replica.leave(now);
            self.carry_out(now, effects);
        }
    }

    fn on_tick(&mut self, now: u64) {
        let effects = self.replication.replica.tick(now);
        self.carry_out(now, effects);
        self.leave(now);
        self.watch_disk(now);
        self.regroup(now);
        self.lead(now);
        self.train(now);
        self.tell_configuration(now);
        let leader = self.replication.replica.leader().map(|leader| leader.id);
        let current = self.is_current(now);
        if now >= self.due.status || leader != self.told_leader || current != self.told_current {
            (self.told_leader, self.told_current) = (leader, current);
            self.due.status = now + STATUS_EVERY;
            self.tell_status();
            self.ask_to_join(now);
        }
        if now >= self.due.slots {
            self.due.slots = now + SLOTS_EVERY;
            self.count_slots(now);
        }
        if now >= self.due.loads {
            let bytes = self.tell_loads(now);
            self.due.loads = now + LOADS_EVERY.max(1_000 * bytes / LOADS_BYTES_S);
        }
        if now >= self.due.expire {
            self.due.expire = now + EXPIRE_EVERY;
            self.expire_bricks(now);
            self.demand.tidy(now);
            self.outliers.tidy(now);
            self.leadership.admission.tidy(now);
            self.pool.tidy();
        }
        if now >= self.due.order_news {
            self.due.order_news = now + ORDER_NEWS_EVERY;
            self.repeat_order_news();
        }
        if now >= self.due.settings {
            self.due.settings = now + SETTINGS_EVERY;
            self.reload();
        }
    }

    fn reload(&mut self) {
        match self.settings.reload() {
            Some(Ok(settings)) => self.settings.seeds = settings.seeds,
            Some(Err(error)) => tracing::warn!(%error, "settings file not taken over"),
            None => {}
        }
        self.open_links();
    }

    // ---- links ----

    /// Links to all voters, to the seeds, and to stores that take part.
    fn open_links(&mut self) {
        let own = self.settings.own_internal_address();
        let members = self.replication.replica.membership().members().map(|member| &member.address);
        let learners = self.replication.replica.others().map(|(member, ..)| &member.address);
        let mut addresses: Vec<SocketAddr> =
            members.chain(learners).filter_map(|address| address.parse().ok()).collect();
        addresses
            .extend(self.replication.callers.iter().filter_map(|address| address.parse::<SocketAddr>().ok()));
        addresses.extend(self.settings.seeds.iter().map(|seed| self.settings.internal_address(*seed)));
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own);
        self.mesh.want(&addresses);
    }

    fn on_link(&mut self, id: LinkId, hello: Hello, link: Link) {
        if hello.role == ProcessRole::Edge {
            link.send(&Frame::Core(self.core_status(true)));
        }
        self.peers.insert(id, Peer { hello, link, subscribed: false });
    }

    /// An edge wants all news from this head: it gets what stands first.
    fn on_subscribe(&mut self, id: LinkId, subscription: Subscription) {
        let bricks = BrickUpdate { complete: true, bricks: self.directory.bricks().collect() };
        let configuration =
            self.told_configuration().filter(|update| update.index > subscription.known_index);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.subscribed = subscription.wanted;
        if !subscription.wanted {
            return;
        }
        if let Some(update) = configuration {
            peer.link.send(&Frame::Configuration(update));
        }
        peer.link.send(&Frame::Bricks(bricks));
        let versions = model_versions(self.state.training());
        if !versions.is_empty() {
            peer.link.send(&Frame::ModelVersions(versions));
        }
    }

    fn send_configuration_to(&self, id: LinkId) {
        if let (Some(peer), Some(update)) = (self.peers.get(&id), self.told_configuration()) {
            peer.link.send(&Frame::Configuration(update));
        }
    }

    /// Another core is reached: it gets all bricks that this one knows.
    fn on_core_reached(&mut self, address: SocketAddr) {
        let bricks: Vec<Brick> = self.directory.bricks().collect();
        if !bricks.is_empty() {
            self.mesh.send(address, &Frame::Heartbeats(bricks));
        }
        self.mesh.send(address, &Frame::Core(self.core_status(true)));
        self.ask_to_join(clock::now());
    }

    fn on_frame(&mut self, now: u64, id: LinkId, frame: Frame) {
        match frame {
            Frame::Replica(from, message) => self.on_replica_message(now, from, message),
            Frame::Heartbeats(bricks) => {
                bricks.into_iter().for_each(|brick| self.on_heartbeat(now, brick, false));
            }
            Frame::Report(report) => {
                self.usage.note(&report.edge, report.life, &report.usage, self.state.last_sealed());
                self.demand.note(now, &report);
                self.outliers.note(now, &report.loads);
                if self.replication.replica.role() == Role::Leader {
                    self.leadership.told(now, self.replication.replica.term(), &report.edge);
                }
                if report.demand.iter().any(|demand| demand.waiting > 0) {
                    self.place_soon(now);
                }
            }
            Frame::Core(status) => {
                if let Some(peer) = self.peers.get(&id) {
                    self.wall_clock.note(now, &peer.hello.name, status.wall_clock_ms);
                }
            }
            Frame::Subscribe(subscription) => self.on_subscribe(id, subscription),
            Frame::FetchConfiguration => self.send_configuration_to(id),
            Frame::AdmissionRequest(request) => self.on_admission_request(now, id, &request),
            // A leader's own orders are what it knows best; one that led before may still tell of its last ones.
            Frame::BrickNews(news) if !self.replication.replica.is_settled_leader() => {
                let brick = self.directory.ordered(now, news);
                self.tell_edges_of_bricks(brick.into_iter().collect());
            }
            Frame::DrawRequest(request) => self.on_draw_request(now, id, request),
            Frame::DrawResult(result) => self.on_draw_result(now, result),
            // The leader's word, passed on to the edges that listen here.
            Frame::Loads(_) => self.tell_subscribers(&frame),
            Frame::Hello(_)
            | Frame::Configuration(_)
            | Frame::Bricks(_)
            | Frame::AdmissionGrant(_)
            | Frame::DrawOffer(_)
            | Frame::DrawGrant(_)
            | Frame::ModelVersions(_)
            | Frame::BrickNews(_)
            | Frame::Ping(_) => {}
        }
    }

    /// Only the leader grants, for a line in two places is none.
    fn on_admission_request(&mut self, now: u64, id: LinkId, request: &AdmissionRequest) {
        if !self.replication.replica.is_settled_leader() {
            return;
        }
        let grant = self.leadership.admission.admit(now, request);
        if let (Some(grant), Some(peer)) = (grant, self.peers.get(&id)) {
            peer.link.send(&Frame::AdmissionGrant(grant));
        }
    }

    fn edges(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.hello.role == ProcessRole::Edge && !peer.link.is_closed())
    }

    fn tell_edges(&self, frame: &Frame) {
        self.tell(frame, |_| true);
    }

    fn tell_subscribers(&self, frame: &Frame) {
        self.tell(frame, |edge| edge.subscribed);
    }

    fn tell(&self, frame: &Frame, wanted: impl Fn(&Peer) -> bool) {
        let bytes: Bytes = codec::encode(frame).into();
        for edge in self.edges().filter(|edge| wanted(edge)) {
            edge.link.send_encoded(bytes.clone());
        }
    }

    /// Edges that listen here hear of every change. That a brick leaves is told to all edges, by every head that hears
    /// of it: no request may reach it much later.
    fn tell_edges_of_bricks(&self, bricks: Vec<Brick>) {
        if bricks.is_empty() {
            return;
        }
        let leaving: Vec<Brick> =
            bricks.iter().filter(|brick| brick.state != BrickState::Ready).cloned().collect();
        self.tell_subscribers(&Frame::Bricks(BrickUpdate { complete: false, bricks }));
        if !leaving.is_empty() {
            let update = Frame::Bricks(BrickUpdate { complete: false, bricks: leaving });
            self.tell(&update, |edge| !edge.subscribed);
        }
    }

    /// An order that this leader gave changes what a brick may be used for: its edges and the other cores hear of it.
    /// `reported`: the brick just said what it holds.
    fn tell_order_news(&self, instance: &str, reported: bool) {
        self.tell_edges_of_bricks(self.directory.brick(instance).into_iter().collect());
        if let Some(news) = self.directory.news(instance, reported) {
            self.mesh.send_to_all(&Frame::BrickNews(news));
        }
    }

    /// What the other cores were told of withheld models holds only for a while.
    fn repeat_order_news(&self) {
        if !self.replication.replica.is_settled_leader() {
            return;
        }
        for news in self.directory.withheld().filter_map(|instance| self.directory.news(instance, false)) {
            self.mesh.send_to_all(&Frame::BrickNews(news));
        }
    }

    /// A word about this head; the voters are told only now and then.
    fn core_status(&self, with_members: bool) -> CoreStatus {
        let replica = &self.replication.replica;
        let members = replica.membership().members().filter(|_| with_members).cloned();
        CoreStatus {
            members: members.collect(),
            leader: replica.leader().map(|leader| leader.address.clone()).unwrap_or_default(),
            edges: self.edges().count() as u32,
            wall_clock_ms: clock::wall_clock(),
            zone: self.settings.zone.clone(),
            configuration_index: self.tellable_document().map_or(0, |(index, _)| index),
            current: self.is_current(clock::now()),
        }
    }

    fn tell_status(&mut self) {
        self.wall_clock.note(clock::now(), &self.settings.node_name, clock::wall_clock());
        self.status_round += 1;
        let with_members = self.status_round.is_multiple_of(MEMBERS_EVERY);
        let frame = Frame::Core(self.core_status(with_members));
        self.tell_edges(&frame);
        self.mesh.send_to_all(&frame);
        self.open_links();
    }

    /// What is out at bricks, and which of them fail much, by the reports of all edges.
    fn joint_loads(&self, now: u64) -> Vec<BrickLoad> {
        let ready: Vec<Brick> = self.directory.ready().collect();
        self.demand.joint_loads(now, self.outliers.outliers(now, &ready))
    }

    /// The leader's line of prompts has to know which slots are taken.
    fn count_slots(&mut self, now: u64) {
        if self.replication.replica.is_settled_leader() {
            let ready: Vec<Brick> = self.directory.ready().collect();
            self.leadership.admission.note_slots(&ready, &self.demand.in_flight(now));
        }
    }

    /// The leader hears from every edge what is out at bricks, and tells all what it comes to.
    /// Returns the message's bytes.
    fn tell_loads(&mut self, now: u64) -> u64 {
        let loads = self.joint_loads(now);
        if !self.replication.replica.is_settled_leader() || loads.is_empty() {
            return 0;
        }
        let frame = Frame::Loads(loads);
        self.tell_subscribers(&frame);
        self.mesh.send_to_all(&frame);
        codec::encode(&frame).len() as u64
    }

    fn status(&self) -> serde_json::Value {
        let replica = &self.replication.replica;
        let voters = replica.membership().members().map(|member: &Member| {
            serde_json::json!({ "store": format!("{:016x}", member.id.0), "control": member.control_address })
        });
        let edges = self.edges().map(|edge| edge.hello.name.clone());
        serde_json::json!({
            "node": self.settings.node_name,
            "life": format!("{:016x}", self.life),
            "role": format!("{:?}", replica.role()),
            "term": replica.term(),
            "leader": replica.leader().map(|leader| leader.control_address.clone()),
            "commit": replica.commit(),
            "configuration_version": self.state.version(),
            "voters": voters.collect::<Vec<_>>(),
            "edges": edges.collect::<Vec<_>>(),
            "bricks": self.directory.ready().count(),
        })
    }

    // ---- bricks ----

    /// Bricks that fell silent. Only edges that listen here are told: it is no more than a guess.
    fn expire_bricks(&mut self, now: u64) {
        let lapsed = self.directory.lapse(now);
        self.tell_edges_of_bricks(lapsed);
        if !self.is_current(now) {
            return self.directory.forgive_silence(now);
        }
        let bricks = self.directory.expire(now);
        if !bricks.is_empty() {
            tracing::info!(count = bricks.len(), "bricks fell silent");
            self.tell_subscribers(&Frame::Bricks(BrickUpdate { complete: false, bricks }));
        }
    }

    fn on_heartbeat(&mut self, now: u64, brick: Brick, own: bool) {
        let instance = brick.instance.clone();
        let heard = self.directory.heard(now, brick);
        let Some(brick) = self.directory.brick(&instance) else { return };
        if heard.relay && own {
            self.mesh.send_to_all(&Frame::Heartbeats(vec![brick.clone()]));
        }
        self.tell_edges_of_bricks(heard.displaced);
        if heard.changed {
            self.tell_edges_of_bricks(vec![brick]);
        }
    }

    /// The configuration that edges may be given: none while this head is out of contact with a majority.
    fn tellable_document(&self) -> Option<(Index, &serde_json::Value)> {
        self.replication.told_document().filter(|_| self.is_current(clock::now()))
    }

    /// The same as it is sent.
    fn told_configuration(&self) -> Option<ConfigurationUpdate> {
        let (index, document) = self.tellable_document()?;
        Some(ConfigurationUpdate { index, base_index: 0, document: document.to_string().into_bytes() })
    }
}
