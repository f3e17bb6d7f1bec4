//! The edge: an HTTP proxy that accepts clients' requests and forwards them to model servers.

mod admission;
mod answer;
mod answer_errors;
mod attempt;
mod client_request;
mod configuration_queue;
mod core_addresses;
mod core_links;
mod evacuation;
mod generation;
mod generation_count;
mod headers;
pub mod hollow;
mod long_answer;
mod pending_admissions;
mod proxy;
mod relay;
mod report_history;
mod rollout;
mod shared;
mod status;
mod ticket;
mod upstream_answer;

use crate::clock;
use crate::net::server::{self, ConnectionTable, Limits};
use crate::net::socket;
use crate::settings::Settings;
use crate::signals::{Request, Signals};
use crate::startup::{Milestone, Startup};
use anyhow::{Context, Result};
use shared::Shared;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

/// The platform stops sending new connections after two missed health checks a second apart.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);
/// The edge ends this long before the platform would kill the process.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// `Retry-After` of refusals while the edge shuts down, milliseconds. The retry reaches another edge.
const STOPPING_RETRY_MS: u64 = 50;
/// How often the dispatcher looks at queued requests again.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the edge sends its cores the messages that are due, in ticks.
const TICKS_BETWEEN_CORE_MESSAGES: u32 = 5;
/// How often the edge reports usage, demand and loads to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How often the edge reads its settings file again, in reports.
const REPORTS_BETWEEN_SETTINGS_CHECKS: u32 = 4;
/// The fraction of file descriptors that clients' connections may use.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
/// The longest request head that the edge accepts.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A client's connection closes after this time without a complete request head.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs an edge until SIGTERM.
///
/// # Errors
///
/// The settings name no listener, or the edge cannot bind one of them.
pub async fn run(settings: Settings) -> Result<()> {
    let startup = Startup::default();
    let mut signals = Signals::new()?;
    let ingress = settings.ingress.context("listeners_map.ingress is missing")?;
    let readiness = settings.readiness.context("listeners_map.readiness is missing")?;
    let listener = socket::listen_limited(ingress).with_context(|| format!("ingress {ingress}"))?;
    let readiness_listener =
        socket::listen_limited(readiness).with_context(|| format!("readiness {readiness}"))?;
    startup.reach(Milestone::Listening);
    let shared = Shared::new(settings.clone(), startup);
    core_links::start(&shared, &settings.seeds);
    tokio::spawn(rollout::run(shared.clone()));
    let (close, closing) = watch::channel(false);
    // Operators read the status of an edge that shuts down, too.
    let (status_close, status_closing) = watch::channel(false);
    tokio::spawn(status::serve(readiness_listener, shared.clone(), status_closing));
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: IDLE_TIMEOUT,
        connections: (settings.max_descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize,
        memory: shared.memory.connections.clone(),
    };
    let connections = ConnectionTable::default();
    let service_shared = shared.clone();
    let service = move |_peer| {
        let shared = service_shared.clone();
        hyper::service::service_fn(move |request| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(proxy::answer(shared, request).await) }
        })
    };
    let serving =
        tokio::spawn(server::serve(listener, service, limits, closing.clone(), connections.clone()));
    tokio::spawn(tick(shared.clone()));
    tokio::spawn(report(shared.clone()));
    tracing::info!(node = settings.node_name, %ingress, "edge started");
    while signals.next().await == Request::Reload {
        core_links::reload(&shared);
    }
    stop(&shared, &settings, serving, &close, &connections).await;
    drop(status_close);
    Ok(())
}

/// Shuts down gracefully: accepts no new clients, refuses queued requests, and waits for requests at model
/// servers to be answered.
async fn stop(
    shared: &Arc<Shared>,
    settings: &Settings,
    serving: tokio::task::JoinHandle<()>,
    close: &watch::Sender<bool>,
    connections: &ConnectionTable,
) {
    tracing::info!("shutting down");
    shared.stopping.store(true, Ordering::Relaxed);
    let end = tokio::time::Instant::now() + Duration::from_millis(settings.bounds.grace_ms) - KILL_MARGIN;
    tokio::time::sleep(DEREGISTRATION_DELAY).await;
    // A client whose connection is refused tries another edge. A connection accepted now could not be served
    // to its end.
    serving.abort();
    let _ = close.send(true);
    while tokio::time::Instant::now() < end && (connections.count() > 0 || shared.open_requests() > 0) {
        shared.refuse_waiting(STOPPING_RETRY_MS);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    core_links::send_report(shared);
    core_links::send_final_report(shared);
    tokio::time::sleep(TICK_INTERVAL).await;
    tracing::info!(open = shared.open_requests(), "stopped");
}

async fn tick(shared: Arc<Shared>) {
    let mut rounds = 0_u32;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        shared.tick(clock::now());
        rounds += 1;
        if rounds.is_multiple_of(TICKS_BETWEEN_CORE_MESSAGES) {
            core_links::send_due_messages(&shared);
        }
    }
}

async fn report(shared: Arc<Shared>) {
    let mut rounds = 0_u32;
    loop {
        let _ = tokio::time::timeout(REPORT_INTERVAL, shared.urgent.notified()).await;
        core_links::send_report(&shared);
        shared.pool.tidy();
        rounds += 1;
        if rounds.is_multiple_of(REPORTS_BETWEEN_SETTINGS_CHECKS) {
            core_links::reload(&shared);
        }
    }
}
