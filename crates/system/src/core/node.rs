//! The one owner of a core's state: every event comes here, one after the other.

mod leadership;
mod links;
mod model_servers;
mod overview;
mod publication;
mod replication;
mod training;

use super::configuration_updates::SentConfiguration;
use super::disk::Disk;
use super::event::{Event, LinkId};
use super::model_server_json::ModelServerView;
use crate::clock;
use crate::net::client::ConnectionPool;
use crate::net::link::Link;
use crate::net::mesh::{Mesh, MeshEvent};
use crate::settings::Settings;
use crate::signals::Request;
use crate::startup::{Milestone, Startup};
use anyhow::{Context, Result};
use leadership::Leadership;
use pathbank_control::demand::DemandTable;
use pathbank_control::directory::Directory;
use pathbank_control::edge_configurations::EdgeConfigurations;
use pathbank_control::operator_calls::Reply;
use pathbank_control::outliers::OutlierTable;
use pathbank_control::pending_changes::PendingChanges;
use pathbank_control::state::{Command, ControlState, StateError};
use pathbank_control::usage::UsageTable;
use pathbank_coordination::fencing::FencingGuard;
use pathbank_coordination::record::DurableState;
use pathbank_coordination::replica::{Departure, Replica, Timing};
use pathbank_coordination::types::{Payload, StoreId};
use pathbank_protocol::codec::SharedMessage;
use pathbank_protocol::message::{Hello, ProcessRole};
use pathbank_router::wall_clock::WallClock;
use publication::Publication;
use replication::Replication;
use std::collections::BTreeMap;
use tokio::sync::mpsc::UnboundedSender;

/// How often a core tells others about itself, milliseconds.
const STATUS_INTERVAL_MS: u64 = 700;
/// In every so many of these words it names the voters.
const STATUSES_PER_MEMBERSHIP: u64 = 4;
/// How often the leader counts the requests at each model server, milliseconds.
const SLOT_COUNT_INTERVAL_MS: u64 = 150;
/// How often the leader tells how much is out at each model server, milliseconds.
const MIN_LOADS_INTERVAL_MS: u64 = 400;
/// And no more than so many bytes a second to each edge.
const MAX_LOADS_BYTES_PER_S: u64 = 6_000;
/// How often the settings file is looked at, milliseconds.
const SETTINGS_POLL_INTERVAL_MS: u64 = 2_000;
/// How often the other cores are told again what model servers are about to drop, milliseconds.
const ORDER_STATUS_INTERVAL_MS: u64 = 3_000;
/// How often model servers that fell silent are looked for, milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 250;

/// A head that was told to stop waits no longer than this for another store to take its place, milliseconds.
const REPLACEMENT_TIMEOUT_MS: u64 = 3_000;
/// Nor longer than this for a first word of the leader, milliseconds.
const DEPARTURE_ACK_TIMEOUT_MS: u64 = 600;

struct Peer {
    hello: Hello,
    link: Link,
    /// It wants all news from this head.
    subscribed: bool,
    /// What it was sent of the configuration.
    configuration: SentConfiguration,
}

/// Times at which regular work is due.
#[derive(Default)]
struct Schedule {
    status: u64,
    slots: u64,
    loads: u64,
    settings: u64,
    expire: u64,
    order_updates: u64,
}

/// A core.
pub struct Node {
    settings: Settings,
    incarnation: u64,
    /// How this head came to serve.
    startup: Startup,
    events: UnboundedSender<Event>,
    replication: Replication,
    publication: Publication,
    state: ControlState,
    directory: Directory,
    /// All model servers as an edge is told of them that begins to listen here, unless they have changed
    /// since.
    all_servers: Option<SharedMessage>,
    pending_changes: PendingChanges,
    demand: DemandTable,
    outliers: OutlierTable,
    /// Which edges have which configuration in force.
    holders: EdgeConfigurations,
    usage: UsageTable,
    wall_clock: WallClock,
    peers: BTreeMap<LinkId, Peer>,
    mesh: Mesh,
    pool: ConnectionPool,
    leadership: Leadership,
    /// How often others were told of this head.
    status_round: u64,
    /// The leader that others were told.
    published_leader: Option<StoreId>,
    /// Whether others were told that this head is current.
    published_current: bool,
    /// It was told to stop then.
    stopping_since: Option<u64>,
    /// Why it cannot go on.
    fatal: Option<StateError>,
    due: Schedule,
}

/// Every command of the log has to be one that this program knows.
fn check_commands(durable: &DurableState) -> Result<()> {
    for entry in durable.log.entries() {
        if let Payload::Command(bytes) = &entry.payload {
            Command::decode(bytes).with_context(|| format!("entry {} of this disk's log", entry.index))?;
        }
    }
    Ok(())
}

impl Node {
    /// A core on what its disk held.
    pub fn new(
        settings: Settings,
        disk: Disk,
        events: UnboundedSender<Event>,
        startup: Startup,
    ) -> Result<Node> {
        let incarnation = clock::entropy();
        let hello = Hello {
            role: ProcessRole::Core,
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            incarnation,
            accepts_compression: true,
        };
        let mesh_events = events.clone();
        let mesh = Mesh::new(hello, move |event| drop(mesh_events.send(Event::Mesh(event))));
        let now = clock::now();
        let snapshot = disk.durable.snapshot.clone();
        let state = ControlState::decode(&snapshot.data).context("state of this disk's snapshot")?;
        check_commands(&disk.durable)?;
        let mut fence = FencingGuard::default();
        fence.restore(snapshot.leaders);
        let replica =
            Replica::new(disk.me.clone(), Timing::default(), disk.durable.clone(), now, incarnation);
        let mut node = Node {
            directory: Directory::new(settings.heartbeat_ms),
            all_servers: None,
            pending_changes: PendingChanges::default(),
            leadership: Leadership::new(fence),
            replication: Replication::new(replica, disk),
            publication: Publication::default(),
            settings,
            incarnation,
            startup,
            events,
            state,
            demand: DemandTable::default(),
            outliers: OutlierTable::default(),
            holders: EdgeConfigurations::default(),
            usage: UsageTable::default(),
            wall_clock: WallClock::default(),
            peers: BTreeMap::new(),
            mesh,
            pool: ConnectionPool::default(),
            status_round: 0,
            published_leader: None,
            published_current: false,
            stopping_since: None,
            fatal: None,
            due: Schedule::default(),
        };
        node.note_document(snapshot.data.len());
        node.open_links();
        Ok(node)
    }

    /// Links and callers are accepted from now on.
    pub fn listens(&self) {
        self.startup.reach(Milestone::Listening);
    }

    /// Why this head cannot go on, if it cannot.
    pub fn take_fatal(&mut self) -> Option<StateError> {
        self.fatal.take()
    }

    /// Whether a head that was told to stop may end: it is out of the group, or nobody can take its place.
    pub fn may_end(&self, now: u64) -> bool {
        let Some(since) = self.stopping_since else { return false };
        match self.replication.replica.departure() {
            Departure::Permitted => true,
            Departure::AwaitingReplacement => {
                now >= since + (self.settings.bounds.grace_ms / 2).min(REPLACEMENT_TIMEOUT_MS)
            }
            Departure::AwaitingReply => now >= since + DEPARTURE_ACK_TIMEOUT_MS,
        }
    }

    /// The last thing that a head does: what it has heard of model servers is told, and whoever leads on
    /// stands for election at once.
    pub fn end(&mut self, now: u64) {
        self.publish_server_changes(now);
        let effects = self.replication.replica.transfer_leadership(now);
        self.carry_out(now, effects);
    }

    /// The one function that takes events.
    pub fn on_event(&mut self, now: u64, event: Event) {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Heartbeat(server) => self.on_heartbeat(now, server, true),
            Event::Deregister(instance) => self.on_deregister(now, &instance),
            Event::Change(change, reply) => self.on_change(now, change, reply),
            Event::ReadConfiguration(reply) => self.on_read_configuration(now, reply),
            Event::ReadModelServers(reply) => {
                let servers: Vec<ModelServerView> =
                    self.directory.servers().map(ModelServerView::from).collect();
                let _ = reply.send(Reply::Json(serde_json::to_vec(&servers).unwrap_or_default()));
            }
            Event::ReadStatus(reply) => {
                let _ = reply.send(Reply::Json(self.status(now).to_string().into_bytes()));
            }
            Event::ReadPlacement(reply) => self.on_read_placement(now, reply),
            Event::ReadSingletonRoles(reply) => self.on_read_singleton_roles(now, reply),
            Event::Disk(event) => self.on_disk(now, event),
            Event::LinkOpened(id, hello, link) => self.on_link(id, hello, link),
            Event::FrameReceived(id, frame) => self.on_frame(now, id, frame),
            Event::LinkClosed(id) => drop(self.peers.remove(&id)),
            Event::Mesh(MeshEvent::Opened(address)) => self.on_core_reached(address),
            Event::Mesh(MeshEvent::Closed(_) | MeshEvent::Said(..)) => {}
            Event::OrderFinished(end) => self.on_order_finished(*end),
            Event::UsageReported { window, outcome } => self.leadership.usage_reported(window, outcome),
            Event::ServersOrdered { order, outcome } => self.leadership.servers_ordered(now, &order, outcome),
            Event::Training(call, reply) => self.on_training_call(now, call, reply),
            Event::WorkerReported { model, worker, report } => {
                self.on_worker_reported(now, &model, &worker, &report);
            }
            Event::VersionOrderFinished(end) => self.on_version_order_finished(now, *end),
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
        self.publish_configuration(now);
        self.update_subscribers(now);
        self.publish_versions(now);
        self.publish_server_changes(now);
        let leader = self.replication.replica.leader().map(|leader| leader.id);
        let current = self.is_current(now);
        if leader.is_some() {
            self.startup.reach(Milestone::LeaderKnown);
        }
        if current != self.published_current {
            self.startup.reach(Milestone::Current);
            let replication = &self.replication;
            let (commit, applied) = (replication.replica.commit(), replication.applied());
            tracing::info!(current, commit, applied, "contact with a majority");
        }
        if now >= self.due.status || leader != self.published_leader || current != self.published_current {
            (self.published_leader, self.published_current) = (leader, current);
            self.due.status = now + STATUS_INTERVAL_MS;
            self.publish_status();
            self.ask_to_join(now);
        }
        if now >= self.due.slots {
            self.due.slots = now + SLOT_COUNT_INTERVAL_MS;
            self.count_slots(now);
        }
        if now >= self.due.loads {
            let bytes = self.publish_loads(now);
            self.due.loads = now + MIN_LOADS_INTERVAL_MS.max(1_000 * bytes / MAX_LOADS_BYTES_PER_S);
        }
        if now >= self.due.expire {
            self.due.expire = now + EXPIRY_INTERVAL_MS;
            self.expire_servers(now);
            self.demand.expire(now);
            self.outliers.expire(now);
            self.holders.expire(now);
            self.leadership.admission.expire(now);
            self.pool.tidy();
            self.replication.callers.expire(now);
        }
        if now >= self.due.order_updates {
            self.due.order_updates = now + ORDER_STATUS_INTERVAL_MS;
            self.repeat_order_updates();
        }
        if now >= self.due.settings {
            self.due.settings = now + SETTINGS_POLL_INTERVAL_MS;
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
}
