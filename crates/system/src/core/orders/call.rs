//! The HTTP calls of an order: `POST /api/order`, and `GET /api/report` for a model server's contents.

use crate::core::lease::LeaseGuard;
use crate::core::model_server_json::ReportJson;
use crate::memory::held_body::HeldBody;
use crate::net::client::ConnectionPool;
use bytes::Bytes;
use hyper::Request;
use hyper::header::HeaderValue;
use pathbank_control::order::{Operation, Order};
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a model server's answer to an order says.
pub enum OrderReply {
    /// 200: the model server holds already what was ordered, or has dropped it.
    Done,
    /// 202: the order was accepted and is in progress.
    Accepted,
    /// 409: another order is in progress, or the contents have another revision.
    Conflict,
    /// 400, 412 or 421: the same order would be rejected again. The status.
    Rejected(u16),
    /// Another answer, or none: the order may have been accepted.
    Unknown,
}

/// Sends an order, once, while the lease is valid. `revision` (`if_revision`): the number of orders after which
/// it applies.
pub async fn send_order(
    pool: &ConnectionPool,
    address: SocketAddr,
    order: &Order,
    revision: Option<u64>,
    guard: &LeaseGuard,
) -> OrderReply {
    let request = order_request(order, revision, guard);
    let answer = guard.call(pool, address, request, CALL_TIMEOUT).await;
    let status = answer.map(|(status, _)| status);
    let Order { instance, operation, model, adapter, .. } = order;
    tracing::debug!(instance, ?operation, model, adapter, ?status, "order");
    match status {
        Some(200) => OrderReply::Done,
        Some(202) => OrderReply::Accepted,
        Some(409) => OrderReply::Conflict,
        Some(status @ (400 | 412 | 421)) => OrderReply::Rejected(status),
        Some(_) | None => OrderReply::Unknown,
    }
}

/// Asks a model server for its contents. `None`: it sent no report, or is another incarnation.
pub async fn fetch_report(pool: &ConnectionPool, address: SocketAddr, instance: &str) -> Option<ReportJson> {
    let request = Request::get("/api/report")
        .header("host", address.to_string())
        .header("x-pathbank-target-instance", instance)
        .body(HeldBody::default())
        .ok()?;
    let parse = |status, body: &[u8]| match (status, ReportJson::parse(body)) {
        (200, Ok(report)) => Some(report),
        (200, Err(error)) => {
            tracing::warn!(instance, %error, "a model server sent no report");
            None
        }
        _ => None,
    };
    pool.call_for(address, request, CALL_TIMEOUT, parse).await
}

fn order_request(order: &Order, revision: Option<u64>, guard: &LeaseGuard) -> Request<HeldBody> {
    let body = order_body(order, revision, guard);
    let mut request = Request::new(HeldBody::from(Bytes::from(body.to_string())));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/api/order");
    let headers = request.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let values = [("host", &order.address), ("x-pathbank-target-instance", &order.instance)];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    request
}

fn order_body(order: &Order, revision: Option<u64>, guard: &LeaseGuard) -> serde_json::Value {
    let operation = match order.operation {
        Operation::Load => "model_load",
        Operation::Unload => "model_unload",
    };
    let mut body = serde_json::json!({
        "operation": operation,
        "model": order.model,
        "lease_holder": guard.lease_holder,
        "fencing_token": guard.fencing_token,
    });
    if let Some(revision) = revision {
        body["if_revision"] = revision.into();
    }
    if !order.adapter.is_empty() {
        body["adapter"] = order.adapter.clone().into();
    }
    body
}
