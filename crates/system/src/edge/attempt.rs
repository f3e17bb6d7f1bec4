//! One attempt of a request: waits for a model server, sends the request to it and classifies the answer.

use super::admission;
use super::answer::{Answer, RETRY_SOON_MS};
use super::client_request::ClientRequest;
use super::headers::{INSTANCE_LOAD, NOT_EXECUTED, REQUEST_ID, SIGNATURE, text};
use super::shared::{Decision, Shared};
use super::ticket::Ticket;
use super::upstream_answer;
use crate::clock;
use crate::net::client::{Exchange, ExchangeError};
use crate::startup::Milestone;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use pathbank_control::configuration::RouteType;
use pathbank_control::result_code::ResultCode;
use pathbank_router::model_servers::{AttemptOutcome, Instance};
use pathbank_router::request_log::Step;
use std::sync::Arc;

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The model server sent the head of its answer. The body has not been read.
    Answered(Box<Exchange>, Ticket),
    /// The edge refuses the request: the reason, and after how many milliseconds the client may retry.
    Refused(ResultCode, u64),
    /// The request did not run: the model server said so in this answer, or, with `None`, did not receive the
    /// request.
    NotRun(Option<Answer>),
    /// The connection broke. The request may have run.
    Broken,
    /// The deadline passed without an answer. The request may have run.
    TimedOut,
}

/// Whether a further attempt is allowed. A retry spends from the retry budget; a request that no model server
/// has received yet does not.
pub(super) fn may_send_again(shared: &Shared, client_request: &ClientRequest) -> bool {
    let now = clock::now();
    client_request.has_attempts()
        && (client_request.attempts == 0 || shared.decisions().budget.try_spend(now, &client_request.backend))
}

/// Waits for the dispatcher's decision and sends the request to the chosen model server.
pub(super) async fn attempt(shared: &Arc<Shared>, client_request: &mut ClientRequest) -> AttemptEnd {
    let mut ticket = Ticket::new(shared.clone());
    let mut offer = client_request.offer(ticket.id());
    offer.granted = admission::wait_for_grant(shared, &offer).await;
    let granted = offer.granted.clone();
    let first = client_request.attempts == 0 && client_request.attempted.is_empty();
    let decided =
        tokio::time::timeout(clock::until(client_request.deadline), ticket.offer(offer, first)).await;
    let (instance, address) = match decided {
        Ok(Some(Decision::Send { instance, address })) => (instance, address),
        Ok(Some(Decision::Reject { code, retry_after })) => {
            let (id, name) = client_request.log_fields();
            tracing::debug!(id, ?name, ?code, retry_after, "refused");
            client_request.record_step(shared, Step::Refused { code });
            return AttemptEnd::Refused(code, retry_after);
        }
        Ok(None) | Err(_) => return AttemptEnd::Refused(ResultCode::Overloaded, RETRY_SOON_MS),
    };
    let Ok(address) = address.parse() else {
        ticket.end(AttemptOutcome::Failed);
        client_request.attempted.insert(instance);
        return AttemptEnd::NotRun(None);
    };
    let (id, name) = client_request.log_fields();
    let waited_ms = clock::now().saturating_sub(client_request.arrived());
    let by_grant = granted.as_ref() == Some(&instance);
    let attempts = client_request.attempts;
    tracing::debug!(id, ?name, instance, %address, attempts, waited_ms, by_grant, "attempt sent");
    client_request.record_step(shared, Step::Sent { instance: instance.clone() });
    shared.startup.reach(Milestone::Sent);
    let request = client_request.request(&instance);
    let exchange = shared.pool.exchange(address, request);
    let Ok(exchange) = tokio::time::timeout(clock::until(client_request.deadline), exchange).await else {
        ticket.end(AttemptOutcome::Failed);
        client_request.record_step(shared, Step::TimedOut);
        return AttemptEnd::TimedOut;
    };
    match exchange {
        Ok(exchange) => classify(shared, client_request, instance, exchange, ticket).await,
        Err(ExchangeError::NotSent(_)) => {
            ticket.end(AttemptOutcome::Failed);
            client_request.record_step(shared, Step::NotRun);
            client_request.attempted.insert(instance);
            AttemptEnd::NotRun(None)
        }
        Err(ExchangeError::Broken(error)) => {
            tracing::debug!(%error, instance, "connection broke during an attempt");
            ticket.end(AttemptOutcome::Failed);
            client_request.record_step(shared, Step::Broken);
            client_request.attempted.insert(instance);
            client_request.attempts += 1;
            AttemptEnd::Broken
        }
    }
}

/// Classifies a model server's answer by its head.
async fn classify(
    shared: &Arc<Shared>,
    client_request: &mut ClientRequest,
    instance: Instance,
    exchange: Exchange,
    mut ticket: Ticket,
) -> AttemptEnd {
    client_request.attempts += 1;
    let headers = exchange.response.headers();
    shared.decisions().dispatcher.response_started(
        clock::now(),
        ticket.id(),
        exchange.response.status().is_success(),
    );
    observe_load(shared, &instance, headers);
    let echoes_id = headers.get(REQUEST_ID) == client_request.headers.get(REQUEST_ID);
    // An answer without a length ends when its connection closes. In a buffered answer a reset shows that it
    // is incomplete; in a stream nothing would tell an early end from the proper one.
    let framed = headers.contains_key(hyper::header::CONTENT_LENGTH)
        || headers.contains_key(hyper::header::TRANSFER_ENCODING)
        || client_request.route.kind != RouteType::Streaming;
    let status = exchange.response.status();
    let not_run = headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if !echoes_id || !framed || status.is_success() && !headers.contains_key(SIGNATURE) {
        ticket.end(AttemptOutcome::Failed);
        client_request.record_step(shared, Step::Broken);
        client_request.attempted.insert(instance);
        return AttemptEnd::Broken;
    }
    if not_run {
        let missing = status == StatusCode::MISDIRECTED_REQUEST;
        ticket.end(match (missing, client_request.version) {
            (false, _) => AttemptOutcome::Full,
            (true, None) => AttemptOutcome::Misdirected,
            // The model server may hold the model in another version.
            (true, Some(_)) => AttemptOutcome::Abandoned,
        });
        let (id, name) = client_request.log_fields();
        tracing::debug!(id, ?name, instance, status = status.as_u16(), "attempt not run");
        client_request.record_step(shared, Step::NotRun);
        client_request.attempted.insert(instance);
        let whole = tokio::time::timeout(
            clock::until(client_request.deadline),
            upstream_answer::read_complete(shared, exchange),
        );
        let answer = whole.await.ok().and_then(Result::ok);
        // A 421 only tells which instance answered, which is of no use to the client.
        return AttemptEnd::NotRun(answer.filter(|_| !missing));
    }
    client_request.record_step(shared, Step::Answered { status: status.as_u16() });
    if status.is_success() {
        shared.startup.reach(Milestone::Answered);
    }
    AttemptEnd::Answered(Box::new(exchange), ticket)
}

/// Passes the load that a model server states in its answer to the dispatcher.
fn observe_load(shared: &Arc<Shared>, instance: &str, headers: &HeaderMap) {
    let Some(load) = text(headers, &INSTANCE_LOAD) else { return };
    let mut numbers = load.split(',').map(|number| number.trim().parse::<u32>());
    if let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) {
        shared.decisions().dispatcher.observe_load(clock::now(), instance, running, waiting);
    }
}
