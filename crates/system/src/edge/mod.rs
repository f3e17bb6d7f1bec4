//! An edge: takes clients' requests and passes them to model servers.

mod admission;
mod answer;
mod core_links;
mod generation;
pub mod hollow;
mod job;
mod proxy;
mod relay;
mod rollout;
mod shared;
mod status;
mod ticket;

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

/// The platform stops sending new connections after two missed answers a second apart, and a little later.
const LEAVE_AFTER: Duration = Duration::from_millis(2_600);
/// So long before the kill all answers are out.
const BEFORE_KILL: Duration = Duration::from_millis(500);
/// When clients of a stopping head should come back, milliseconds; they reach another one.
const STOPPING_RETRY_MS: u64 = 50;
/// How often what waits is looked at.
const TICK: Duration = Duration::from_millis(20);
/// How often the choice of cores is looked at without news, in ticks.
const SPEAK_EVERY: u32 = 5;
/// How often the leader is told what was counted.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// How often the settings file is looked at, in reports.
const SETTINGS_EVERY: u32 = 4;
/// Part of the descriptors that clients' connections may take.
const CLIENT_DESCRIPTORS: f64 = 0.6;
const MOST_HEAD_BYTES: usize = 64 * 1024;
const IDLE_WITHIN: Duration = Duration::from_secs(20);

/// Runs an edge until it is told to stop.
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
        head_bytes: MOST_HEAD_BYTES,
        head_within: IDLE_WITHIN,
        connections: (settings.max_descriptors as f64 * CLIENT_DESCRIPTORS) as usize,
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

/// Leaves in order: no new clients, what is at model servers is answered, what is not is refused, then the
/// end.
async fn stop(
    shared: &Arc<Shared>,
    settings: &Settings,
    serving: tokio::task::JoinHandle<()>,
    close: &watch::Sender<bool>,
    count: &ConnectionCount,
) {
    tracing::info!("stopping: no new clients");
    shared.stopping.store(true, Ordering::Relaxed);
    let end = tokio::time::Instant::now() + Duration::from_millis(settings.bounds.grace_ms) - BEFORE_KILL;
    tokio::time::sleep(LEAVE_AFTER).await;
    // A connection that is refused is tried elsewhere; one that is taken now could not be served to its end.
    serving.abort();
    let _ = close.send(true);
    while tokio::time::Instant::now() < end && (count.get() > 0 || shared.open_requests() > 0) {
        shared.refuse_waiting(STOPPING_RETRY_MS);
        tokio::time::sleep(TICK).await;
    }
    core_links::send_report(shared);
    core_links::send_farewell(shared);
    tokio::time::sleep(TICK).await;
    tracing::info!(open = shared.open_requests(), "stopped");
}

async fn tick(shared: Arc<Shared>) {
    let mut rounds = 0_u32;
    loop {
        tokio::time::sleep(TICK).await;
        shared.tick(clock::now());
        rounds += 1;
        if rounds.is_multiple_of(SPEAK_EVERY) {
            core_links::speak(&shared);
        }
    }
}

async fn report(shared: Arc<Shared>) {
    let mut rounds = 0_u32;
    loop {
        let _ = tokio::time::timeout(REPORT_EVERY, shared.urgent.notified()).await;
        core_links::send_report(&shared);
        shared.pool.tidy();
        rounds += 1;
        if rounds.is_multiple_of(SETTINGS_EVERY) {
            core_links::reload(&shared);
        }
    }
}
