//! Orders to model servers: load or unload a model or an adapter, tracked from the call to the known end.

mod call;
mod task;
mod tracker;

use crate::clock;
use crate::net::client::ConnectionPool;
pub use call::fetch_report;
use pathbank_control::order::Operation;
use std::net::SocketAddr;
pub use task::{OrderOutcome, OrderTask};
use tracker::OrderTracker;

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
