//! The event loop of a core. [`Node`] owns the parts of its state and takes one event after the other; a part
//! gives back effects, which `Node` carries out or hands to the next part.

mod changes;
mod state_check;
mod training;

use super::autoscaling::AutoscalingScheduler;
use super::disk::OpenedDisk;
use super::edge_reports::EdgeReports;
use super::event::{DiskEvent, Event, LinkId};
use super::leader_lease::LeaderLease;
use super::lease::LeaseGuard;
use super::links::PeerLinks;
use super::model_server_json::ModelServerView;
use super::model_servers::{HeartbeatSource, ServerRegistry};
use super::orders::{self, OrderOutcome, OrderTask};
use super::overview::{self, RoleSources, StatusSources};
use super::placement::PlacementScheduler;
use super::preparation::Preparation;
use super::publication::Publication;
use super::replication::Replication;
use super::singleton_roles;
use super::state_check::StateCheck;
use super::state_machine::{Applied, RestoreError, StateMachine};
use super::status::StatusSchedule;
use super::training::scheduler::TrainingScheduler;
use super::training::versions::model_versions;
use super::usage::{UsageReporter, WindowUsage};
use crate::clock;
use crate::net::client::ConnectionPool;
use crate::net::link::Link;
use crate::net::mesh::MeshEvent;
use crate::settings::Settings;
use crate::signals::Request;
use crate::startup::{Milestone, Startup};
use pathbank_control::admission::AdmissionController;
use pathbank_control::configuration::Runtime;
use pathbank_control::operator_calls::{self, Reply};
use pathbank_control::order::{Operation, Order};
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Command, StateError};
use pathbank_coordination::fencing::Permit;
use pathbank_coordination::replica::{Departure, Effects, Outgoing, Replica, Role, Timing};
use pathbank_coordination::types::{Entry, Index, Member, Message, Snapshot};
use pathbank_protocol::codec;
use pathbank_protocol::message::{
    AdmissionRequest, CoreStatus, EdgeReport, Frame, Hello, ModelServer, ProcessRole, Subscription,
};
use pathbank_router::wall_clock::WallClock;
use serde_json::Value;
use state_check::StoreState;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Between counts of the free slots that the leader admits prompts by.
const SLOT_COUNT_INTERVAL_MS: u64 = 150;
const MIN_LOADS_INTERVAL_MS: u64 = 400;
/// To each edge; a longer message waits longer.
const MAX_LOADS_BYTES_PER_S: u64 = 6_000;
const SETTINGS_POLL_INTERVAL_MS: u64 = 2_000;
const ORDER_STATUS_INTERVAL_MS: u64 = 3_000;
const EXPIRY_INTERVAL_MS: u64 = 250;

/// A voter that shuts down waits no longer for another store to take its place.
const REPLACEMENT_TIMEOUT_MS: u64 = 3_000;
/// Nor for the leader's first answer.
const DEPARTURE_ACK_TIMEOUT_MS: u64 = 600;

/// When periodic work is due next, milliseconds of the steady clock.
#[derive(Default)]
struct Schedule {
    slots: u64,
    loads: u64,
    expiry: u64,
    order_statuses: u64,
    settings: u64,
}

/// Returns whether work is due, and schedules it again.
fn take_due(next_at: &mut u64, now: u64, interval_ms: u64) -> bool {
    let is_due = now >= *next_at;
    if is_due {
        *next_at = now + interval_ms;
    }
    is_due
}

/// A core.
pub struct Node {
    settings: Settings,
    /// This run of the process.
    incarnation: u64,
    startup: Startup,
    events: UnboundedSender<Event>,
    pool: ConnectionPool,
    links: PeerLinks,
    replication: Replication,
    preparation: Preparation,
    machine: StateMachine,
    publication: Publication,
    status: StatusSchedule,
    wall_clock: WallClock,
    servers: ServerRegistry,
    reports: EdgeReports,
    lease: LeaderLease,
    placement: PlacementScheduler,
    usage: UsageReporter,
    autoscaling: AutoscalingScheduler,
    admission: AdmissionController,
    training: TrainingScheduler,
    schedule: Schedule,
    state_check: StateCheck,
    store: StoreState,
    /// When the process received SIGTERM.
    shutdown_since: Option<u64>,
}

impl Node {
    /// A core on what its disk holds.
    ///
    /// # Errors
    ///
    /// The disk's state is of a newer program.
    pub fn new(
        settings: Settings,
        opened: OpenedDisk,
        preparation: Preparation,
        events: UnboundedSender<Event>,
        startup: Startup,
    ) -> Result<Node, RestoreError> {
        let (now, incarnation) = (clock::now(), clock::entropy());
        let hello = Hello {
            role: ProcessRole::Core,
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            incarnation,
            accepts_compression: true,
            compares_states: true,
        };
        let OpenedDisk { disk, durable, me } = opened;
        let machine = StateMachine::restore(&durable)?;
        let leaders = durable.snapshot.leaders.clone();
        let snapshot_bytes = durable.snapshot.data.len();
        let replica = Replica::new(me, Timing::default(), durable, now, incarnation);
        let mut node = Node {
            links: PeerLinks::new(hello, events.clone()),
            replication: Replication::new(replica, disk),
            preparation,
            machine,
            publication: Publication::default(),
            status: StatusSchedule::default(),
            wall_clock: WallClock::default(),
            servers: ServerRegistry::new(settings.heartbeat_ms),
            reports: EdgeReports::default(),
            lease: LeaderLease::new(leaders),
            placement: PlacementScheduler::new(),
            usage: UsageReporter::default(),
            autoscaling: AutoscalingScheduler::new(),
            admission: AdmissionController::default(),
            training: TrainingScheduler::default(),
            schedule: Schedule::default(),
            state_check: StateCheck::default(),
            store: StoreState::default(),
            shutdown_since: None,
            pool: ConnectionPool::default(),
            settings,
            incarnation,
            startup,
            events,
        };
        node.record_document(snapshot_bytes);
        node.connect_to_cores();
        Ok(node)
    }

    // ---- the loop ----

    /// Links and callers are accepted from now on.
    pub fn listens(&self) {
        self.startup.reach(Milestone::Listening);
    }

    /// Handles an event.
    pub fn on_event(&mut self, now: u64, event: Event) {
        if self.store != StoreState::InUse {
            return self.on_event_without_store(&event);
        }
        match event {
            Event::Tick => self.on_tick(now),
            Event::Heartbeat(server) => self.on_heartbeat(now, server, HeartbeatSource::ModelServer),
            Event::Deregister(instance) => self.servers.on_deregister(now, &self.links, &instance),
            Event::Change(change, reply) => self.on_change(now, change, reply),
            Event::ChangePrepared(proposal, reply) => self.on_change_prepared(now, *proposal, reply),
            Event::StateDigested(digested) => self.on_state_digested(now, digested),
            Event::CommandPrepared(command) => self.on_command_prepared(now, *command),
            Event::ReadConfiguration(reply) => self.on_read_configuration(now, reply),
            Event::ReadModelServers(reply) => self.on_read_model_servers(reply),
            Event::ReadStatus(reply) => send_json(reply, &self.status_overview(now)),
            Event::ReadPlacement(reply) => self.on_read_placement(now, reply),
            Event::ReadSingletonRoles(reply) => self.on_read_singleton_roles(now, reply),
            Event::Disk(event) => self.on_disk(now, event),
            Event::LinkOpened(id, hello, link) => self.on_link_opened(id, hello, link),
            Event::FrameReceived(id, frame) => self.on_frame(now, id, frame),
            Event::LinkClosed(id) => self.on_link_closed(id),
            Event::Mesh(MeshEvent::Opened(address)) => self.on_core_connected(address),
            Event::Mesh(MeshEvent::Said(_, frame)) => self.on_core_said(now, &frame),
            Event::Mesh(MeshEvent::Closed(_)) => {}
            Event::OrderFinished(outcome) => self.on_order_finished(&outcome),
            Event::UsageReported { window, outcome } => self.usage.on_reported(window, outcome),
            Event::ServersOrdered { order, outcome } => self.autoscaling.on_ordered(now, &order, outcome),
            Event::Training(call, reply) => self.on_training_call(now, call, reply),
            Event::WorkerReported { model, worker, report } => {
                self.on_worker_reported(now, &model, &worker, &report);
            }
            Event::VersionOrderFinished(outcome) => self.on_version_order_finished(now, &outcome),
        }
    }

    fn on_tick(&mut self, now: u64) {
        let effects = self.replication.tick(now);
        self.carry_out(now, effects);
        self.leave_if_shutting_down(now);
        self.watch_disk(now);
        self.change_membership(now);
        self.run_leader_work(now);
        self.request_comparison(now);
        self.train(now);
        self.publish_configuration(now);
        self.update_subscribers(now);
        self.publish_versions(now);
        self.servers.flush_changes(now, &self.links);
        self.publish_status_if_due(now);
        if take_due(&mut self.schedule.slots, now, SLOT_COUNT_INTERVAL_MS) {
            self.count_slots(now);
        }
        if now >= self.schedule.loads {
            let bytes = self.publish_loads(now);
            let interval_ms = MIN_LOADS_INTERVAL_MS.max(1_000 * bytes / MAX_LOADS_BYTES_PER_S);
            self.schedule.loads = now + interval_ms;
        }
        if take_due(&mut self.schedule.expiry, now, EXPIRY_INTERVAL_MS) {
            self.expire(now);
        }
        if take_due(&mut self.schedule.order_statuses, now, ORDER_STATUS_INTERVAL_MS)
            && self.is_established_leader()
        {
            self.servers.repeat_order_statuses(&self.links);
        }
        if take_due(&mut self.schedule.settings, now, SETTINGS_POLL_INTERVAL_MS) {
            self.reload_settings();
        }
    }

    /// Whether committed entries wait to be applied.
    pub fn has_more_to_apply(&self) -> bool {
        self.store == StoreState::InUse && self.replication.replica().has_more_to_apply()
    }

    /// Applies some of the committed entries that wait. Other events come in between.
    pub fn apply_more(&mut self, now: u64) {
        let effects = self.replication.apply_more();
        self.carry_out(now, effects);
    }

    /// Handles a signal.
    pub fn on_signal(&mut self, now: u64, signal: Request) {
        match signal {
            Request::Reload => self.reload_settings(),
            Request::Stop => {
                self.shutdown_since.get_or_insert(now);
                if self.store == StoreState::InUse {
                    self.leave_if_shutting_down(now);
                }
            }
        }
    }

    /// Why this core cannot reach the state of the others, if so; the process has to end then.
    pub fn take_failure(&mut self) -> Option<StateError> {
        self.machine.take_failure()
    }

    /// Drops what has expired.
    fn expire(&mut self, now: u64) {
        let is_current = self.is_current(now);
        self.servers.expire(now, &self.links, is_current);
        self.reports.expire(now);
        self.admission.expire(now);
        self.pool.tidy();
        self.replication.forget_silent_callers(now);
    }

    fn reload_settings(&mut self) {
        match self.settings.reload() {
            Some(Ok(settings)) => self.settings.seeds = settings.seeds,
            Some(Err(error)) => tracing::warn!(%error, "settings file not reloaded"),
            None => {}
        }
        self.connect_to_cores();
    }

    // ---- shutdown ----

    /// After SIGTERM a voter asks the leader to be replaced, again with each tick until it is.
    fn leave_if_shutting_down(&mut self, now: u64) {
        if self.shutdown_since.is_some() {
            let effects = self.replication.leave(now);
            self.carry_out(now, effects);
        }
    }

    /// Whether the process may end after SIGTERM: it is no voter any more, or nobody can take its place.
    pub fn may_end(&self, now: u64) -> bool {
        let Some(since) = self.shutdown_since else { return false };
        match self.replication.replica().departure() {
            Departure::Permitted => true,
            Departure::AwaitingReplacement => {
                now >= since + (self.settings.bounds.grace_ms / 2).min(REPLACEMENT_TIMEOUT_MS)
            }
            Departure::AwaitingReply => now >= since + DEPARTURE_ACK_TIMEOUT_MS,
        }
    }

    /// The last act of a core: publishes what it has heard of model servers, and lets another voter stand for
    /// election at once.
    pub fn end(&mut self, now: u64) {
        self.servers.flush_changes(now, &self.links);
        let effects = self.replication.transfer_leadership(now);
        self.carry_out(now, effects);
    }

    // ---- replication ----

    /// Carries out the effects of the replica: save, send, apply.
    fn carry_out(&mut self, now: u64, effects: Effects) {
        let Effects { records, messages, install, committed } = effects;
        let ready = self.replication.persist(now, records, messages);
        self.send_replica_messages(ready);
        if let Some(snapshot) = install {
            self.install(snapshot);
        }
        let version = self.machine.state().version();
        for entry in committed {
            self.apply(now, entry);
        }
        self.log_configuration(version);
        if self.replication.replica().role() != Role::Leader {
            self.lease.revoke();
            self.replication.abandon_proposals();
        }
        self.publish_configuration(now);
        self.publish_versions(now);
        self.compact_log(now);
        self.prepare_next_command();
    }

    fn send_replica_messages(&self, messages: Vec<Outgoing>) {
        let me = self.replication.replica().me();
        for Outgoing { to, message, .. } in messages {
            if let Ok(address) = to.address.parse() {
                self.links.send_to_core(address, &Frame::Replica(me.clone(), message));
            }
        }
    }

    fn on_replica_message(&mut self, now: u64, from: Member, message: Message) {
        if self.replication.record_caller(now, &from.address) {
            self.connect_to_cores();
        }
        let effects = self.replication.step(now, from, message);
        self.carry_out(now, effects);
    }

    fn on_disk(&mut self, now: u64, event: DiskEvent) {
        let (ready, last_index) = self.replication.on_disk(now, event);
        self.send_replica_messages(ready);
        if let Some(last_index) = last_index {
            let effects = self.replication.saved(now, last_index);
            self.carry_out(now, effects);
        }
        self.watch_disk(now);
    }

    /// A replica whose disk is impaired hands over and does not lead.
    fn watch_disk(&mut self, now: u64) {
        let Some(impaired) = self.replication.impairment_change(now) else { return };
        tracing::warn!(impaired, "disk");
        if impaired {
            let effects = self.replication.transfer_leadership(now);
            self.carry_out(now, effects);
        }
        let effects = self.replication.set_impaired(now, impaired);
        self.carry_out(now, effects);
    }

    fn install(&mut self, snapshot: Snapshot) {
        if self.machine.install(&snapshot) {
            self.lease.restore(snapshot.leaders);
            self.record_document(snapshot.data.len());
            self.digest_state_if_due();
        }
    }

    fn apply(&mut self, now: u64, entry: Entry) {
        if self.machine.has_failed() {
            return;
        }
        let term = entry.term;
        let proposals = self.replication.take_proposals(entry.index);
        let applied = self.machine.apply(entry);
        self.digest_state_if_due();
        match applied {
            Some(Applied::LeaderStart(name)) => self.lease.record_leader(&name),
            Some(Applied::Membership) => self.connect_to_cores(),
            Some(Applied::Command { command, result, bytes }) => {
                self.record_document(bytes);
                if let Command::Training(command) = &command {
                    self.on_training_applied(now, command, result.is_err());
                }
                for proposal in proposals {
                    proposal.answer(term, || Reply::from_outcome(&result));
                }
                return;
            }
            None => return,
        }
        for proposal in proposals {
            proposal.answer_unclear();
        }
    }

    /// One line for all changes that were applied in a row: a replayed log must not push other lines out.
    fn log_configuration(&self, version_before: u64) {
        let version = self.machine.state().version();
        if version != version_before {
            tracing::info!(
                version,
                version_before,
                index = self.machine.applied(),
                "configuration committed"
            );
        }
    }

    fn compact_log(&mut self, now: u64) {
        let applied = self.machine.applied();
        if self.replication.needs_compaction(now, applied, self.machine.log_bytes()) {
            let data = self.machine.take_snapshot();
            self.replication.compact(applied, self.lease.leaders(), data);
            self.state_check.request_soon();
        }
    }

    /// Whether what this core has applied is the newest that it could know of.
    fn is_current(&self, now: u64) -> bool {
        self.replication.is_current(now)
    }

    fn is_established_leader(&self) -> bool {
        self.replication.replica().is_established_leader()
    }

    /// Proposes a command of the leader's own.
    fn propose(&mut self, now: u64, command: &Command) {
        if let Ok((_, effects)) = self.replication.propose(now, command.encode()) {
            self.carry_out(now, effects);
        }
    }

    /// Proposes a command whose caller waits for its result.
    fn propose_for(&mut self, now: u64, command: &Command, reply: oneshot::Sender<Reply>) {
        match self.replication.propose(now, command.encode()) {
            Ok((index, effects)) => {
                self.replication.await_commit(index, reply);
                self.carry_out(now, effects);
            }
            Err(error) => {
                let _ = reply.send(Reply::Result(ResultCode::NoLeader, error.to_string()));
            }
        }
    }

    // ---- membership ----

    /// As the leader, begins the next change of the membership.
    fn change_membership(&mut self, now: u64) {
        if let Some(effects) = self.replication.change_membership(now) {
            let voters = &self.replication.replica().membership().voters;
            tracing::info!(?voters, "membership changes");
            self.carry_out(now, effects);
            self.connect_to_cores();
        }
    }

    /// Asks the other cores to add this store, while no leader sends it anything.
    fn ask_to_join(&mut self, now: u64) {
        if self.replication.replica().wants_to_join(now) {
            let me = self.replication.replica().me().clone();
            self.links.send_to_cores(&Frame::Replica(me, Message::Join));
        }
    }

    /// Keeps links to all voters, learners and seeds, and to stores that called lately.
    fn connect_to_cores(&mut self) {
        let own = self.settings.own_internal_address();
        let known = self.replication.addresses().filter_map(|address| address.parse().ok());
        let seeds = self.settings.seeds.iter().map(|seed| self.settings.internal_address(*seed));
        let mut addresses: Vec<SocketAddr> = known.chain(seeds).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own);
        self.links.connect_to(&addresses);
    }

    // ---- links ----

    fn on_link_opened(&mut self, id: LinkId, hello: Hello, link: Link) {
        if hello.role == ProcessRole::Edge {
            link.send(&Frame::Core(self.core_status(true)));
        } else {
            // It may have restarted, and come to its state by a way of its own.
            self.state_check.request_soon();
        }
        self.links.add(id, hello, link);
    }

    fn on_link_closed(&mut self, id: LinkId) {
        self.links.remove(id);
        self.publication.forget(id);
    }

    fn on_core_connected(&mut self, address: SocketAddr) {
        self.servers.send_all(&self.links, address);
        self.links.send_to_core(address, &Frame::Core(self.core_status(true)));
        self.ask_to_join(clock::now());
    }

    fn on_frame(&mut self, now: u64, id: LinkId, frame: Frame) {
        match frame {
            Frame::Replica(from, message) => self.on_replica_message(now, from, message),
            Frame::Heartbeats(servers) => {
                for server in servers {
                    self.on_heartbeat(now, server, HeartbeatSource::Core);
                }
            }
            Frame::Report(report) => self.on_edge_report(now, &report),
            Frame::Core(status) => {
                if let Some(name) = self.links.peer_name(id) {
                    self.wall_clock.observe(now, name, status.wall_clock_ms);
                }
            }
            Frame::Subscribe(subscription) => self.on_subscribe(now, id, subscription),
            Frame::FetchConfiguration => self.on_fetch_configuration(now, id, 0),
            Frame::FetchDifference(known) => self.on_fetch_configuration(now, id, known),
            Frame::AdmissionRequest(request) => self.on_admission_request(now, id, &request),
            // The leader knows its own orders best; a former leader may still publish its last ones.
            Frame::OrderStatus(status) if !self.is_established_leader() => {
                self.servers.on_order_status(now, &self.links, status);
            }
            Frame::DrawRequest(request) => self.on_draw_request(now, id, request),
            Frame::DrawResult(result) => self.on_draw_result(now, result),
            // Published by the leader, relayed to this core's subscribers.
            Frame::Loads(_) | Frame::ExpectedModels(_) => self.links.publish_to_subscribers(&frame),
            Frame::Hello(_)
            | Frame::Configuration(_)
            | Frame::ModelServers(_)
            | Frame::AdmissionGrant(_)
            | Frame::DrawOffer(_)
            | Frame::DrawGrant(_)
            | Frame::ModelVersions(_)
            | Frame::OrderStatus(_)
            | Frame::ComparisonRequest(_)
            | Frame::ComparisonReport(_)
            | Frame::Ping(_) => {}
        }
    }

    fn on_heartbeat(&mut self, now: u64, server: ModelServer, source: HeartbeatSource) {
        self.startup.reach(Milestone::ModelServerKnown);
        self.servers.on_heartbeat(now, &self.links, server, source);
    }

    fn on_edge_report(&mut self, now: u64, report: &EdgeReport) {
        self.usage.observe(report, self.machine.state().last_sealed());
        self.reports.observe(now, report);
        if self.replication.replica().role() == Role::Leader {
            self.enter_term(now);
            self.usage.record_edge(&report.edge);
        }
        if report.demand.iter().any(|demand| demand.waiting > 0) {
            self.placement.request_pass(now);
        }
    }

    /// An edge subscribes to all updates: it first receives what it lacks.
    fn on_subscribe(&mut self, now: u64, id: LinkId, subscription: Subscription) {
        if !self.links.set_subscribed(id, subscription.wanted) || !subscription.wanted {
            return;
        }
        self.on_fetch_configuration(now, id, subscription.known_index);
        self.links.send_shared(id, &self.servers.complete_update());
        if let Some(versions) = self.publication.versions().filter(|versions| !versions.is_empty()) {
            self.links.send(id, &Frame::ModelVersions(versions.to_vec()));
        }
    }

    /// The leader alone admits prompts: two queues for the same slots would be none.
    fn on_admission_request(&mut self, now: u64, id: LinkId, request: &AdmissionRequest) {
        if !self.is_established_leader() {
            return;
        }
        if let Some(grant) = self.admission.admit(now, request) {
            self.links.send(id, &Frame::AdmissionGrant(grant));
        }
    }

    // ---- publication ----

    fn record_document(&mut self, bytes: usize) {
        if let Some((document, index)) = self.machine.state().document() {
            self.publication.record_document(index, document, bytes);
        }
    }

    /// The log entry of the configuration that edges may have; 0 (none) while this core is not current.
    fn published_index(&self) -> Index {
        if self.is_current(clock::now()) { self.publication.index() } else { 0 }
    }

    /// Publishes a new configuration: its changes to subscribers, to the other edges that there is one.
    fn publish_configuration(&mut self, now: u64) {
        let Some((document, index)) = self.machine.state().document() else { return };
        if !self.publication.is_due(now, index) || !self.is_current(now) {
            return;
        }
        self.publication.publish(now, index, document);
        self.update_subscribers(now);
        self.links.publish_to_others(&Frame::Core(self.core_status(false)));
    }

    /// Publishes the versions of models to subscribers, unless they know them.
    fn publish_versions(&mut self, now: u64) {
        if !self.is_current(now) {
            return self.publication.forget_versions();
        }
        let versions = model_versions(self.machine.state().training());
        if let Some(changed) = self.publication.changed_versions(versions) {
            self.links.publish_to_subscribers(&Frame::ModelVersions(changed.to_vec()));
        }
    }

    /// Sends subscribers what they lack of the configuration.
    fn update_subscribers(&mut self, now: u64) {
        let newest = self.published_index();
        for id in self.publication.outdated_subscribers(&self.links, newest) {
            self.update_edge(now, id);
        }
    }

    /// An edge named the configuration that it has, and gets what is newer.
    fn on_fetch_configuration(&mut self, now: u64, id: LinkId, known: Index) {
        if self.publication.set_known(now, &self.links, id, known) {
            self.update_edge(now, id);
        }
    }

    fn update_edge(&mut self, now: u64, id: LinkId) {
        if self.published_index() == 0 {
            return;
        }
        let Some(update) = self.publication.next_update(now, &self.links, id) else { return };
        let announcement = update.is_full.then(|| Frame::Core(self.core_status(false)));
        self.publication.send(&self.links, id, &update, announcement.as_ref());
    }

    // ---- status ----

    fn core_status(&self, with_members: bool) -> CoreStatus {
        let replica = self.replication.replica();
        let members = replica.membership().members().filter(|_| with_members).cloned();
        CoreStatus {
            members: members.collect(),
            leader: replica.leader().map(|leader| leader.address.clone()).unwrap_or_default(),
            edges: self.links.edges().count() as u32,
            wall_clock_ms: clock::wall_clock(),
            zone: self.settings.zone.clone(),
            configuration_index: self.published_index(),
            current: self.is_current(clock::now()),
        }
    }

    fn publish_status_if_due(&mut self, now: u64) {
        let leader = self.replication.replica().leader().map(|leader| leader.id);
        let current = self.is_current(now);
        if leader.is_some() {
            self.startup.reach(Milestone::LeaderKnown);
        }
        if current != self.status.is_current() {
            self.startup.reach(Milestone::Current);
            let (commit, applied) = (self.replication.replica().commit(), self.machine.applied());
            tracing::info!(current, commit, applied, "contact with a majority");
        }
        if self.status.take_due(now, leader, current) {
            self.publish_status();
            self.ask_to_join(now);
        }
    }

    fn publish_status(&mut self) {
        self.wall_clock.observe(clock::now(), &self.settings.node_name, clock::wall_clock());
        let with_members = self.status.names_members();
        let frame = Frame::Core(self.core_status(with_members));
        self.links.publish_to_edges(&frame);
        self.links.send_to_cores(&frame);
        self.connect_to_cores();
    }

    // ---- the leader's loads and slots ----

    fn count_slots(&mut self, now: u64) {
        if self.is_established_leader() {
            self.admission.update_slots(&self.servers.ready(), &self.reports.demand().in_flight(now));
        }
    }

    /// As the leader, publishes requests in flight by model server, over all edges. Returns the message's
    /// bytes.
    fn publish_loads(&mut self, now: u64) -> u64 {
        if !self.is_established_leader() {
            return 0;
        }
        let loads = self.reports.joint_loads(now, &self.servers.ready());
        if loads.is_empty() {
            return 0;
        }
        let frame = Frame::Loads(loads);
        self.links.publish_to_subscribers(&frame);
        self.links.send_to_cores(&frame);
        codec::encode(&frame).len() as u64
    }

    // ---- leadership ----

    /// The right to act on the outside now, if this core has it.
    fn permit(&mut self, now: u64) -> Option<Permit> {
        let replica = self.replication.replica();
        if !replica.is_established_leader() {
            return None;
        }
        let (term, lease_until) = (replica.term(), replica.lease_until());
        let turn_wait = self.settings.bounds.lease_ms;
        let permit = self.lease.permit(&self.settings.node_name, term, lease_until, turn_wait, now)?;
        self.enter_term(now);
        self.lease.extend(permit.valid_until);
        Some(permit)
    }

    fn guard(&self, permit: Permit) -> LeaseGuard {
        self.lease.guard(&self.settings.node_name, permit)
    }

    /// Work of a new term begins without the state of an earlier one.
    fn enter_term(&mut self, now: u64) {
        if self.lease.enter_term(self.replication.replica().term()) {
            self.usage.reset(now);
            self.placement.reset();
            self.autoscaling.reset();
            self.admission = AdmissionController::default();
            self.training = TrainingScheduler::default();
        }
    }

    fn run_leader_work(&mut self, now: u64) {
        if self.placement.is_due(now) {
            let started_at = clock::now();
            self.run_placement_pass(now);
            self.placement.schedule_next(now, clock::now().saturating_sub(started_at));
        }
        if self.usage.take_due(now) {
            self.report_usage(now);
        }
        if self.autoscaling.take_due(now) {
            self.order_servers(now);
        }
    }

    // ---- placement ----

    fn run_placement_pass(&mut self, now: u64) {
        let Some(permit) = self.permit(now) else { return };
        let Some(backends) = self.machine.state().backends() else { return };
        let plan = self.placement.plan(now, backends, self.servers.directory(), &self.reports);
        if !plan.expected.is_empty() {
            let frame = Frame::ExpectedModels(plan.expected);
            self.links.publish_to_subscribers(&frame);
            self.links.send_to_cores(&frame);
        }
        let guard = self.guard(permit);
        for order in plan.orders {
            self.send_order(order, guard.clone());
        }
    }

    fn send_order(&mut self, order: Order, guard: LeaseGuard) {
        if order.operation == Operation::Unload {
            self.servers.withhold(&self.links, &order.instance, &order.model, &order.adapter);
        }
        let Some(runtime) = self.runtime_of(&order.instance) else {
            return self.placement.cancel(&order.instance);
        };
        self.startup.reach(Milestone::Ordered);
        let known = self.placement.take_contents(&order.instance);
        let version = self.servers.directory().newest_version(&order.model);
        self.spawn_order(OrderTask { order, runtime, guard, known, version }, Event::OrderFinished);
    }

    /// Executes an order beside the event loop; its outcome comes back as an event.
    fn spawn_order(&self, task: OrderTask, event: impl FnOnce(Box<OrderOutcome>) -> Event + Send + 'static) {
        let (pool, events) = (self.pool.clone(), self.events.clone());
        tokio::spawn(async move {
            let outcome = orders::execute(pool, task).await;
            let _ = events.send(event(Box::new(outcome)));
        });
    }

    /// The capacity of a model server, by the configuration of its backend.
    fn runtime_of(&self, instance: &str) -> Option<Arc<Runtime>> {
        let backend = self.servers.directory().server(instance)?.backend;
        let known = self.machine.state().backends()?.iter().find(|known| known.name == backend)?;
        known.runtime.clone().map(Arc::new)
    }

    fn on_order_finished(&mut self, outcome: &OrderOutcome) {
        let now = clock::now();
        self.placement.on_order_finished(now, outcome);
        self.on_server_released(now, outcome);
    }

    /// A model server may be used and ordered again.
    fn on_server_released(&mut self, now: u64, outcome: &OrderOutcome) {
        let instance = &outcome.order.instance;
        self.servers.on_order_finished(now, &self.links, instance, outcome.report.as_ref());
        self.placement.request_pass(now);
    }

    // ---- singleton roles ----

    /// Where the platform takes the calls of a singleton role, if this deployment has that role.
    fn role_address(&self, name: &str) -> Option<SocketAddr> {
        let has_role = self.settings.cloud_api.duties.iter().any(|role| role == name);
        self.settings.cloud_api.address.filter(|_| has_role)
    }

    fn report_usage(&mut self, now: u64) {
        let Some(platform) = self.role_address("usage_reporting") else { return };
        let Some(permit) = self.permit(now) else { return };
        let wall_clock_ms = self.wall_clock.now(now, clock::wall_clock());
        let edges = self.links.edges().map(|(_, name)| name);
        let last_sealed = self.machine.state().last_sealed();
        let bounds = &self.settings.bounds;
        if let Some(seal) = self.usage.next_seal(now, wall_clock_ms, bounds, edges, last_sealed) {
            // Sealed before it is reported: every leader reports the same counts of a window.
            let WindowUsage { window, counts } = seal;
            self.propose(now, &Command::SealUsage { window, counts });
        }
        for WindowUsage { window, counts } in self.usage.take_unreported(self.machine.state()) {
            let (pool, events, guard) = (self.pool.clone(), self.events.clone(), self.guard(permit));
            tokio::spawn(async move {
                let outcome = singleton_roles::report_usage(pool, platform, window, counts, guard).await;
                let _ = events.send(Event::UsageReported { window, outcome });
            });
        }
    }

    fn order_servers(&mut self, now: u64) {
        let Some(platform) = self.role_address("autoscale") else { return };
        let Some(permit) = self.permit(now) else { return };
        let Some(backends) = self.machine.state().backends() else { return };
        for order in self.autoscaling.plan(now, backends, &self.servers.ready(), &self.reports) {
            let (pool, events, guard) = (self.pool.clone(), self.events.clone(), self.guard(permit));
            tokio::spawn(async move {
                let outcome = singleton_roles::order_servers(pool, platform, &order, guard).await;
                let _ = events.send(Event::ServersOrdered { order, outcome });
            });
        }
    }

    // ---- operators ----

    /// Redirects a caller to the leader, unless this core leads. Returns the sender if it does.
    fn as_leader(&self, now: u64, reply: oneshot::Sender<Reply>) -> Option<oneshot::Sender<Reply>> {
        match self.replication.leadership_status(now).redirect() {
            None => Some(reply),
            Some(redirect) => {
                let _ = reply.send(redirect);
                None
            }
        }
    }

    fn on_read_configuration(&self, now: u64, reply: oneshot::Sender<Reply>) {
        let status = self.replication.leadership_status(now);
        let _ = reply.send(operator_calls::read_configuration(self.machine.state(), &status));
    }

    fn on_read_model_servers(&self, reply: oneshot::Sender<Reply>) {
        let servers: Vec<ModelServerView> =
            self.servers.directory().servers().map(ModelServerView::from).collect();
        let _ = reply.send(Reply::Json(serde_json::to_vec(&servers).unwrap_or_default()));
    }

    fn status_overview(&self, now: u64) -> Value {
        let sources = StatusSources {
            settings: &self.settings,
            incarnation: self.incarnation,
            replication: &self.replication,
            machine: &self.machine,
            published_index: self.publication.index(),
            reports: &self.reports,
            links: &self.links,
            ready_servers: self.servers.directory().ready().count(),
            startup: &self.startup,
            state_check: &self.state_check,
        };
        overview::status(now, &sources)
    }

    fn on_read_placement(&self, now: u64, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        let (placer, demand) = (self.placement.placer(), self.reports.demand());
        send_json(reply, &overview::placement(now, placer, &self.servers.ready(), demand));
    }

    fn on_read_singleton_roles(&mut self, now: u64, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        let permit = self.permit(now);
        let sources = RoleSources {
            settings: &self.settings,
            permit,
            last_sealed: self.machine.state().last_sealed(),
            usage: &self.usage,
            autoscaling: &self.autoscaling,
        };
        send_json(reply, &overview::singleton_roles(now, &sources));
    }
}

fn send_json(reply: oneshot::Sender<Reply>, value: &Value) {
    let _ = reply.send(Reply::Json(value.to_string().into_bytes()));
}
