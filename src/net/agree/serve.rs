//! A voter's HTTP server: routes of axum, with limits on the number of connections, header time and body size.

use super::held_calls;
use super::voter_service::{VoterError, VoterService};
use super::wire::{self, CLUSTER_HEADER, MAX_MESSAGE_BYTES, MessageEnvelope, RecordsRequest, StateRequest};
use crate::agree::Message;
use crate::agree::document::Edit;
use crate::agree::voter::Voters;
use crate::event;
use crate::net::socket;
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
use socket2::SockRef;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{Duration, sleep};

/// Timeout for reading a request's head, and for idle connections.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval between retries after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A connection on which nothing of an answer is taken for so long breaks.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RECORDS_PER_ANSWER: usize = 1_000;

type Voter = State<Arc<VoterService>>;

/// Accepts connections until the listener is dropped with the runtime.
pub(super) async fn serve(listener: TcpListener, voter: Arc<VoterService>) {
    socket::limit_unread(&listener);
    let slots = Arc::new(Semaphore::new(voter.max_connections()));
    let router = router(voter);
    loop {
        // Further connections wait in the kernel's backlog.
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true); // a failure only delays answers
                // An answer that nobody takes ends with its connection.
                let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
                let service = TowerToHyperService::new(router.clone());
                tokio::spawn(async move {
                    let _slot = slot;
                    let mut http = hyper::server::conn::http1::Builder::new();
                    http.timer(TokioTimer::new());
                    http.header_read_timeout(REQUEST_HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
                    // Errors of a client's connection are ignored.
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Err(error) => {
                event!(ACCEPT_FAILED, problem:% = error);
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

fn router(voter: Arc<VoterService>) -> Router {
    Router::new()
        .route(wire::MESSAGE_PATH, post(step))
        .route(wire::RENEW_PATH, post(renew))
        .route(wire::PROPOSE_PATH, post(propose))
        .route(wire::VOTERS_PATH, post(change_membership))
        .route(wire::STATUS_PATH, post(status))
        .route(wire::STATE_PATH, post(state))
        .route(wire::RECORDS_PATH, post(records))
        .route(wire::VERIFY_PATH, post(verify))
        .layer(from_fn_with_state(voter.memory().clone(), held_calls::hold))
        .layer(from_fn_with_state(voter.clone(), reject_other_clusters))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(voter)
}

/// Rejects calls from processes of another cluster.
async fn reject_other_clusters(State(voter): Voter, request: Request, next: Next) -> Response {
    let named = request.headers().get(CLUSTER_HEADER).and_then(|name| name.to_str().ok());
    match named == Some(voter.cluster()) {
        true => next.run(request).await,
        false => (StatusCode::MISDIRECTED_REQUEST, "this voter is of another cluster").into_response(),
    }
}

fn read<T: DeserializeOwned>(body: &Bytes) -> Result<T, (StatusCode, String)> {
    serde_json::from_slice(body).map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))
}

fn answer<T: Serialize>(answer: Result<T, VoterError>) -> Response {
    let status = match &answer {
        Ok(_) => StatusCode::OK,
        Err(VoterError::Unavailable) => StatusCode::SERVICE_UNAVAILABLE,
        Err(VoterError::Database(_)) => StatusCode::INTERNAL_SERVER_ERROR,
    };
    match answer {
        Ok(answer) => axum::Json(answer).into_response(),
        Err(error) => (status, error.to_string()).into_response(),
    }
}

async fn step(State(voter): Voter, body: Bytes) -> Response {
    match read::<MessageEnvelope>(&body) {
        Ok(envelope) => answer(voter.step(envelope)),
        Err(rejection) => rejection.into_response(),
    }
}

async fn renew(State(voter): Voter, body: Bytes) -> Response {
    match read::<Message>(&body) {
        Ok(request) => answer(voter.renew(request)),
        Err(rejection) => rejection.into_response(),
    }
}

async fn propose(State(voter): Voter, body: Bytes) -> Response {
    match read::<Edit>(&body) {
        Ok(edit) => answer(voter.propose(edit).await),
        Err(rejection) => rejection.into_response(),
    }
}

async fn change_membership(State(voter): Voter, body: Bytes) -> Response {
    match read::<Voters>(&body) {
        Ok(voters) => answer(voter.change_membership(voters).await),
        Err(rejection) => rejection.into_response(),
    }
}

async fn status(State(voter): Voter) -> Response {
    answer(voter.status())
}

async fn state(State(voter): Voter, body: Bytes) -> Response {
    match read::<StateRequest>(&body) {
        Ok(request) => answer(voter.state(request.linearizable).await),
        Err(rejection) => rejection.into_response(),
    }
}

async fn records(State(voter): Voter, body: Bytes) -> Response {
    match read::<RecordsRequest>(&body) {
        Ok(request) => answer(voter.records(request.after, request.most.min(MAX_RECORDS_PER_ANSWER)).await),
        Err(rejection) => rejection.into_response(),
    }
}

async fn verify(State(voter): Voter) -> Response {
    answer(voter.verify().await)
}
