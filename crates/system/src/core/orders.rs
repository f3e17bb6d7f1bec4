//! Orders to model servers, from the call to the known end.

use super::model_server_json::ReportJson;
use crate::clock;
use crate::net::client::ConnectionPool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pathbank_control::configuration::Runtime;
use pathbank_control::order_progress::{self, ModelServerContents, Progress};
use pathbank_control::placement::{Operation, Order};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Reports tell how things stood some hundred milliseconds earlier: one asked for after this tells of an
/// order's start.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// An order that takes longer than expected is asked about this often.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Before that it is given again so often, each time after this part of the time that it has taken, for its
/// answer tells how things stand now.
const MAX_REPEATS: u32 = 3;
const REPEAT_BACKOFF_FACTOR: f64 = 0.1;
const MIN_REPEAT_BACKOFF: Duration = Duration::from_millis(15);
/// An order without an answer that no report shows so long after it was given was not taken, milliseconds.
const ACCEPTANCE_TIMEOUT_MS: u64 = 2_500;
/// An order whose end is not known after this, beyond its expected time, is given up.
const COMPLETION_TIMEOUT_MS: u64 = 20_000;

/// In whose name orders and calls are given. It is looked at when a call's bytes are about to be written, not
/// before.
#[derive(Clone, Debug)]
pub struct LeaseGuard {
    /// The machine that leads.
    pub lease_holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
    /// The lease: it is renewed while this machine leads.
    pub lease: Arc<LeaseExpiry>,
    /// Set once this machine leads no more: after it handed over, another one acts before this lease is over.
    pub revoked: Arc<AtomicBool>,
}

/// Until when calls may leave in the name of one leadership.
#[derive(Debug, Default)]
pub struct LeaseExpiry(AtomicU64);

impl LeaseExpiry {
    /// The lease was renewed, or began.
    pub fn extend(&self, until: u64) {
        self.0.fetch_max(until, Ordering::AcqRel);
    }
}

impl LeaseGuard {
    /// Whether a call may leave now.
    pub fn is_valid(&self) -> bool {
        clock::now() < self.lease.0.load(Ordering::Acquire) && !self.revoked.load(Ordering::Acquire)
    }
}

/// An order, and what has to be known to give it.
#[derive(Clone, Debug)]
pub struct OrderTask {
    /// The order.
    pub order: Order,
    /// What the model server can hold.
    pub runtime: Arc<Runtime>,
    /// In whose name it is given.
    pub authority: LeaseGuard,
    /// What the model server holds by the end of this leader's last order there; `None`: it is asked.
    pub known: Option<ModelServerContents>,
    /// The version of the weights that a load brings in, as far as is known.
    pub version: u64,
}

/// What became of an order.
#[derive(Debug)]
pub struct OrderOutcome {
    /// The order.
    pub order: Order,
    /// How the model server stands now, if that is known.
    pub report: Option<ReportJson>,
    /// How long the order took, if it was seen to be done, milliseconds.
    pub took_ms: Option<u64>,
}

impl OrderOutcome {
    fn unknown(order: Order) -> OrderOutcome {
        OrderOutcome { order, report: None, took_ms: None }
    }

    fn told(order: Order, report: ReportJson) -> OrderOutcome {
        OrderOutcome { order, report: Some(report), took_ms: None }
    }
}

/// Gives an order and follows it to its end.
///
/// A load is given only on what the model server itself reports, and only if it took no order since: another
/// leader's order, or one of this leader's whose answer was lost, may have filled it.
pub async fn execute(pool: ConnectionPool, task: OrderTask) -> OrderOutcome {
    let OrderTask { order, runtime, authority, known, version } = task;
    let Ok(address) = order.address.parse::<SocketAddr>() else { return OrderOutcome::unknown(order) };
    let before = match known {
        Some(known) => known,
        None => match report(&pool, address, &order.instance).await {
            Some(report) => report.contents(),
            None => return OrderOutcome::unknown(order),
        },
    };
    if before.busy || order.operation == Operation::Load && !order.fits(&runtime, &before.models) {
        let stands = report(&pool, address, &order.instance).await;
        return OrderOutcome { order, report: stands, took_ms: None };
    }
    let follower = OrderTracker { pool, address, order, authority, before, version, given: clock::now() };
    match follower.give(Some(follower.before.sequence)).await {
        OrderReply::Taken => follower.follow().await,
        OrderReply::Holds => follower.cached_weights(),
        OrderReply::TurnedAway(status) => {
            tracing::warn!(instance = follower.order.instance, status, "order turned away");
            OrderOutcome::unknown(follower.order)
        }
        // Another order is under way, or was taken since: what the model server holds is not what was
        // thought.
        OrderReply::Conflict => {
            tokio::time::sleep(REPORT_DELAY).await;
            let report = follower.report().await;
            OrderOutcome { order: follower.order, report, took_ms: None }
        }
        OrderReply::Unclear => follower.follow_by_reports(Acceptance::Missing).await,
    }
}

/// What the answer to an order says.
enum OrderReply {
    /// It is being done.
    Taken,
    /// It holds already.
    Holds,
    /// Another order is under way, or the model server took one that was not known of.
    Conflict,
    /// The same order would be turned away again.
    TurnedAway(u16),
    /// It may have been taken.
    Unclear,
}

/// Whether an order is known to have been taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acceptance {
    /// The model server said so.
    Taken,
    /// No answer came: it may have been.
    Missing,
}

/// Follows one order to its end.
struct OrderTracker {
    pool: ConnectionPool,
    address: SocketAddr,
    order: Order,
    authority: LeaseGuard,
    /// What the model server held before.
    before: ModelServerContents,
    version: u64,
    given: u64,
}

impl OrderTracker {
    async fn give(&self, revision: Option<u64>) -> OrderReply {
        let request = order_request(&self.order, revision, &self.authority);
        let answer =
            self.pool.call_once(self.address, request, CALL_TIMEOUT, || self.authority.is_valid()).await;
        let status = answer.as_ref().map(|(status, _)| *status);
        let Order { instance, operation, model, adapter, .. } = &self.order;
        tracing::debug!(instance, ?operation, model, adapter, ?status, "order");
        match status {
            Some(200) => OrderReply::Holds,
            Some(202) => OrderReply::Taken,
            Some(409) => OrderReply::Conflict,
            Some(status @ (400 | 412 | 421)) => OrderReply::TurnedAway(status),
            Some(_) | None => OrderReply::Unclear,
        }
    }

    async fn report(&self) -> Option<ReportJson> {
        report(&self.pool, self.address, &self.order.instance).await
    }

    /// The model server holds already what was ordered: it took no order.
    fn cached_weights(self) -> OrderOutcome {
        let contents = ModelServerContents { sequence: self.before.sequence, ..self.contents_after() };
        OrderOutcome::told(self.order, ReportJson::of(contents))
    }

    fn contents_after(&self) -> ModelServerContents {
        order_progress::after(&self.order, self.before.clone(), self.version)
    }

    /// The model server as it stands once the order is done.
    fn done(&self) -> ReportJson {
        ReportJson::of(self.contents_after())
    }

    /// The order was taken. Given again when it should be done, it is answered by how things stand then. It
    /// is for the model server with this order as its last one: one that comes late must not undo what a
    /// later leader ordered.
    async fn follow(self) -> OrderOutcome {
        tokio::time::sleep(Duration::from_millis(self.order.expected_ms)).await;
        if self.order.report_only {
            return self.follow_by_reports(Acceptance::Taken).await;
        }
        let taken_as = Some(self.before.sequence + 1);
        for repeat in 0..MAX_REPEATS {
            let asked_ms = clock::now().saturating_sub(self.given);
            match self.give(taken_as).await {
                OrderReply::Holds => {
                    // Done at the first look: it may have been done for a while.
                    let took_ms =
                        Some(if repeat == 0 { order_progress::earlier(asked_ms) } else { asked_ms });
                    return OrderOutcome { report: Some(self.done()), order: self.order, took_ms };
                }
                OrderReply::Conflict | OrderReply::Taken => {}
                OrderReply::TurnedAway(_) | OrderReply::Unclear => break,
            }
            let taken = Duration::from_millis(clock::now().saturating_sub(self.given));
            tokio::time::sleep(taken.mul_f64(REPEAT_BACKOFF_FACTOR).max(MIN_REPEAT_BACKOFF)).await;
        }
        self.follow_by_reports(Acceptance::Taken).await
    }

    fn is_old(&self) -> bool {
        clock::now() >= self.given + ACCEPTANCE_TIMEOUT_MS
    }

    /// Asks the model server until it tells of the order's end, or that it never got it.
    async fn follow_by_reports(self, answer: Acceptance) -> OrderOutcome {
        while clock::now() < self.given + self.order.expected_ms + COMPLETION_TIMEOUT_MS {
            let Some(report) = self.report().await else { break };
            match order_progress::judge(&self.order, self.before.sequence, &report.contents()) {
                Progress::Done | Progress::Undone => return OrderOutcome::told(self.order, report),
                Progress::TooOld if answer == Acceptance::Missing && self.is_old() => {
                    return OrderOutcome::told(self.order, report);
                }
                Progress::TooOld | Progress::UnderWay => tokio::time::sleep(REPORT_POLL_INTERVAL).await,
            }
        }
        OrderOutcome::unknown(self.order)
    }
}

/// How a model server stands, by its own word; `None`: it did not answer, or is another incarnation.
pub async fn report(pool: &ConnectionPool, address: SocketAddr, instance: &str) -> Option<ReportJson> {
    let request = Request::get("/api/report")
        .header("host", address.to_string())
        .header("x-pathbank-target-instance", instance)
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (status, body) = pool.call(address, request, CALL_TIMEOUT).await?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}

fn order_request(order: &Order, revision: Option<u64>, authority: &LeaseGuard) -> Request<Full<Bytes>> {
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
