//! Calls to the platform that exactly one core makes at a time: usage reports and the number of model servers.

use super::lease::LeaseGuard;
use crate::memory::held_body::HeldBody;
use crate::net::client::ConnectionPool;
use bytes::Bytes;
use hyper::Request;
use pathbank_control::autoscaling::ScaleOrder;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Between attempts of a call without a clear answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(700);
const MAX_ATTEMPTS: u32 = 6;

/// Whether the platform accepted what it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformOutcome {
    /// The platform confirmed it.
    Accepted,
    /// The platform rejected it or gave no clear answer, or the lease has expired.
    Unconfirmed,
}

impl PlatformOutcome {
    /// Whether the platform confirmed it.
    pub fn is_accepted(self) -> bool {
        self == PlatformOutcome::Accepted
    }
}

/// Reports a window's usage, counts of requests by tenant, with retries.
pub async fn report_usage(
    pool: ConnectionPool,
    platform: SocketAddr,
    window: u64,
    counts: BTreeMap<String, u64>,
    guard: LeaseGuard,
) -> PlatformOutcome {
    let body = serde_json::json!({ "window_id": window, "counts": counts }).to_string();
    for _ in 0..MAX_ATTEMPTS {
        match call(&pool, platform, "/usage", &guard, &body).await {
            CallReply::Accepted => return PlatformOutcome::Accepted,
            CallReply::Rejected | CallReply::LeaseExpired => return PlatformOutcome::Unconfirmed,
            CallReply::Unknown => tokio::time::sleep(RETRY_BACKOFF).await,
        }
    }
    PlatformOutcome::Unconfirmed
}

/// Orders how many model servers of a backend run in a zone. One attempt: the number may be another one by the
/// time of a retry.
pub async fn order_servers(
    pool: ConnectionPool,
    platform: SocketAddr,
    order: &ScaleOrder,
    guard: LeaseGuard,
) -> PlatformOutcome {
    let body = serde_json::json!({
        "backend": order.backend,
        "zone": order.zone,
        "desired_count": order.desired_count,
    });
    match call(&pool, platform, "/scale", &guard, &body.to_string()).await {
        CallReply::Accepted => PlatformOutcome::Accepted,
        CallReply::Rejected | CallReply::LeaseExpired | CallReply::Unknown => PlatformOutcome::Unconfirmed,
    }
}

/// What is known of one call to the platform.
enum CallReply {
    Accepted,
    /// The same call would be rejected again.
    Rejected,
    /// It was not made.
    LeaseExpired,
    /// It may have been accepted.
    Unknown,
}

async fn call(
    pool: &ConnectionPool,
    platform: SocketAddr,
    path: &str,
    guard: &LeaseGuard,
    body: &str,
) -> CallReply {
    if !guard.is_valid() {
        return CallReply::LeaseExpired;
    }
    let Some(request) = request(path, platform, guard, body.to_owned()) else {
        return CallReply::Rejected;
    };
    // A late answer to an earlier call must not be taken for this one's, which nothing in it would show.
    match guard.call(pool, platform, request, CALL_TIMEOUT).await {
        Some((200..=299, _)) => CallReply::Accepted,
        Some((400..=428, _)) => CallReply::Rejected,
        Some(_) | None => CallReply::Unknown,
    }
}

fn request(path: &str, platform: SocketAddr, guard: &LeaseGuard, body: String) -> Option<Request<HeldBody>> {
    Request::post(path)
        .header("host", platform.to_string())
        .header("content-type", "application/json")
        .header("x-pathbank-lease-holder", &guard.lease_holder)
        .header("x-pathbank-fencing-token", guard.fencing_token.to_string())
        .body(HeldBody::from(Bytes::from(body)))
        .ok()
}
