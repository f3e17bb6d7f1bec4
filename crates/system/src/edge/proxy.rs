//! Serves one client request: accepts it, makes attempts within the retry budget, and answers or forwards the
//! stream.

use super::answer::{self, Answer, RETRY_SOON_MS};
use super::attempt::{AttemptEnd, attempt, may_send_again};
use super::client_request::{ClientRequest, accept};
use super::long_answer::LongAnswer;
use super::relay::{self, Stream};
use super::shared::Shared;
use super::ticket::Ticket;
use super::upstream_answer::{self, ReadAnswer};
use crate::clock;
use crate::net::client::Exchange;
use hyper::Request;
use hyper::body::Incoming;
use pathbank_control::result_code::ResultCode;
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::request_log::Step;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Answers one client request. While the process is stopping, the answer closes the client's connection.
pub async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let answer = match accept(&shared, request).await {
        Ok(client_request) => {
            client_request.record_step(&shared, client_request.accepted());
            serve(shared.clone(), client_request).await
        }
        Err(answer) => answer,
    };
    match shared.stopping.load(Ordering::Relaxed) {
        true => answer::closing(answer),
        false => answer,
    }
}

async fn serve(shared: Arc<Shared>, mut client_request: ClientRequest) -> Answer {
    {
        let mut decisions = shared.decisions();
        decisions.budget.record_request(clock::now(), &client_request.backend);
    }
    loop {
        let (last_answer, code) = match attempt(&shared, &mut client_request).await {
            AttemptEnd::Streams(exchange, ticket) => {
                record_usage(&shared, &client_request);
                return relay::stream(Stream::new(shared, client_request, *exchange, ticket));
            }
            AttemptEnd::Answered(exchange, ticket) => {
                if exchange.response.status().is_success() {
                    record_usage(&shared, &client_request);
                }
                match finish(&shared, client_request, *exchange, ticket).await {
                    Ok(answer) => return answer,
                    Err((returned_request, code)) => {
                        client_request = returned_request;
                        if !client_request.is_idempotent() {
                            return answer::error(code);
                        }
                        (None, code)
                    }
                }
            }
            AttemptEnd::Refused(code, retry_after) => return answer::refusal(code, retry_after),
            AttemptEnd::NotRun(answer) => (answer, ResultCode::Overloaded),
            AttemptEnd::Broken if !client_request.is_idempotent() => {
                return answer::error(ResultCode::BrokenOff);
            }
            AttemptEnd::Broken => (None, ResultCode::BrokenOff),
            AttemptEnd::TimedOut => return answer::error(ResultCode::TimedOut),
        };
        if !may_send_again(&shared, &client_request) {
            return last_answer.unwrap_or_else(|| match code.status() {
                503 => answer::refusal(code, RETRY_SOON_MS),
                _ => answer::error(code),
            });
        }
    }
}

/// Counts a request that began to run for its tenant.
fn record_usage(shared: &Shared, client_request: &ClientRequest) {
    if let Some(tenant) = &client_request.tenant {
        shared.record_start(tenant);
    }
}

/// Turns a model server's answer into the client's. `Err`: the answer broke off or was late before anything
/// was sent to the client; returns the request for a further attempt.
async fn finish(
    shared: &Arc<Shared>,
    mut client_request: ClientRequest,
    exchange: Exchange,
    mut ticket: Ticket,
) -> Result<Answer, (ClientRequest, ResultCode)> {
    let read =
        tokio::time::timeout(clock::until(client_request.deadline), upstream_answer::read(shared, exchange))
            .await;
    match read {
        Ok(Ok(ReadAnswer::Long(start))) => {
            client_request.release_body();
            Ok(LongAnswer::new(shared.clone(), client_request, start, ticket).into_answer())
        }
        Ok(Ok(ReadAnswer::Complete(answer))) => {
            let is_server_error = answer.status().is_server_error();
            ticket.end(if is_server_error { AttemptOutcome::ServerError } else { AttemptOutcome::Answered });
            client_request.record_step(shared, Step::Complete);
            Ok(answer)
        }
        Ok(Err(_)) => {
            ticket.end(AttemptOutcome::Failed);
            client_request.record_step(shared, Step::Broken);
            Err((client_request, ResultCode::BrokenOff))
        }
        Err(_) => {
            ticket.end(AttemptOutcome::Failed);
            client_request.record_step(shared, Step::TimedOut);
            Err((client_request, ResultCode::TimedOut))
        }
    }
}
