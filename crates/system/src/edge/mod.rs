//! An edge: takes clients' requests and passes them to model servers.

mod admission;
mod answer;
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
use crate::net::server::{self, ConnectionCount, Limits};
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
/// All answers are sent this long before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Retry time for clients of an edge that shuts down, milliseconds; they reach another one.
const STOPPING_RETRY_MS: u64 = 50;
/// How often queued requests are reconsidered.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the choice of cores is reviewed, in ticks.
const TICKS_BETWEEN_CORE_MESSAGES: u32 = 5;
/// How often usage, demand and loads are reported to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How often the settings file is read again, in reports.
const REPORTS_BETWEEN_SETTINGS_CHECKS: u32 = 4;
/// The fraction of file descriptors for clients' connections.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
const MAX_HEAD_BYTES: usize = 64 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs an edge until SIGTERM.
pub async fn run(settings: Settings) -> Result<()> {
    let startup = Startup::default();
    let mut signals = Signals::new()?;
    let ingress = settings.ingress.context("listeners_map.ingress is missing")?;
    let readiness = settings.readiness.context("listeners_map.readiness is missing")?;
    let listener = socket::listen(ingress).with_context(|| format!("ingress {ingress}"))?;
    let readiness_listener = socket::listen(readiness).with_context(|| format!("readiness {readiness}"))?;
    startup.reach(Milestone::Listening);
    let shared = Shared::new(settings.clone(), startup);
    core_links::start(&shared, &settings.seeds);
    tokio::spawn(rollout::run(shared.clone()));
    tokio::spawn(status::serve(readiness_listener, shared.clone()));
    let (close, closing) = watch::channel(false);
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: IDLE_TIMEOUT,
        connections: (settings.max_descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize,
    };
    let count = ConnectionCount::default();
    let service_shared = shared.clone();
    let service = move |_peer| {
        let shared = service_shared.clone();
        hyper::service::service_fn(move |request| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(proxy::answer(shared, request).await) }
        })
    };
    let serving = tokio::spawn(server::serve(listener, service, limits, closing, count.clone()));
    tokio::spawn(tick(shared.clone()));
    tokio::spawn(report(shared.clone()));
    tracing::info!(node = settings.node_name, %ingress, "edge started");
    while signals.next().await == Request::Reload {
        core_links::reload(&shared);
    }
    stop(&shared, &settings, serving, &close, &count).await;
    Ok(())
}

/// Shuts down gracefully: no new clients; requests at model servers are answered, queued ones are refused.
async fn stop(
    shared: &Arc<Shared>,
    settings: &Settings,
    serving: tokio::task::JoinHandle<()>,
    close: &watch::Sender<bool>,
    count: &ConnectionCount,
) {
    tracing::info!("shutting down");
    shared.stopping.store(true, Ordering::Relaxed);
    let end = tokio::time::Instant::now() + Duration::from_millis(settings.bounds.grace_ms) - KILL_MARGIN;
    tokio::time::sleep(DEREGISTRATION_DELAY).await;
    // A connection that is refused is tried elsewhere; one that is taken now could not be served to its end.
    serving.abort();
    let _ = close.send(true);
    while tokio::time::Instant::now() < end && (count.get() > 0 || shared.open_requests() > 0) {
        shared.refuse_waiting(STOPPING_RETRY_MS);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    core_links::send_report(shared);
    core_links::send_farewell(shared);
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
