//! Orders to model servers: load or unload a model or an adapter, tracked from the call to the known end.

mod call;
mod tracker;

use crate::clock;
use crate::core::lease::LeaseGuard;
use crate::core::model_server_json::ReportJson;
use crate::net::client::ConnectionPool;
pub use call::fetch_report;
use pathbank_control::configuration::Runtime;
use pathbank_control::order::{Operation, Order};
use pathbank_control::order_progress::ModelServerContents;
use std::net::SocketAddr;
use std::sync::Arc;
use tracker::OrderTracker;

/// An order with what is needed to execute it.
#[derive(Clone, Debug)]
pub struct OrderTask {
    /// The order.
    pub order: Order,
    /// The capacity of the model server.
    pub runtime: Arc<Runtime>,
    /// In whose name the order is sent.
    pub guard: LeaseGuard,
    /// The contents of the model server after this leader's last order there; `None`: its report is fetched.
    pub known: Option<ModelServerContents>,
    /// The version of the weights that a load brings in, as far as is known.
    pub version: u64,
}

/// How an order ended.
#[derive(Debug)]
pub struct OrderOutcome {
    /// The order.
    pub order: Order,
    /// The contents of the model server now; `None`: unknown.
    pub report: Option<ReportJson>,
    /// The duration of the order, milliseconds; `None`: its completion was not observed.
    pub took_ms: Option<u64>,
}

impl OrderOutcome {
    fn unknown(order: Order) -> OrderOutcome {
        OrderOutcome { order, report: None, took_ms: None }
    }

    fn reported(order: Order, report: ReportJson) -> OrderOutcome {
        OrderOutcome { order, report: Some(report), took_ms: None }
    }
}

/// Sends an order and tracks it to its end.
///
/// A load is sent only on contents that the model server itself reported, and applies only if it accepted no
/// order since: another leader's order, or one of this leader's whose answer was lost, may have filled it.
pub async fn execute(pool: ConnectionPool, task: OrderTask) -> OrderOutcome {
    let OrderTask { order, runtime, guard, known, version } = task;
    let Ok(address) = order.address.parse::<SocketAddr>() else { return OrderOutcome::unknown(order) };
    let before = match known {
        Some(known) => known,
        None => match fetch_report(&pool, address, &order.instance).await {
            Some(report) => report.contents(),
            None => return OrderOutcome::unknown(order),
        },
    };
    if before.busy || order.operation == Operation::Load && !order.fits(&runtime, &before.models) {
        let report = fetch_report(&pool, address, &order.instance).await;
        return OrderOutcome { order, report, took_ms: None };
    }
    let sent_at = clock::now();
    OrderTracker { pool, address, order, guard, before, version, sent_at }.run().await
}
