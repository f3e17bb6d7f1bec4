//! One client request from its head to its answer's head: dispatch, and the tries at model servers.

use super::admission;
use super::answer::{self, Answer, AnswerBody};
use super::job::{INSTANCE_LOAD, Job, NOT_EXECUTED, REQUEST_ID, SIGNATURE, accept, end_to_end, text};
use super::relay::{self, Stream};
use super::shared::{Decision, Shared};
use super::ticket::Ticket;
use crate::clock;
use crate::net::client::{Exchange, ExchangeError};
use crate::startup::Milestone;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use pathbank_control::configuration::RouteType;
use pathbank_control::result_code::ResultCode;
use pathbank_router::model_servers::{AttemptOutcome, Instance};
use pathbank_router::request_log::Step;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// When to come back to an edge that has no configuration, or stops.
pub(super) const SOON_MS: u64 = 300;

/// Answers one request.
pub async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let mut answer = match accept(&shared, request).await {
        Ok(job) => {
            job.note(&shared, job.accepted());
            serve(shared.clone(), job).await
        }
        Err(answer) => answer,
    };
    if shared.stopping.load(Ordering::Relaxed) {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// How one try at a model server ended.
pub(super) enum Try {
    /// The model server answered; the stream's or body's bytes follow.
    Answered(Box<Exchange>, Ticket),
    /// The edge's own final answer: refused, without any model server.
    Refused(ResultCode, u64),
    /// The model server did not run it, and said so or never got it. Its own answer, if there is one.
    NotRun(Option<Answer>),
    /// It may have run.
    Broken,
    /// The time is up; it may have run.
    TimedOut,
}

async fn serve(shared: Arc<Shared>, mut job: Job) -> Answer {
    {
        let mut deciding = shared.deciding();
        deciding.budget.record_request(clock::now(), &job.backend);
    }
    loop {
        let (last_answer, code) = match attempt(&shared, &mut job).await {
            Try::Answered(exchange, ticket) => match finish(&shared, job, *exchange, ticket).await {
                Ok(answer) => return answer,
                Err((returned, code)) => {
                    job = returned;
                    if !job.repeatable() {
                        return answer::own(code);
                    }
                    (None, code)
                }
            },
            Try::Refused(code, retry_after) => return answer::refusal(code, retry_after),
            Try::NotRun(answer) => (answer, ResultCode::Overloaded),
            Try::Broken if !job.repeatable() => return answer::own(ResultCode::BrokenOff),
            Try::Broken => (None, ResultCode::BrokenOff),
            Try::TimedOut => return answer::own(ResultCode::TimedOut),
        };
        if !may_send_again(&shared, &job) {
            return last_answer.unwrap_or_else(|| match code.status() {
                503 => answer::refusal(code, SOON_MS),
                _ => answer::own(code),
            });
        }
    }
}

/// Whether the request may be sent once more; what was never sent draws on no budget.
pub(super) fn may_send_again(shared: &Shared, job: &Job) -> bool {
    let now = clock::now();
    job.has_attempts() && (job.sends == 0 || shared.deciding().budget.try_spend(now, &job.backend))
}

/// Waits for a model server and tries it.
pub(super) async fn attempt(shared: &Arc<Shared>, job: &mut Job) -> Try {
    let mut ticket = Ticket::new(shared.clone());
    let mut offer = job.offer(ticket.id());
    offer.granted = admission::wait_for_grant(shared, &offer).await;
    let granted = offer.granted.clone();
    let first = job.sends == 0 && job.tried.is_empty();
    let decided = tokio::time::timeout(clock::until(job.deadline), ticket.offer(offer, first)).await;
    let (instance, address) = match decided {
        Ok(Some(Decision::Send { instance, address })) => (instance, address),
        Ok(Some(Decision::Reject { code, retry_after })) => {
            let (id, name) = job.told();
            tracing::debug!(id, ?name, ?code, retry_after, returned = job.returned, "refused");
            job.note(shared, Step::Refused { code });
            return Try::Refused(code, retry_after);
        }
        Ok(None) | Err(_) => return Try::Refused(ResultCode::Overloaded, SOON_MS),
    };
    let Ok(address) = address.parse() else {
        ticket.end(AttemptOutcome::Failed);
        job.tried.insert(instance);
        return Try::NotRun(None);
    };
    let (id, name) = job.told();
    let waited_ms = clock::now().saturating_sub(job.arrived());
    let by_grant = granted.as_ref() == Some(&instance);
    tracing::debug!(id, ?name, instance, %address, sends = job.sends, waited_ms, by_grant, "sent to a model server");
    job.note(shared, Step::Sent { instance: instance.clone() });
    shared.startup.reach(Milestone::Sent);
    let request = job.request(&instance);
    let exchange = shared.pool.exchange(address, request);
    let exchange = match tokio::time::timeout(clock::until(job.deadline), exchange).await {
        Ok(exchange) => exchange,
        Err(_) => {
            ticket.end(AttemptOutcome::Failed);
            job.note(shared, Step::TimedOut);
            return Try::TimedOut;
        }
    };
    match exchange {
        Ok(exchange) => judge(shared, job, instance, exchange, ticket).await,
        Err(ExchangeError::NotSent(_)) => {
            ticket.end(AttemptOutcome::Failed);
            job.note(shared, Step::NotRun);
            job.tried.insert(instance);
            Try::NotRun(None)
        }
        Err(ExchangeError::Broken(error)) => {
            tracing::debug!(%error, instance, "model server broke off");
            ticket.end(AttemptOutcome::Failed);
            job.note(shared, Step::Broken);
            job.tried.insert(instance);
            job.sends += 1;
            Try::Broken
        }
    }
}

async fn judge(
    shared: &Arc<Shared>,
    job: &mut Job,
    instance: Instance,
    exchange: Exchange,
    mut ticket: Ticket,
) -> Try {
    job.sends += 1;
    let headers = exchange.response.headers();
    shared.deciding().dispatcher.response_started(
        clock::now(),
        ticket.id(),
        exchange.response.status().is_success(),
    );
    note_load(shared, &instance, headers);
    let own_id = headers.get(REQUEST_ID) == job.headers.get(REQUEST_ID);
    // An answer without a length ends with its connection. Read whole before it goes on, it is complete
    // unless that was reset; of a stream that broke off the same way nobody could tell.
    let framed = headers.contains_key(hyper::header::CONTENT_LENGTH)
        || headers.contains_key(hyper::header::TRANSFER_ENCODING)
        || job.route.kind != RouteType::Streaming;
    let status = exchange.response.status();
    let not_run = headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if !own_id || !framed || status.is_success() && !headers.contains_key(SIGNATURE) {
        ticket.end(AttemptOutcome::Failed);
        job.note(shared, Step::Broken);
        job.tried.insert(instance);
        return Try::Broken;
    }
    if not_run {
        let missing = status == StatusCode::MISDIRECTED_REQUEST;
        ticket.end(match (missing, job.version) {
            (false, _) => AttemptOutcome::Full,
            (true, None) => AttemptOutcome::Misdirected,
            // It may hold the model, in another version.
            (true, Some(_)) => AttemptOutcome::Abandoned,
        });
        let (id, name) = job.told();
        tracing::debug!(id, ?name, instance, status = status.as_u16(), "not run at its model server");
        job.note(shared, Step::NotRun);
        job.tried.insert(instance);
        let whole = tokio::time::timeout(clock::until(job.deadline), relay::whole(shared, exchange));
        let answer = whole.await.ok().and_then(Result::ok);
        // 421 says which model server this is, which is of no use to the client.
        return Try::NotRun(answer.filter(|_| !missing));
    }
    job.note(shared, Step::Answered { status: status.as_u16() });
    if status.is_success() {
        shared.startup.reach(Milestone::Answered);
    }
    Try::Answered(Box::new(exchange), ticket)
}

fn note_load(shared: &Arc<Shared>, instance: &str, headers: &HeaderMap) {
    let Some(load) = text(headers, &INSTANCE_LOAD) else { return };
    let mut figures = load.split(',').map(|figure| figure.trim().parse::<u32>());
    if let (Some(Ok(running)), Some(Ok(waiting))) = (figures.next(), figures.next()) {
        shared.deciding().dispatcher.observe_load(clock::now(), instance, running, waiting);
    }
}

/// The answer of a model server for the client. `Err`: it broke off before anything went to the client.
async fn finish(
    shared: &Arc<Shared>,
    job: Job,
    exchange: Exchange,
    mut ticket: Ticket,
) -> Result<Answer, (Job, ResultCode)> {
    if exchange.response.status().is_success()
        && let Some(tenant) = &job.tenant
    {
        shared.began(tenant);
    }
    if job.route.kind == RouteType::Streaming && exchange.response.status().is_success() {
        return Ok(relay::stream(Stream::new(shared.clone(), job, exchange, ticket)));
    }
    let whole = tokio::time::timeout(clock::until(job.deadline), relay::whole(shared, exchange)).await;
    match whole {
        Ok(Ok(answer)) => {
            let erred = answer.status().is_server_error();
            ticket.end(if erred { AttemptOutcome::ServerError } else { AttemptOutcome::Answered });
            job.note(shared, Step::Complete);
            Ok(answer)
        }
        Ok(Err(_)) => {
            ticket.end(AttemptOutcome::Failed);
            job.note(shared, Step::Broken);
            Err((job, ResultCode::BrokenOff))
        }
        Err(_) => {
            ticket.end(AttemptOutcome::Failed);
            job.note(shared, Step::TimedOut);
            Err((job, ResultCode::TimedOut))
        }
    }
}

/// An answer's head as the client gets it.
pub(super) fn head_for_client(response: &Response<Incoming>, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = response.status();
    *answer.headers_mut() = end_to_end(response.headers());
    answer.headers_mut().remove(NOT_EXECUTED);
    answer
}
