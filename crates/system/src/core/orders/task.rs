//! An order to execute, and how it ended.

use super::drop::OrderDrop;
use crate::core::lease::LeaseGuard;
use crate::core::model_server_json::ReportJson;
use pathbank_control::configuration::Runtime;
use pathbank_control::order::Order;
use pathbank_control::order_progress::ModelServerContents;
use std::sync::Arc;

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
    /// Why the order was not sent; `None`: it was.
    pub dropped: Option<OrderDrop>,
}

impl OrderOutcome {
    /// The end of the order is unknown.
    pub fn unknown(order: Order) -> OrderOutcome {
        OrderOutcome { order, report: None, took_ms: None, dropped: None }
    }

    /// The order was not sent. `report`: the contents of the model server, if it told them.
    pub fn dropped(order: Order, cause: OrderDrop, report: Option<ReportJson>) -> OrderOutcome {
        OrderOutcome { order, report, took_ms: None, dropped: Some(cause) }
    }

    /// The order has ended with these contents.
    pub fn reported(order: Order, report: ReportJson) -> OrderOutcome {
        OrderOutcome { order, report: Some(report), took_ms: None, dropped: None }
    }
}
