//! One attempt of a request: waits for a model server, sends the request and classifies the answer.

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
    /// The model server answered; the stream's or body's bytes follow.
    Answered(Box<Exchange>, Ticket),
    /// The edge refuses the request: the reason, and the time after which to retry, milliseconds.
    Refused(ResultCode, u64),
    /// It did not run: the model server said so, with this answer, or never received it.
    NotRun(Option<Answer>),
    /// The connection broke; it may have run.
    Broken,
    /// No answer by the deadline; it may have run.
    TimedOut,
}

/// Whether a further attempt is allowed; a request that was never sent spends no retry budget.
pub(super) fn may_send_again(shared: &Shared, client_request: &ClientRequest) -> bool {
    let now = clock::now();
    client_request.has_attempts()
        && (client_request.attempts == 0 || shared.deciding().budget.try_spend(now, &client_request.backend))
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
            tracing::debug!(id, ?name, ?code, retry_after, is_retry = client_request.is_retry, "refused");
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
            tracing::debug!(%error, instance, "attempt broken off");
            ticket.end(AttemptOutcome::Failed);
            client_request.record_step(shared, Step::Broken);
            client_request.attempted.insert(instance);
            client_request.attempts += 1;
            AttemptEnd::Broken
        }
    }
}

/// Classifies the head of a model server's answer.
async fn classify(
    shared: &Arc<Shared>,
    client_request: &mut ClientRequest,
    instance: Instance,
    exchange: Exchange,
    mut ticket: Ticket,
) -> AttemptEnd {
    client_request.attempts += 1;
    let headers = exchange.response.headers();
    shared.deciding().dispatcher.response_started(
        clock::now(),
        ticket.id(),
        exchange.response.status().is_success(),
    );
    observe_load(shared, &instance, headers);
    let echoes_id = headers.get(REQUEST_ID) == client_request.headers.get(REQUEST_ID);
    // An answer without a length ends with its connection. If it is buffered, a reset shows that it is incomplete; for a
    // stream an early end could not be told from a complete one.
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
            // It may hold the model, in another version.
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
        // 421 says which model server this is, which is of no use to the client.
        return AttemptEnd::NotRun(answer.filter(|_| !missing));
    }
    client_request.record_step(shared, Step::Answered { status: status.as_u16() });
    if status.is_success() {
        shared.startup.reach(Milestone::Answered);
    }
    AttemptEnd::Answered(Box::new(exchange), ticket)
}

fn observe_load(shared: &Arc<Shared>, instance: &str, headers: &HeaderMap) {
    let Some(load) = text(headers, &INSTANCE_LOAD) else { return };
    let mut numbers = load.split(',').map(|number| number.trim().parse::<u32>());
    if let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) {
        shared.deciding().dispatcher.observe_load(clock::now(), instance, running, waiting);
    }
}
