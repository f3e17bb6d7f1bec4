//! A core, one replica of the control plane: the replicated configuration and state of training steps, the registry of
//! model servers, and, while it leads, placement, training steps and the singleton roles.
//!
//! `node::Node` is the event loop; every other module is a part of its state, or runs beside it and reports by an
//! `event::Event`.

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
mod preparation;
mod publication;
mod replication;
mod server_memory;
pub mod singleton_roles;
mod state_check;
mod state_machine;
mod status;
mod store_identity;
mod training;
mod usage;

use crate::clock;
use crate::memory::plan::CoreMemory;
use crate::net::server::{self, ConnectionTable, Limits};
use crate::net::socket;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::startup::{Milestone, Startup};
use anyhow::{Context, Result};
use api::answer::CallContext;
use event::Event;
use node::Node;
use preparation::Preparation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Between ticks of the event loop.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A replica that cannot read its state, or a command of the log, neither votes nor serves.
const CANNOT_PARTICIPATE: &str = "this core cannot take part; start the program that wrote its state";
/// A caller sends the head of a request within this.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The last messages leave within this.
const LAST_MESSAGES_DELAY: Duration = Duration::from_millis(150);
/// The part of the file descriptors that connections to the control plane may take.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.6;

/// Runs a core until SIGTERM, and until another store has taken its place or the grace period ends.
///
/// # Errors
///
/// An address or the data directory of the settings cannot be used, or the state is of a newer program.
pub async fn run(settings: Settings) -> Result<()> {
    let startup = Startup::default();
    let mut signals = Signals::new()?;
    let control = settings.control_plane.context("listeners_map.control_plane is missing")?;
    let internal = settings.own_internal_address();
    let memory = CoreMemory::new(settings.memory_mb);
    let listener = socket::listen_limited(control).with_context(|| format!("control plane {control}"))?;
    let internal_listener = socket::listen(internal).with_context(|| format!("internal {internal}"))?;
    let (events, mut inbox) = mpsc::unbounded_channel();
    let (close, closing) = watch::channel(false);
    let mut node = start_node(&settings, &memory, control, &events, startup)?;
    let context = CallContext { events: events.clone(), memory: memory.clone(), reading: Arc::default() };
    let serving = spawn_api(listener, &settings, context, closing);
    tokio::spawn(peer_listener::accept(internal_listener, memory.links.clone(), events.clone()));
    tracing::info!(node = settings.node_name, %control, "core started");
    node.listens();
    while run_loop(&mut node, &mut inbox, &mut signals).await? == LoopEnd::StoreSetAside {
        node.discard();
        discard_events(&mut inbox);
        node = start_node(&settings, &memory, control, &events, Startup::default())?;
    }
    node.end(clock::now());
    let _ = close.send(true);
    // The last messages are written before the process ends.
    tokio::time::sleep(LAST_MESSAGES_DELAY).await;
    serving.abort();
    Ok(())
}

/// Starts a core on what its disk holds.
fn start_node(
    settings: &Settings,
    memory: &CoreMemory,
    control: SocketAddr,
    events: &mpsc::UnboundedSender<Event>,
    startup: Startup,
) -> Result<Node> {
    let opened = disk::Disk::open(settings, control, events.clone())?;
    startup.reach(Milestone::DiskRead);
    let preparation = Preparation::start(events.clone())?;
    Node::new(settings.clone(), memory, opened, preparation, events.clone(), startup)
        .context(CANNOT_PARTICIPATE)
}

/// Drops what was reported to a store that is set aside. Links open again, and introduce themselves to the new store.
fn discard_events(inbox: &mut mpsc::UnboundedReceiver<Event>) {
    while let Ok(event) = inbox.try_recv() {
        if let Event::LinkOpened(_, _, link) = event {
            link.close();
        }
    }
}

/// Why the event loop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoopEnd {
    /// The process ends.
    Shutdown,
    /// The store was set aside: the core goes on as a new one.
    StoreSetAside,
}

/// Serves the HTTP interface until `closing`.
fn spawn_api(
    listener: TcpListener,
    settings: &Settings,
    context: CallContext,
    closing: watch::Receiver<bool>,
) -> JoinHandle<()> {
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        connections: (settings.max_descriptors as f64 * CALLER_DESCRIPTOR_FRACTION) as usize,
        memory: context.memory.connections.clone(),
    };
    let service = api::service(context);
    let serving =
        server::serve(listener, move |_| service.clone(), limits, closing, ConnectionTable::default());
    tokio::spawn(serving)
}

/// Hands events, ticks and signals to the node until it may end.
async fn run_loop(
    node: &mut Node,
    inbox: &mut mpsc::UnboundedReceiver<Event>,
    signals: &mut Signals,
) -> Result<LoopEnd> {
    let mut next_tick = tokio::time::Instant::now();
    loop {
        tokio::select! {
            Some(event) = inbox.recv() => node.on_event(clock::now(), event),
            () = tokio::time::sleep_until(next_tick) => {
                next_tick = tokio::time::Instant::now() + TICK_INTERVAL;
                node.on_event(clock::now(), Event::Tick);
            }
            signal = signals.next() => node.on_signal(clock::now(), signal),
            // Links and callers come first.
            () = tokio::task::yield_now(), if node.has_more_to_apply() => node.apply_more(clock::now()),
        }
        if let Some(error) = node.take_failure() {
            return Err(error).context(CANNOT_PARTICIPATE);
        }
        if node.is_store_set_aside() {
            return Ok(LoopEnd::StoreSetAside);
        }
        if node.may_end(clock::now()) {
            return Ok(LoopEnd::Shutdown);
        }
    }
}
