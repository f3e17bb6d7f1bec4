//! Orders to model servers: load or unload a model or an adapter, tracked from the call to the known end.

mod call;
mod drop;
mod task;
mod tracker;

use crate::clock;
use crate::net::client::ConnectionPool;
pub use call::fetch_report;
pub use drop::{DroppedOrders, OrderDrop};
use pathbank_control::configuration::Runtime;
use pathbank_control::order::Order;
use pathbank_control::order_progress::ModelServerContents;
use std::net::SocketAddr;
pub use task::{OrderOutcome, OrderTask};
use tracker::OrderTracker;

/// Sends an order and tracks it to its end.
///
/// A load is sent only on contents that the model server itself reported, and applies only if it accepted no
/// order since: another leader's order, or one of this leader's whose answer was lost, may have filled it.
pub async fn execute(pool: ConnectionPool, task: OrderTask) -> OrderOutcome {
    let OrderTask { order, runtime, guard, known, version } = task;
    let Ok(address) = order.address.parse::<SocketAddr>() else {
        return OrderOutcome::dropped(order, OrderDrop::InvalidAddress, None);
    };
    let before = match known {
        Some(known) => known,
        None => match fetch_report(&pool, address, &order.instance).await {
            Some(report) => report.contents(),
            None => return OrderOutcome::dropped(order, OrderDrop::NoReport, None),
        },
    };
    if let Err(cause) = check(&order, &runtime, &before) {
        let report = fetch_report(&pool, address, &order.instance).await;
        return OrderOutcome::dropped(order, cause, report);
    }
    let sent_at = clock::now();
    OrderTracker { pool, address, order, guard, before, version, sent_at }.run().await
}

/// Checks that the contents of the model server permit the order.
fn check(order: &Order, runtime: &Runtime, before: &ModelServerContents) -> Result<(), OrderDrop> {
    if before.busy {
        return Err(OrderDrop::Busy);
    }
    Ok(order.check(runtime, &before.models)?)
}
