//! Orders to bricks, from the call to the known end.

use super::brick_json::ReportJson;
use crate::clock;
use crate::net::client::ConnectionPool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pathbank_control::configuration::Runtime;
use pathbank_control::placement::{Operation, Order};
use pathbank_protocol::message::LoadedModel;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const CALL_WITHIN: Duration = Duration::from_millis(1_500);
/// Reports tell how things stood some hundred milliseconds earlier.
const REPORT_LAG_MS: u64 = 160;
/// An order that is under way is asked about this often.
const ASK_EVERY: Duration = Duration::from_millis(250);
/// An order whose end is not known after this, beyond its expected time, is given up.
const GIVE_UP_MS: u64 = 20_000;

/// In whose name orders and calls are given. It is looked at when a call's bytes are about to be written, not before.
#[derive(Clone, Debug)]
pub struct Authority {
    /// The machine that leads.
    pub lease_holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
    /// No call leaves after this.
    pub until: u64,
    /// Set once this machine leads no more: after it handed over, another one acts before this lease is over.
    pub revoked: Arc<AtomicBool>,
}

impl Authority {
    /// Whether a call may leave now.
    pub fn holds(&self) -> bool {
        clock::now() < self.until && !self.revoked.load(Ordering::Acquire)
    }
}

/// What became of an order.
#[derive(Debug)]
pub struct OrderEnd {
    /// The order.
    pub order: Order,
    /// What the brick holds now, if it told.
    pub report: Option<ReportJson>,
}

/// Gives an order and follows it to its end.
///
/// A load is given only on what the brick itself reports, and only if it took no order since: another leader's order,
/// or one of this leader's whose answer was lost, may have filled it.
pub async fn carry_out(
    pool: ConnectionPool,
    order: Order,
    runtime: Arc<Runtime>,
    authority: Authority,
) -> OrderEnd {
    let Ok(address) = order.address.parse::<SocketAddr>() else { return OrderEnd { order, report: None } };
    let mut revision = None;
    if order.operation == Operation::Load {
        let Some(before) = report(&pool, address, &order.instance).await else {
            return OrderEnd { order, report: None };
        };
        let held: Vec<LoadedModel> = before.models().collect();
        if before.busy || !order.fits(&runtime, &held) {
            return OrderEnd { order, report: Some(before) };
        }
        revision = Some(before.sequence);
    }
    let given = clock::now();
    let request = order_request(&order, revision, &authority);
    let answer = pool.call_once(address, request, CALL_WITHIN, || authority.holds()).await;
    let status = answer.as_ref().map(|(status, _)| *status);
    tracing::debug!(instance = order.instance, operation = ?order.operation, model = order.model, adapter = order.adapter, ?status, "order");
    let turned_away = matches!(status, Some(400 | 412 | 421));
    if turned_away {
        tracing::warn!(instance = order.instance, ?status, "order turned away");
        return OrderEnd { order, report: None };
    }
    let expected = order.expected_ms * 9 / 10;
    tokio::time::sleep(Duration::from_millis(expected.max(REPORT_LAG_MS))).await;
    while clock::now() < given + order.expected_ms + GIVE_UP_MS {
        match report(&pool, address, &order.instance).await {
            Some(report) if !report.busy => return OrderEnd { order, report: Some(report) },
            Some(_) => {}
            None => return OrderEnd { order, report: None },
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
    OrderEnd { order, report: None }
}

/// How a brick stands, by its own word; `None`: it did not answer, or is another incarnation.
pub async fn report(pool: &ConnectionPool, address: SocketAddr, instance: &str) -> Option<ReportJson> {
    let request = Request::get("/api/report")
        .header("host", address.to_string())
        .header("x-pathbank-target-instance", instance)
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (status, body) = pool.call(address, request, CALL_WITHIN).await?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}

fn order_request(order: &Order, revision: Option<u64>, authority: &Authority) -> Request<Full<Bytes>> {
    let operation = match order.operation {
        Operation::Load => "model_load",
        Operation::Unload => "model_unload",
    };
    let mut body = serde_json::json!({
        "operation": operation,
        "model": order.model,
        "lease_holder": authority.lease_holder,
        "fencing_token": authority.fencing_token,
    });
    if let Some(revision) = revision {
        body["if_revision"] = revision.into();
    }
    if !order.adapter.is_empty() {
        body["adapter"] = order.adapter.clone().into();
    }
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/api/order");
    let headers = request.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    let values = [("host", &order.address), ("x-pathbank-target-instance", &order.instance)];
    for (name, value) in values {
        if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    request
}
