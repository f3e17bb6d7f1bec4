//! One order, from the call to its known end, at a model server whose reports show its state a
//! while ago.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::configuration::{Model, Runtime};
use pathbank_control::model_catalog::LoadObstacle;
use pathbank_control::order::OrderKind;
use pathbank_control::order::{Operation, Order};
use pathbank_system::clock;
use pathbank_system::core::lease::{LeaderCalls, LeaseExpiry, LeaseGuard};
use pathbank_system::core::orders::{OrderDrop, OrderOutcome, OrderTask, execute};
use pathbank_system::net::client::ConnectionPool;
use pathbank_system::net::socket::MAX_DELIVERY;
use pathbank_system::stand_in::engine::{Engine, OrderBody};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use viz::{IntoResponse, Request, RequestExt, Response, ResponseExt, Router, StatusCode};

/// The age of reports, milliseconds.
const REPORT_AGE_MS: u64 = 200;
const INSTANCE: &str = "i-1";

/// A model server that keeps the published protocol, with delayed reports.
struct DelayedReportServer {
    engine: Engine,
    /// Reports with the time of each.
    reports: VecDeque<(u64, Value)>,
    /// Bodies of the orders that came.
    orders: Vec<Value>,
    /// So many orders more get no answer, and are not accepted.
    lost_orders: usize,
}

impl DelayedReportServer {
    fn new(load_ms: u64, models: &[&str]) -> Arc<Mutex<DelayedReportServer>> {
        let models: Vec<String> = models.iter().map(|name| (*name).to_owned()).collect();
        let engine = Engine::new(8, load_ms, &models, 1);
        Arc::new(Mutex::new(DelayedReportServer {
            engine,
            reports: VecDeque::new(),
            orders: Vec::new(),
            lost_orders: 0,
        }))
    }

    fn record(&mut self) {
        let now = clock::now();
        self.engine.settle(now, 1);
        let models =
            self.engine.models().iter().map(
                |(name, held)| json!({ "name": name, "version": held.version, "adapters": held.adapters }),
            );
        let models: Vec<Value> = models.collect();
        let (busy, sequence) = (self.engine.is_busy(), self.engine.sequence());
        self.reports.push_back((now, json!({ "models": models, "busy": busy, "sequence": sequence })));
    }

    fn report(&mut self) -> Value {
        self.record();
        let then = clock::now().saturating_sub(REPORT_AGE_MS);
        let old = self.reports.iter().rev().find(|(at, _)| *at <= then).or(self.reports.front());
        old.map(|(_, reports)| reports.clone()).unwrap_or_default()
    }

    fn take(&mut self, body: Value) -> Option<StatusCode> {
        self.record();
        self.orders.push(body.clone());
        if self.lost_orders > 0 {
            self.lost_orders -= 1;
            return None;
        }
        let order: OrderBody = serde_json::from_value(body).expect("an order");
        let status = self.engine.take_order(clock::now(), order);
        self.record();
        Some(status)
    }

    fn holds(&mut self, model: &str) -> bool {
        self.record();
        self.engine.models().contains_key(model)
    }
}

async fn serve(server: Arc<Mutex<DelayedReportServer>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (of_reports, of_orders, of_time) = (server.clone(), server.clone(), server);
    let router = Router::new()
        .get("/api/report", move |_: Request| {
            let report = of_reports.lock().expect("not poisoned").report();
            async move { Ok::<_, viz::Error>(Response::json(report)?) }
        })
        .post("/api/order", move |mut request: Request| {
            let server = of_orders.clone();
            async move {
                let body: Value = request.json().await?;
                let status = server.lock().expect("not poisoned").take(body);
                match status {
                    Some(status) => Ok::<_, viz::Error>(status.into_response()),
                    None => std::future::pending().await,
                }
            }
        });
    tokio::spawn(async move {
        let _ = viz::serve(listener, router).await;
    });
    tokio::spawn(async move {
        loop {
            of_time.lock().expect("not poisoned").record();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    address
}

fn runtime() -> Runtime {
    let model = |name: &str| Model {
        name: name.into(),
        weights_mb: 70_000.0,
        load_s: 0.3,
        adapters: 4,
        adapter_mb: 66.0,
    };
    Runtime {
        capacity: 8.0,
        kv_capacity: 100_000.0,
        models: ["a", "b", "c"].map(model).into(),
        weights_mb: 150_000.0,
        max_adapters: 4,
        loads_per_s: 4.0,
        stride: 3.0,
    }
}

fn order(address: SocketAddr, operation: Operation, model: &str, expected_ms: u64) -> Order {
    let kind = match operation {
        Operation::Load => OrderKind::Fetch,
        Operation::Unload => OrderKind::Unload,
    };
    Order {
        backend: "llm".into(),
        instance: INSTANCE.into(),
        address: address.to_string(),
        operation,
        model: model.into(),
        adapter: String::new(),
        kind,
        configured_ms: 300,
        expected_ms,
        report_only: false,
    }
}

fn lease_guard(lease_ms: u64) -> LeaseGuard {
    let lease = Arc::new(LeaseExpiry::default());
    lease.extend(clock::now() + lease_ms);
    LeaseGuard {
        lease_holder: "core-1".into(),
        fencing_token: 7,
        lease,
        revoked: Arc::default(),
        calls: LeaderCalls::default(),
    }
}

fn task(order: Order, guard: LeaseGuard) -> OrderTask {
    OrderTask { order, runtime: Arc::new(runtime()), guard, known: None, version: 1 }
}

async fn execute_order(order: Order) -> OrderOutcome {
    execute(ConnectionPool::default(), task(order, lease_guard(60_000))).await
}

fn loaded_models(end: &OrderOutcome) -> Vec<String> {
    let report = end.report.as_ref().expect("how the model server stands");
    report.models().map(|held| held.name).collect()
}

/// A report from before the unload counted as its end, and edges were notified that the model is resident.
#[tokio::test]
async fn a_report_from_before_an_unload_does_not_complete_it() {
    let server = DelayedReportServer::new(0, &["a", "b"]);
    let address = serve(server.clone()).await;
    tokio::time::sleep(Duration::from_millis(REPORT_AGE_MS + 50)).await;
    let end = execute_order(order(address, Operation::Unload, "a", 10)).await;
    assert_eq!(loaded_models(&end), ["b"]);
    assert!(!server.lock().unwrap().holds("a"));
}

#[tokio::test]
async fn a_load_is_complete_before_reports_show_it() {
    let server = DelayedReportServer::new(300, &["a"]);
    let address = serve(server.clone()).await;
    tokio::time::sleep(Duration::from_millis(REPORT_AGE_MS + 50)).await;
    let end = execute_order(order(address, Operation::Load, "b", 320)).await;
    assert_eq!(loaded_models(&end), ["a", "b"]);
    assert!(end.took_ms.is_some(), "by the same order given again");
    assert_eq!(end.report.map(|report| report.sequence), Some(1), "what the next order is based on");
}

/// A repeated order named no revision. A late one, after another leader's order, would have
/// filled the model server.
#[tokio::test]
async fn a_repeated_order_names_the_revision_after_the_first() {
    let server = DelayedReportServer::new(300, &["a"]);
    let address = serve(server.clone()).await;
    execute_order(order(address, Operation::Load, "b", 100)).await;
    let orders = server.lock().unwrap().orders.clone();
    let revisions: Vec<&Value> = orders.iter().map(|order| &order["if_revision"]).collect();
    assert!(revisions.len() > 1, "it was given again");
    assert!(revisions[1..].iter().all(|revision| **revision == json!(1)), "{revisions:?}");
}

#[tokio::test]
async fn an_order_without_effect_keeps_the_revision() {
    let server = DelayedReportServer::new(0, &["a"]);
    let address = serve(server.clone()).await;
    let end = execute_order(order(address, Operation::Load, "a", 10)).await;
    assert_eq!(end.report.map(|report| report.sequence), Some(0));
}

/// An order that never reached its model server blocked all others there for twenty seconds.
#[tokio::test]
async fn an_order_that_no_report_shows_times_out() {
    let server = DelayedReportServer::new(0, &["a"]);
    let address = serve(server.clone()).await;
    server.lock().unwrap().lost_orders = 1;
    let begun = clock::now();
    let end = execute_order(order(address, Operation::Load, "b", 100)).await;
    assert_eq!(loaded_models(&end), ["a"]);
    let took = clock::now() - begun;
    assert!((1_500..8_000).contains(&took), "{took}");
}

/// Guards against orders that are dropped in silence.
#[tokio::test]
async fn an_order_that_is_not_sent_names_its_cause() {
    let dropped = async |models: &[&str], operation: Operation, wanted: &str| {
        let server = DelayedReportServer::new(0, models);
        let address = serve(server.clone()).await;
        let end = execute_order(order(address, operation, wanted, 10)).await;
        assert_eq!(server.lock().unwrap().orders.is_empty(), end.dropped.is_some());
        end.dropped
    };
    let unknown_size = LoadObstacle::UnconfiguredModel("retired".into());
    assert_eq!(dropped(&["a", "retired"], Operation::Load, "b").await, Some(unknown_size.into()));
    let full = LoadObstacle::OutOfMemory { needed_mb: 70_000.0, free_mb: 10_000.0 };
    assert_eq!(dropped(&["a", "b"], Operation::Load, "c").await, Some(full.into()));
    assert_eq!(dropped(&["a"], Operation::Load, "d").await, Some(LoadObstacle::NotConfigured.into()));
    assert_eq!(dropped(&["a", "retired"], Operation::Unload, "retired").await, None);
    let nobody = execute_order(order("127.0.0.1:9".parse().unwrap(), Operation::Load, "a", 10)).await;
    assert_eq!(nobody.dropped, Some(OrderDrop::NoReport));
    let invalid = Order { address: "nowhere".into(), ..nobody.order };
    assert_eq!(execute_order(invalid).await.dropped, Some(OrderDrop::InvalidAddress));
}

/// Guards against a leader that hands over while an order of its own may still arrive.
#[tokio::test]
async fn an_order_without_an_answer_may_arrive_until_the_kernel_gives_up() {
    let server = DelayedReportServer::new(0, &["a"]);
    let address = serve(server.clone()).await;
    let (answered, unanswered) = (lease_guard(60_000), lease_guard(60_000));
    let load = |guard: &LeaseGuard| task(order(address, Operation::Load, "b", 100), guard.clone());
    server.lock().unwrap().lost_orders = 1;
    let begun = clock::now();
    execute(ConnectionPool::default(), load(&unanswered)).await;
    let max_delivery_ms = MAX_DELIVERY.as_millis() as u64;
    assert!(!unanswered.calls.are_settled(begun + max_delivery_ms - 1));
    assert!(unanswered.calls.are_settled(clock::now() + max_delivery_ms));
    execute(ConnectionPool::default(), load(&answered)).await;
    assert!(answered.calls.are_settled(begun));
}

/// A leader whose lease has expired, or that handed over, sends no order and no repeat.
#[tokio::test]
async fn no_order_is_sent_without_a_valid_lease() {
    let server = DelayedReportServer::new(300, &["a"]);
    let address = serve(server.clone()).await;
    let over = task(order(address, Operation::Load, "b", 20), lease_guard(0));
    execute(ConnectionPool::default(), over).await;
    assert_eq!(server.lock().unwrap().orders.len(), 0);
    let handed_over = lease_guard(60_000);
    let revoked = handed_over.revoked.clone();
    let task = task(order(address, Operation::Load, "b", 150), handed_over);
    let carried_out = tokio::spawn(execute(ConnectionPool::default(), task));
    tokio::time::sleep(Duration::from_millis(60)).await;
    revoked.store(true, std::sync::atomic::Ordering::Release);
    carried_out.await.expect("it ends");
    assert_eq!(server.lock().unwrap().orders.len(), 1, "no repeat after the handover");
}
