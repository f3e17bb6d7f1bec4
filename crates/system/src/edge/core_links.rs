//! Links to the cores: handles messages that arrive and sends those that are due.

use super::generation;
use super::shared::Shared;
use crate::clock;
use crate::net::mesh::{Mesh, MeshEvent};
use crate::startup::Milestone;
use pathbank_protocol::message::{CoreStatus, Frame, Hello, ProcessRole, Subscription};
use pathbank_router::core_choice::CoreAction;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, Weak};

/// Opens links to the seeds, through which the edge learns the addresses of all cores.
pub fn start(shared: &Arc<Shared>, seeds: &[SocketAddr]) {
    let settings = &shared.settings;
    let hello = Hello {
        role: ProcessRole::Edge,
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        incarnation: shared.incarnation,
        accepts_compression: true,
        compares_states: false,
        command_format: 0,
    };
    let weak: Weak<Shared> = Arc::downgrade(shared);
    let mesh = Mesh::new(hello, move |event| {
        if let Some(shared) = weak.upgrade() {
            on_event(&shared, event);
        }
    });
    if shared.mesh.set(mesh).is_ok() {
        set_seeds(shared, seeds);
    }
}

/// Reads the settings file again, for the seeds may have changed. An unreadable file changes nothing.
pub fn reload(shared: &Arc<Shared>) {
    match shared.settings.reload() {
        Some(Ok(settings)) => set_seeds(shared, &settings.seeds),
        Some(Err(error)) => tracing::warn!(%error, "settings file rejected"),
        None => {}
    }
}

/// Reports usage, demand and loads to the leader.
pub fn send_report(shared: &Arc<Shared>) {
    let Some(mesh) = shared.mesh.get() else { return };
    if let Some((leader, report)) = shared.report() {
        mesh.send(leader, &Frame::Report(report));
    }
}

/// Reports usage to every core before this process ends.
pub fn send_final_report(shared: &Arc<Shared>) {
    if let Some(mesh) = shared.mesh.get() {
        mesh.send_to_all(&Frame::Report(shared.final_report()));
    }
}

/// Sends the messages to cores that are due: subscriptions and requests for configurations.
pub fn send_due_messages(shared: &Arc<Shared>) {
    let Some(mesh) = shared.mesh.get() else { return };
    let known_index = shared.routes.load().as_ref().map_or(0, |routes| routes.index);
    let actions = shared.decisions().core_choice.actions(clock::now(), known_index);
    for action in actions {
        let subscription = |wanted| Frame::Subscribe(Subscription { wanted, known_index });
        let sent = match action {
            CoreAction::Subscribe(core) => mesh.send(core, &subscription(true)),
            CoreAction::Unsubscribe(core) => mesh.send(core, &subscription(false)),
            CoreAction::Fetch(core) => mesh.send(core, &Frame::FetchDifference(known_index)),
        };
        tracing::debug!(?action, sent, "message to core");
    }
}

/// Requests the difference to the configuration in force. The edge received one that builds on a
/// configuration that it does not have.
pub fn ask_for_difference(shared: &Shared, known_index: u64) {
    let subscribed = shared.decisions().core_choice.subscribed();
    if let (Some(mesh), Some(core)) = (shared.mesh.get(), subscribed) {
        let sent = mesh.send(core, &Frame::FetchDifference(known_index));
        tracing::debug!(known_index, sent, "configuration difference missed, fetching it");
    }
}

fn set_seeds(shared: &Arc<Shared>, seeds: &[SocketAddr]) {
    let addresses = seeds.iter().map(|seed| shared.settings.internal_address(*seed)).collect();
    shared.cores.lock().unwrap_or_else(PoisonError::into_inner).seeds = addresses;
    open_links(shared);
}

fn open_links(shared: &Arc<Shared>) {
    if let Some(mesh) = shared.mesh.get() {
        mesh.want(&shared.core_addresses());
    }
}

fn on_event(shared: &Arc<Shared>, event: MeshEvent) {
    match event {
        MeshEvent::Opened(address) => {
            tracing::debug!(%address, "core connected");
            shared.startup.reach(Milestone::ControlReached);
        }
        MeshEvent::Closed(address) => {
            tracing::debug!(%address, "core disconnected");
            shared.on_core_disconnected(address);
            send_due_messages(shared);
        }
        MeshEvent::Said(address, frame) => on_frame(shared, address, *frame),
    }
}

fn on_frame(shared: &Arc<Shared>, address: SocketAddr, frame: Frame) {
    match frame {
        Frame::Configuration(update) => shared.configurations.push(update),
        Frame::ModelServers(update) => {
            if update.complete {
                shared.has_server_list.store(true, Ordering::Relaxed);
            }
            if !update.servers.is_empty() {
                shared.startup.reach(Milestone::ModelServerKnown);
            }
            shared.update_servers(update);
        }
        Frame::Core(status) => on_status(shared, address, &status),
        Frame::AdmissionGrant(grant) => shared.admissions.granted(grant),
        Frame::DrawOffer(offer) => generation::on_offer(shared, address, offer),
        Frame::DrawGrant(grant) => generation::on_grant(shared, grant),
        Frame::ModelVersions(versions) => shared.model_versions.store(Arc::new(versions)),
        Frame::ExpectedModels(models) => {
            shared.decisions().dispatcher.set_expected_models(clock::now(), models)
        }
        Frame::Loads(loads) => shared.decisions().dispatcher.observe_total_loads(clock::now(), &loads),
        _ => {}
    }
}

fn on_status(shared: &Arc<Shared>, address: SocketAddr, status: &CoreStatus) {
    let now = clock::now();
    {
        let mut decisions = shared.decisions();
        decisions.wall_clock.observe(now, &address.to_string(), status.wall_clock_ms);
        decisions.core_choice.update_status(now, address, status);
        let edges = decisions.core_choice.edges();
        decisions.budget.set_edges(edges);
    }
    send_due_messages(shared);
    let members: Vec<SocketAddr> =
        status.members.iter().filter_map(|member| member.address.parse().ok()).collect();
    if members.is_empty() {
        return;
    }
    let mut cores = shared.cores.lock().unwrap_or_else(PoisonError::into_inner);
    let changed = cores.members != members;
    cores.members = members;
    drop(cores);
    if changed {
        open_links(shared);
    }
}
