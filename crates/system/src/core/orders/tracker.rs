//! Tracks one order from its sending to its known end.

use super::call::{self, OrderReply};
use super::task::OrderOutcome;
use crate::clock;
use crate::core::lease::LeaseGuard;
use crate::core::model_server_json::ReportJson;
use crate::net::client::ConnectionPool;
use pathbank_control::order::Order;
use pathbank_control::order_durations;
use pathbank_control::order_progress::{self, ModelServerContents, Progress};
use std::net::SocketAddr;
use std::time::Duration;

/// A report lags behind the model server: one that is asked for after this shows the start of an order.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Interval between reports once an order takes longer than expected.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Before that, the order is repeated up to so many times: unlike a report, its answer is current.
const MAX_REPEATS: u32 = 3;
/// The wait before a repeat, as a part of the time that the order has taken so far.
const REPEAT_BACKOFF_FACTOR: f64 = 0.1;
const MIN_REPEAT_BACKOFF: Duration = Duration::from_millis(15);
/// An unanswered order that no report shows after this was not accepted.
const ACCEPTANCE_TIMEOUT_MS: u64 = 2_500;
/// Counted from the expected end; then the end of the order stays unknown.
const COMPLETION_TIMEOUT_MS: u64 = 20_000;

/// Whether an order is known to have been accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acceptance {
    /// The model server said so.
    Confirmed,
    /// No clear answer came: it may have been.
    Unknown,
}

/// One order at one model server.
pub struct OrderTracker {
    pub pool: ConnectionPool,
    pub address: SocketAddr,
    pub order: Order,
    pub guard: LeaseGuard,
    /// The contents that the order is based on.
    pub before: ModelServerContents,
    /// The version of the weights that a load brings in.
    pub version: u64,
    /// When the order was sent first, milliseconds of the steady clock.
    pub sent_at: u64,
}

impl OrderTracker {
    /// Sends the order and tracks it to its end.
    pub async fn run(self) -> OrderOutcome {
        match self.send(self.before.sequence).await {
            OrderReply::Accepted => self.await_completion().await,
            OrderReply::Done => self.unchanged(),
            OrderReply::Rejected(status) => {
                tracing::warn!(instance = self.order.instance, status, "order rejected");
                OrderOutcome::unknown(self.order)
            }
            // Another order is in progress, or was accepted since: the contents are not what was assumed.
            OrderReply::Conflict => {
                tokio::time::sleep(REPORT_DELAY).await;
                let report = self.fetch_report().await;
                OrderOutcome { order: self.order, report, took_ms: None, dropped: None }
            }
            OrderReply::Unknown => self.poll_reports(Acceptance::Unknown).await,
        }
    }

    async fn send(&self, revision: u64) -> OrderReply {
        call::send_order(&self.pool, self.address, &self.order, Some(revision), &self.guard).await
    }

    async fn fetch_report(&self) -> Option<ReportJson> {
        call::fetch_report(&self.pool, self.address, &self.order.instance).await
    }

    /// The model server was already as ordered: it counts no order.
    fn unchanged(self) -> OrderOutcome {
        let contents = ModelServerContents { sequence: self.before.sequence, ..self.contents_after() };
        OrderOutcome::reported(self.order, ReportJson::of(contents))
    }

    fn contents_after(&self) -> ModelServerContents {
        order_progress::contents_after(&self.order, self.before.clone(), self.version)
    }

    /// Waits for the expected end, then repeats the order: the answer tells whether it is done. A repeat names
    /// the revision after this order, so that a late one cannot undo what a later leader ordered.
    async fn await_completion(self) -> OrderOutcome {
        tokio::time::sleep(Duration::from_millis(self.order.expected_ms)).await;
        if self.order.report_only {
            return self.poll_reports(Acceptance::Confirmed).await;
        }
        let accepted_revision = self.before.sequence + 1;
        for repeat in 0..MAX_REPEATS {
            let elapsed_ms = self.elapsed_ms();
            match self.send(accepted_revision).await {
                OrderReply::Done => return self.completed(repeat, elapsed_ms),
                OrderReply::Conflict | OrderReply::Accepted => {}
                OrderReply::Rejected(_) | OrderReply::Unknown => break,
            }
            tokio::time::sleep(repeat_backoff(self.elapsed_ms())).await;
        }
        self.poll_reports(Acceptance::Confirmed).await
    }

    fn completed(self, repeat: u32, elapsed_ms: u64) -> OrderOutcome {
        // Done at the first repeat: it may have been done for a while.
        let took_ms =
            if repeat == 0 { order_durations::duration_at_first_check(elapsed_ms) } else { elapsed_ms };
        let report = ReportJson::of(self.contents_after());
        OrderOutcome { report: Some(report), order: self.order, took_ms: Some(took_ms), dropped: None }
    }

    fn elapsed_ms(&self) -> u64 {
        clock::now().saturating_sub(self.sent_at)
    }

    /// Polls reports until one shows the end of the order, or that the model server never got it.
    async fn poll_reports(self, acceptance: Acceptance) -> OrderOutcome {
        let give_up_at = self.sent_at + self.order.expected_ms + COMPLETION_TIMEOUT_MS;
        while clock::now() < give_up_at {
            let Some(report) = self.fetch_report().await else { break };
            match order_progress::progress(&self.order, self.before.sequence, &report.contents()) {
                Progress::Done | Progress::Failed => return OrderOutcome::reported(self.order, report),
                Progress::Stale if acceptance == Acceptance::Unknown && self.has_timed_out() => {
                    return OrderOutcome::reported(self.order, report);
                }
                Progress::Stale | Progress::InProgress => tokio::time::sleep(REPORT_POLL_INTERVAL).await,
            }
        }
        OrderOutcome::unknown(self.order)
    }

    fn has_timed_out(&self) -> bool {
        clock::now() >= self.sent_at + ACCEPTANCE_TIMEOUT_MS
    }
}

fn repeat_backoff(elapsed_ms: u64) -> Duration {
    Duration::from_millis(elapsed_ms).mul_f64(REPEAT_BACKOFF_FACTOR).max(MIN_REPEAT_BACKOFF)
}
