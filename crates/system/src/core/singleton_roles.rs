//! Calls to the platform that are the duty of one head at a time.

use super::orders::LeaseGuard;
use crate::net::client::ConnectionPool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pathbank_control::autoscaling::ScaleOrder;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A call without a clear answer is made again after this.
const RETRY_BACKOFF: Duration = Duration::from_millis(700);
const MAX_ATTEMPTS: u32 = 6;

/// Reports a window's usage until it is taken. Returns whether it was.
pub async fn report_usage(
    pool: ConnectionPool,
    platform: SocketAddr,
    window: u64,
    counts: BTreeMap<String, u64>,
    authority: LeaseGuard,
) -> bool {
    let body = serde_json::json!({ "window_id": window, "counts": counts }).to_string();
    for _ in 0..MAX_ATTEMPTS {
        match call(&pool, platform, "/usage", &authority, &body).await {
            CallEnd::Taken => return true,
            CallEnd::TurnedAway | CallEnd::LeaseOver => return false,
            CallEnd::Unclear => tokio::time::sleep(RETRY_BACKOFF).await,
        }
    }
    false
}

/// Orders how many model servers of a service run in a zone. Returns whether the platform took it; who is
/// asked again later may want another number by then, so it is tried once.
pub async fn order_servers(
    pool: ConnectionPool,
    platform: SocketAddr,
    order: &ScaleOrder,
    authority: LeaseGuard,
) -> bool {
    let body = serde_json::json!({
        "backend": order.backend,
        "zone": order.zone,
        "desired_count": order.desired_count,
    });
    matches!(call(&pool, platform, "/scale", &authority, &body.to_string()).await, CallEnd::Taken)
}

/// How a call to the platform ended.
enum CallEnd {
    Taken,
    /// The same call would be turned away again.
    TurnedAway,
    /// It was not made: the lease is over.
    LeaseOver,
    /// It may have been taken.
    Unclear,
}

async fn call(
    pool: &ConnectionPool,
    platform: SocketAddr,
    path: &str,
    authority: &LeaseGuard,
    body: &str,
) -> CallEnd {
    if !authority.is_valid() {
        return CallEnd::LeaseOver;
    }
    let Some(request) = request(path, platform, authority, body.to_owned()) else {
        return CallEnd::TurnedAway;
    };
    match pool.call_if(platform, request, CALL_TIMEOUT, || authority.is_valid()).await {
        Some((200..=299, _)) => CallEnd::Taken,
        Some((400..=428, _)) => CallEnd::TurnedAway,
        Some(_) | None => CallEnd::Unclear,
    }
}

fn request(
    path: &str,
    platform: SocketAddr,
    authority: &LeaseGuard,
    body: String,
) -> Option<Request<Full<Bytes>>> {
    Request::post(path)
        .header("host", platform.to_string())
        .header("content-type", "application/json")
        .header("x-pathbank-lease-holder", &authority.lease_holder)
        .header("x-pathbank-fencing-token", authority.fencing_token.to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()
}
