//! The edge's status server: readiness for the platform; startup, estimates and requests' steps for
//! operators.

use super::shared::Shared;
use crate::clock;
use crate::net::server::{self, CloseSignal, ConnectionTable, Limits, RouterService};
use pathbank_router::request_log::{Step, TimedStep};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use viz::{IntoResponse, RequestExt, Response, ResponseExt, Router, StatusCode};

/// The longest request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// A caller sends the head of its next request within this.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The fraction of file descriptors that callers may use.
const DESCRIPTOR_FRACTION: f64 = 0.05;

/// Serves the readiness listener until the edge ends.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, closing: CloseSignal) {
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        connections: (shared.settings.max_descriptors as f64 * DESCRIPTOR_FRACTION) as usize,
        memory: shared.memory.status_connections.clone(),
    };
    let memory = shared.memory.clone();
    let (for_readiness, for_startup, for_estimates) = (shared.clone(), shared.clone(), shared.clone());
    let for_answer_errors = shared.clone();
    let router = Router::new()
        .get("/api/readyz", move |_request: viz::Request| {
            let ready = for_readiness.is_ready();
            async move {
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                Ok::<_, viz::Error>(status)
            }
        })
        .get("/api/startup", move |_request: viz::Request| {
            let milestones = for_startup.startup.to_json();
            async move { Ok::<_, viz::Error>(Response::json(milestones)?) }
        })
        .get("/api/estimates", move |_request: viz::Request| {
            let estimates = estimates(&for_estimates);
            async move { Ok::<_, viz::Error>(Response::json(estimates)?) }
        })
        .get("/api/answer-errors", move |_request: viz::Request| {
            let counts = for_answer_errors.answer_errors.counts();
            async move { Ok::<_, viz::Error>(Response::json(counts)?) }
        })
        .get("/api/memory", move |_request: viz::Request| {
            let usage = memory.usage();
            async move { Ok::<_, viz::Error>(Response::json(usage)?) }
        })
        .get("/api/requests/:id", move |request: viz::Request| {
            let answer = explain(&shared, &request);
            async move { Ok::<_, viz::Error>(answer) }
        });
    let service = RouterService::from(router);
    server::serve(listener, move |_| service.clone(), limits, closing, ConnectionTable::default()).await;
}

/// The estimates by which this edge chooses a model server.
fn estimates(shared: &Shared) -> Value {
    let now = clock::now();
    let decisions = shared.decisions();
    let engines = decisions.dispatcher.engines();
    let reading: BTreeMap<&String, f64> = engines.prefill_rates(now).collect();
    let answers: BTreeMap<&String, f64> = engines.slot_times(now).collect();
    let servers: BTreeMap<&String, f64> = engines.server_factors(now).collect();
    json!({
        "read_tokens_per_ms": reading,
        "answer_ms": answers,
        "brick_reading_factor": servers,
    })
}

/// Answers with the recorded steps of a request, or with 404 if this edge has none.
fn explain(shared: &Shared, request: &viz::Request) -> Response {
    let id: String = request.param("id").unwrap_or_default();
    let decisions = shared.decisions();
    let Some(steps) = decisions.request_log.steps(&id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let steps: Vec<Value> = steps.iter().map(step_json).collect();
    Response::json(json!({ "request": id, "head": shared.settings.node_name, "steps": steps }))
        .unwrap_or_else(IntoResponse::into_response)
}

fn step_json(timed: &TimedStep) -> Value {
    let (name, detail) = match &timed.step {
        Step::Accepted { route, backend, model } => {
            ("accepted", json!({ "route": route, "backend": backend, "model": model }))
        }
        Step::Refused { code } => ("refused", json!({ "result_code": code.number(), "result": code.name() })),
        Step::Sent { instance } => ("sent", json!({ "instance": instance })),
        Step::NotRun => ("not_run", json!({})),
        Step::Broken => ("broken", json!({})),
        Step::TimedOut => ("timed_out", json!({})),
        Step::Answered { status } => ("answered", json!({ "status": status })),
        Step::Malformed { error } => ("malformed", json!({ "error": error.name() })),
        Step::Resuming => ("resuming", json!({})),
        Step::Complete => ("complete", json!({})),
        Step::Abandoned => ("abandoned", json!({})),
    };
    json!({ "after_ms": timed.after_ms, "step": name, "detail": detail })
}
