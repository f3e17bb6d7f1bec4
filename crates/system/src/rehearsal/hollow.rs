//! Hollow edges and model servers: the real control protocol and state, without traffic.

use crate::clock;
use crate::edge::hollow::HollowEdge;
use crate::stand_in::drawn::DrawnLog;
use crate::stand_in::{self, HeartbeatCounts, StandInSettings, StandInState};
use pathbank_protocol::message::{EdgeReport, ModelDemand, ModelServerLoad, UsageWindow};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Rows of a hollow edge's report: models asked for, model servers in use, tenants counted.
const DEMAND_ROWS: usize = 4;
const LOAD_ROWS: usize = 6;
const USAGE_ROWS: usize = 4;
const REPORT_EVERY: Duration = Duration::from_millis(500);

/// Models that a hollow model server holds at first.
const MODELS_HELD: usize = 3;
const ZONES: usize = 12;
const SLOTS: u32 = 64;
/// What a load takes, as the rehearsal's configuration says, milliseconds.
const LOAD_MS: u64 = 4_000;

/// Runs one model server without traffic until the task is dropped: its heartbeats, reports and orders are
/// those of the protocol.
pub async fn server(
    number: usize,
    models: usize,
    every: Duration,
    control: Vec<SocketAddr>,
    counts: Arc<HeartbeatCounts>,
) {
    let held = (0..MODELS_HELD).map(|slot| format!("m{}", (number * MODELS_HELD + slot) % models.max(1)));
    let settings = StandInSettings {
        models: held.collect(),
        capacity: SLOTS,
        load_ms: LOAD_MS,
        heartbeat_every: every,
        counts,
        ..StandInSettings::new(&format!("i-{number}"), "llm", &format!("z{}", number % ZONES), &[], &control)
    };
    // Model servers do not all speak at the same moment.
    tokio::time::sleep(every.mul_f64(fastrand::f64())).await;
    let address = SocketAddr::from(([127, 200, (number / 250) as u8, (number % 250 + 1) as u8], 0));
    let Ok(listener) = tokio::net::TcpListener::bind(address).await else { return };
    let state = StandInState::new(&settings, DrawnLog::default());
    // A model server ends with its task.
    let _ = stand_in::run(listener, settings, state).await;
}

/// Reports to the leader as an edge with traffic would, until the task is dropped.
pub async fn reports(edge: HollowEdge, servers: usize, models: usize) {
    tokio::time::sleep(REPORT_EVERY.mul_f64(fastrand::f64())).await;
    loop {
        let window = clock::wall_clock() / 5_000;
        let demand = |_| ModelDemand {
            backend: "llm".into(),
            model: format!("m{}", fastrand::usize(0..models.max(1))),
            adapter: String::new(),
            arrived: 1,
            tokens: 2_000,
            waiting: 0,
            ..ModelDemand::default()
        };
        let load = |_| ModelServerLoad {
            instance: format!("i-{}", fastrand::usize(0..servers.max(1))),
            in_flight: 1,
            answered: 1,
            ..ModelServerLoad::default()
        };
        edge.report(EdgeReport {
            edge: String::new(),
            incarnation: 0,
            usage: vec![UsageWindow {
                window,
                counts: (0..USAGE_ROWS)
                    .map(|tenant| (format!("tenant-{tenant}"), fastrand::u64(1..9)))
                    .collect(),
            }],
            demand: (0..DEMAND_ROWS).map(demand).collect(),
            loads: (0..LOAD_ROWS).map(load).collect(),
            ..EdgeReport::default()
        });
        tokio::time::sleep(REPORT_EVERY).await;
    }
}
