//! Calls to the platform that are the duty of one head at a time.

use super::orders::Authority;
use crate::clock;
use crate::net::client::ConnectionPool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_WITHIN: Duration = Duration::from_millis(2_500);
/// A call without a clear answer is made again after this.
const RETRY_AFTER: Duration = Duration::from_millis(700);
const MOST_TRIES: u32 = 6;

/// Reports a window's usage until it is taken. Returns whether it was.
pub async fn report_usage(
    pool: ConnectionPool,
    platform: SocketAddr,
    window: u64,
    counts: BTreeMap<String, u64>,
    authority: Authority,
) -> bool {
    let body = serde_json::json!({ "window_id": window, "counts": counts }).to_string();
    for _ in 0..MOST_TRIES {
        // Looked at right before each call: the lease may have ended meanwhile.
        if clock::now() >= authority.until {
            return false;
        }
        let Some(request) = request("/usage", platform, &authority, body.clone()) else { return false };
        match pool.call(platform, request, CALL_WITHIN).await {
            Some((200..=299, _)) => return true,
            Some((400..=428, _)) => return false,
            Some(_) | None => tokio::time::sleep(RETRY_AFTER).await,
        }
    }
    false
}

fn request(
    path: &str,
    platform: SocketAddr,
    authority: &Authority,
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
