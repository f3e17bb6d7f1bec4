//! A voter's ear: axum's routes over connections that are bounded in number, time and bytes.

use super::office::Office;
use super::wire::{self, CLUSTER_HEADER, MAX_MESSAGE_BYTES, MessageEnvelope, RecordsRequest, StateRequest};
use crate::agree::Message;
use crate::agree::document::Edit;
use crate::agree::voter::Voters;
use crate::event;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{Duration, sleep};

/// A caller has so long for a request's head; idle connections go after it too.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// A system that gives nothing but errors is not asked without end.
const AGAIN: Duration = Duration::from_millis(100);
/// Records in one answer.
const MOST_RECORDS: usize = 1_000;

type Desk = State<Arc<Office>>;

pub async fn serve(listener: TcpListener, office: Arc<Office>) {
    let callers = office.config().seat.as_ref().map_or(0, |seat| seat.callers);
    let (places, router) = (Arc::new(Semaphore::new(callers)), router(office));
    loop {
        // Beyond the bound the kernel holds them back.
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true); // it only answers later without
                let service = TowerToHyperService::new(router.clone());
                tokio::spawn(async move {
                    let _place = place;
                    let mut http = hyper::server::conn::http1::Builder::new();
                    http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIME);
                    // How a caller's connection ends tells nothing.
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Err(problem) => {
                event!(ACCEPT_FAILED, problem:%);
                sleep(AGAIN).await;
            }
        }
    }
}

fn router(office: Arc<Office>) -> Router {
    Router::new()
        .route(wire::MESSAGE_PATH, post(step))
        .route(wire::RENEW_PATH, post(renew))
        .route(wire::PROPOSE_PATH, post(propose))
        .route(wire::VOTERS_PATH, post(voters))
        .route(wire::STATUS_PATH, post(status))
        .route(wire::STATE_PATH, post(state))
        .route(wire::RECORDS_PATH, post(records))
        .route(wire::VERIFY_PATH, post(verify))
        .layer(from_fn_with_state(office.clone(), of_this_cluster))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(office)
}

/// Heads of another fleet that came here by accident are told so, and nothing that they say is heard.
async fn of_this_cluster(State(office): Desk, request: Request, next: Next) -> Response {
    let named = request.headers().get(CLUSTER_HEADER).and_then(|name| name.to_str().ok());
    match named == Some(&office.config().cluster) {
        true => next.run(request).await,
        false => (StatusCode::MISDIRECTED_REQUEST, "this voter is of another cluster").into_response(),
    }
}

fn read<T: DeserializeOwned>(body: &Bytes) -> Result<T, (StatusCode, String)> {
    serde_json::from_slice(body).map_err(|problem| (StatusCode::BAD_REQUEST, problem.to_string()))
}

/// `None`: the voter's disk cannot be used.
fn tell<T: Serialize>(told: Option<T>) -> Response {
    match told {
        Some(told) => axum::Json(told).into_response(),
        None => (StatusCode::SERVICE_UNAVAILABLE, "the voter's disk cannot be used").into_response(),
    }
}

async fn step(State(office): Desk, body: Bytes) -> Response {
    read::<MessageEnvelope>(&body).map_or_else(|bad| bad.into_response(), |said| tell(office.step(said)))
}

async fn renew(State(office): Desk, body: Bytes) -> Response {
    read::<Message>(&body).map_or_else(|bad| bad.into_response(), |message| tell(office.renew(message)))
}

async fn propose(State(office): Desk, body: Bytes) -> Response {
    match read::<Edit>(&body) {
        Ok(edit) => tell(office.propose(edit).await),
        Err(bad) => bad.into_response(),
    }
}

async fn voters(State(office): Desk, body: Bytes) -> Response {
    match read::<Voters>(&body) {
        Ok(voters) => tell(office.change(voters).await),
        Err(bad) => bad.into_response(),
    }
}

async fn status(State(office): Desk) -> Response {
    tell(office.status())
}

async fn state(State(office): Desk, body: Bytes) -> Response {
    match read::<StateRequest>(&body) {
        Ok(asked) => tell(office.state(asked.linearizable).await),
        Err(bad) => bad.into_response(),
    }
}

async fn records(State(office): Desk, body: Bytes) -> Response {
    match read::<RecordsRequest>(&body) {
        Ok(asked) => from_disk(office.records(asked.after, asked.most.min(MOST_RECORDS)).await),
        Err(bad) => bad.into_response(),
    }
}

async fn verify(State(office): Desk) -> Response {
    from_disk(office.verify().await)
}

fn from_disk<T: Serialize>(told: Option<Result<T, super::disk::DiskError>>) -> Response {
    match told.transpose() {
        Ok(told) => tell(told),
        Err(problem) => (StatusCode::INTERNAL_SERVER_ERROR, problem.to_string()).into_response(),
    }
}
