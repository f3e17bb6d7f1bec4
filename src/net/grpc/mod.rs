//! The gRPC front: HTTP/2 connections to clients and nodes, served by h2. `crate::grpc` makes the decisions.

pub mod back;
mod call;
pub mod front;
mod observed_io;

use crate::net::back::{LOAD, METER, NOT_PROCESSED};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The request metadata that limits the duration of a call.
pub const TIMEOUT: &str = "grpc-timeout";
/// The trailer that holds the status code of a call.
pub const STATUS: &str = "grpc-status";
/// The trailer that holds the message of a status.
pub const MESSAGE: &str = "grpc-message";
/// The trailer that holds an encoded `google.rpc.Status`.
pub const DETAILS: &str = "grpc-status-details-bin";
/// The trailer that tells a client when it may retry, in milliseconds; -1 forbids retries.
pub const PUSHBACK: &str = "grpc-retry-pushback-ms";
/// The request metadata that counts the earlier attempts of a call.
pub const PREVIOUS_ATTEMPTS: &str = "grpc-previous-rpc-attempts";
/// The content type of gRPC requests and responses.
pub const CONTENT_TYPE: &str = "application/grpc";

/// Headers that concern a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "transfer-encoding",
    "upgrade",
];
/// Headers that a node sends to the proxy; clients do not receive them.
const NODE_TO_PROXY: [&str; 3] = [LOAD, METER, NOT_PROCESSED];

/// Returns the metadata to forward, in order and with binary values: all but hop-by-hop headers and
/// `excluded`.
fn forwarded(metadata: &HeaderMap, excluded: &[&str]) -> HeaderMap {
    let is_excluded = |name: &HeaderName| {
        let name = name.as_str();
        HOP_BY_HOP.contains(&name) || excluded.contains(&name)
    };
    let kept = metadata.iter().filter(|(name, _)| !is_excluded(name));
    let kept: Vec<(HeaderName, HeaderValue)> =
        kept.map(|(name, value)| (name.clone(), value.clone())).collect();
    let mut forwarded = HeaderMap::with_capacity(kept.len() + 2);
    for (name, value) in kept {
        forwarded.append(name, value);
    }
    forwarded
}
