//! One attempt of a request: waits for a model server, sends the request to it and classifies the answer.

use super::admission;
use super::answer::{Answer, RETRY_SOON_MS};
use super::client_request::ClientRequest;
use super::headers::{INSTANCE_LOAD, text};
use super::shared::{Decision, Shared};
use super::ticket::Ticket;
use super::upstream_answer::{self, ReadAnswer, answer_head};
use crate::clock;
use crate::net::client::{Exchange, ExchangeError};
use crate::startup::Milestone;
use hyper::header::HeaderMap;
use pathbank_control::result_code::ResultCode;
use pathbank_router::answer::head::AnswerKind;
use pathbank_router::answer::load::InstanceLoad;
use pathbank_router::model_servers::{AttemptOutcome, Instance};
use pathbank_router::request_log::Step;
use std::sync::Arc;

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The model server sent the head of an answer whose body is a stream.
    Streams(Box<Exchange>, Ticket),
    /// The model server sent the head of another answer. The body has not been read.
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
    if client_request.cover_exchange().is_err() {
        shared.memory.requests.count_refusal();
        ticket.end(AttemptOutcome::Abandoned);
        client_request.record_step(shared, Step::Refused { code: ResultCode::OutOfMemory });
        return AttemptEnd::Refused(ResultCode::OutOfMemory, RETRY_SOON_MS);
    }
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
    let head = answer_head(&exchange.response);
    let kind = match head.check(client_request.sent_request()) {
        Ok(kind) => kind,
        Err(error) => {
            client_request.record_answer_error(shared, &instance, error.into());
            ticket.end(AttemptOutcome::Failed);
            client_request.attempted.insert(instance);
            return AttemptEnd::Broken;
        }
    };
    let (status, is_success) = (head.status, head.is_success());
    shared.decisions().dispatcher.response_started(clock::now(), ticket.id(), is_success);
    observe_load(shared, &instance, exchange.response.headers());
    if matches!(kind, AnswerKind::Misdirected | AnswerKind::NotRun) {
        return not_run(shared, client_request, instance, exchange, ticket, kind).await;
    }
    client_request.record_step(shared, Step::Answered { status });
    if is_success {
        shared.startup.reach(Milestone::Answered);
    }
    match kind {
        AnswerKind::Stream => AttemptEnd::Streams(Box::new(exchange), ticket),
        _ => AttemptEnd::Answered(Box::new(exchange), ticket),
    }
}

/// Ends an attempt whose model server says that the request did not run.
async fn not_run(
    shared: &Arc<Shared>,
    client_request: &mut ClientRequest,
    instance: Instance,
    exchange: Exchange,
    mut ticket: Ticket,
    kind: AnswerKind,
) -> AttemptEnd {
    let misdirected = kind == AnswerKind::Misdirected;
    ticket.end(match (misdirected, client_request.version) {
        (false, _) => AttemptOutcome::Full,
        (true, None) => AttemptOutcome::Misdirected,
        // The model server may hold the model in another version.
        (true, Some(_)) => AttemptOutcome::Abandoned,
    });
    let (id, name) = client_request.log_fields();
    tracing::debug!(id, ?name, instance, ?kind, "attempt not run");
    client_request.record_step(shared, Step::NotRun);
    client_request.attempted.insert(instance);
    let whole =
        tokio::time::timeout(clock::until(client_request.deadline), upstream_answer::read(shared, exchange));
    let answer = whole.await.ok().and_then(Result::ok).and_then(ReadAnswer::complete);
    // A 421 only tells which instance answered, which is of no use to the client.
    AttemptEnd::NotRun(answer.filter(|_| !misdirected))
}

/// Passes the load that a model server states in its answer to the dispatcher.
fn observe_load(shared: &Arc<Shared>, instance: &str, headers: &HeaderMap) {
    let Some(load) = text(headers, &INSTANCE_LOAD).and_then(InstanceLoad::parse) else { return };
    let InstanceLoad { running, waiting, .. } = load;
    shared.decisions().dispatcher.observe_load(clock::now(), instance, running, waiting);
}
