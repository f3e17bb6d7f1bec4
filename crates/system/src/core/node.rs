//! The event loop of a core. [`Node`] owns the parts of its state and takes one event after the other; a part
//! gives back effects, which `Node` carries out or hands to the next part.

mod changes;
mod leadership;
mod operators;
mod publication;
mod registration;
mod replication;
mod shutdown;
mod state_check;
mod training;

use super::autoscaling::AutoscalingScheduler;
use super::disk::OpenedDisk;
use super::edge_reports::EdgeReports;
use super::event::{Event, LinkId};
use super::leader_lease::LeaderLease;
use super::links::PeerLinks;
use super::model_servers::{HeartbeatSource, ServerRegistry};
use super::placement::PlacementScheduler;
use super::preparation::Preparation;
use super::publication::Publication;
use super::replication::Replication;
use super::state_check::StateCheck;
use super::state_machine::{RestoreError, StateMachine};
use super::status::StatusSchedule;
use super::training::scheduler::TrainingScheduler;
use super::usage::UsageReporter;
use crate::clock;
use crate::memory::plan::CoreMemory;
use crate::net::client::ConnectionPool;
use crate::net::link::Link;
use crate::net::mesh::MeshEvent;
use crate::settings::Settings;
use crate::signals::Request;
use crate::startup::{Milestone, Startup};
use pathbank_control::admission::AdmissionController;
use pathbank_control::deregistrations::PendingDeregistrations;
use pathbank_control::operator_calls::Reply;
use pathbank_control::state::{COMMAND_FORMAT, StateError};
use pathbank_coordination::replica::{Replica, Role, Timing};
use pathbank_protocol::message::{AdmissionRequest, EdgeReport, Frame, Hello, ProcessRole, Subscription};
use pathbank_router::wall_clock::WallClock;
use registration::CommandFormats;
use serde_json::Value;
use state_check::StoreState;
use std::net::SocketAddr;
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
    deregistrations: PendingDeregistrations<oneshot::Sender<Reply>>,
    command_formats: CommandFormats,
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
        memory: &CoreMemory,
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
            command_format: COMMAND_FORMAT,
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
            servers: ServerRegistry::new(settings.heartbeat_ms, memory.model_servers.clone()),
            deregistrations: PendingDeregistrations::default(),
            command_formats: CommandFormats::default(),
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
            pool: ConnectionPool::new(memory.answers.clone()),
            settings,
            incarnation,
            startup,
            events,
        };
        node.record_document(snapshot_bytes);
        node.on_deregistrations_restored(now);
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
            Event::Heartbeat(heartbeat, reply) => self.on_heartbeat_call(now, heartbeat, reply),
            Event::Deregister(instance, reply) => self.on_deregister_call(now, &instance, reply),
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
            Event::FrameReceived(id, frame, _memory) => self.on_frame(now, id, frame),
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
        self.settle_calls(now);
        self.watch_disk(now);
        self.replicate_deregistrations(now);
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

    // ---- links ----

    fn on_link_opened(&mut self, id: LinkId, hello: Hello, link: Link) {
        if hello.role == ProcessRole::Edge {
            link.send(&Frame::Core(self.core_status(true)));
            if let Some(unavailable) = self.servers.unavailable_update() {
                link.send_encoded(unavailable.to(&hello));
            }
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
            Frame::Replica(from, message) => {
                if let Some(format) = self.links.peer_command_format(id) {
                    self.command_formats.record(from.id, format);
                }
                self.on_replica_message(now, from, message);
            }
            Frame::Heartbeats(servers) => {
                for server in servers {
                    // The registry counts what it has no memory for.
                    let _ = self.on_heartbeat(now, server, HeartbeatSource::Core);
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
}

fn send_json(reply: oneshot::Sender<Reply>, value: &Value) {
    let _ = reply.send(Reply::Json(value.to_string().into_bytes()));
}
