//! A core: a replica of the configuration, the list of model servers, and, while it leads, placement and
//! duties.

mod api;
mod autoscaling;
pub mod configuration_updates;
mod disk;
mod edge_reports;
mod event;
mod leader_lease;
pub mod lease;
mod links;
pub mod model_server_json;
mod model_servers;
mod node;
pub mod orders;
mod overview;
mod peer_listener;
mod placement;
mod publication;
mod replication;
mod singleton_roles;
mod state_machine;
mod status;
mod training;
mod usage;

use crate::clock;
use crate::net::server::{self, ConnectionCount, Limits};
use crate::net::socket;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::startup::{Milestone, Startup};
use anyhow::{Context, Result};
use event::Event;
use node::Node;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How often the node looks at time.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A replica that knows less than the others of what the log means neither votes nor serves.
const CANNOT_PARTICIPATE: &str = "this core cannot take part; start the program that wrote its state";
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Part of the descriptors that calls to the control plane may take.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.6;

/// Runs a core until it is told to stop.
pub async fn run(settings: Settings) -> Result<()> {
    let startup = Startup::default();
    let mut signals = Signals::new()?;
    let control = settings.control_plane.context("listeners_map.control_plane is missing")?;
    let internal = settings.own_internal_address();
    let listener = socket::listen(control).with_context(|| format!("control plane {control}"))?;
    let internal_listener = socket::listen(internal).with_context(|| format!("internal {internal}"))?;
    let (events, mut inbox) = mpsc::unbounded_channel();
    let disk = disk::Disk::open(&settings, control, events.clone())?;
    startup.reach(Milestone::DiskRead);
    let mut node = Node::new(settings.clone(), disk, events.clone(), startup).context(CANNOT_PARTICIPATE)?;
    let (close, closing) = watch::channel(false);
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        connections: (settings.max_descriptors as f64 * CALLER_DESCRIPTOR_FRACTION) as usize,
    };
    let service = api::service(events.clone());
    let serving = tokio::spawn(server::serve(
        listener,
        move |_| service.clone(),
        limits,
        closing,
        ConnectionCount::default(),
    ));
    tokio::spawn(peer_listener::accept(internal_listener, events.clone()));
    tracing::info!(node = settings.node_name, %control, "core started");
    node.listens();
    let mut next_tick = tokio::time::Instant::now();
    loop {
        tokio::select! {
            Some(event) = inbox.recv() => node.on_event(clock::now(), event),
            () = tokio::time::sleep_until(next_tick) => {
                next_tick = tokio::time::Instant::now() + TICK_INTERVAL;
                node.on_event(clock::now(), Event::Tick);
            }
            signal = signals.next() => node.on_signal(clock::now(), signal),
            // Links and callers get their turn first.
            () = tokio::task::yield_now(), if node.has_more_to_apply() => node.apply_more(clock::now()),
        }
        if let Some(error) = node.take_failure() {
            return Err(error).context(CANNOT_PARTICIPATE);
        }
        if node.may_end(clock::now()) {
            break;
        }
    }
    node.end(clock::now());
    let _ = close.send(true);
    // What the node said last leaves before the process does.
    tokio::time::sleep(Duration::from_millis(150)).await;
    serving.abort();
    Ok(())
}
