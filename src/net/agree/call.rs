//! One call to a voter and its answer, over HTTP/1.1: JSON both ways, bounded in bytes and time.

use super::wire::{CLUSTER_HEADER, MAX_MESSAGE_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use tokio::time::{Duration, timeout};

/// Connections to one voter that are kept while nobody uses them.
const IDLE_EACH: usize = 1;

#[derive(Debug)]
pub enum CallError {
    TimedOut,
    Broke(String),
    /// The voter's own word, and its status.
    Refused(StatusCode, String),
    Unreadable(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::TimedOut => f.write_str("no answer in time"),
            CallError::Broke(problem) => f.write_str(problem),
            CallError::Refused(status, word) => write!(f, "{status}: {word}"),
            CallError::Unreadable(problem) => write!(f, "an unreadable answer: {problem}"),
        }
    }
}

impl std::error::Error for CallError {}

#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    cluster: String,
}

impl Caller {
    pub fn new(cluster: &str) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(IDLE_EACH).build(connector);
        Caller { client, cluster: cluster.to_string() }
    }

    /// Dropped before its end, the call and its connection are given up.
    pub async fn call<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        asked: &impl Serialize,
        within: Duration,
    ) -> Result<A, CallError> {
        let body = serde_json::to_vec(asked).map_err(|problem| CallError::Unreadable(problem.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(CLUSTER_HEADER, &self.cluster)
            .body(Full::new(Bytes::from(body)))
            .map_err(|problem| CallError::Broke(problem.to_string()))?;
        let answered = async {
            let answer = self
                .client
                .request(request)
                .await
                .map_err(|problem| CallError::Broke(problem.to_string()))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_MESSAGE_BYTES).collect().await;
            let body = body.map_err(|problem| CallError::Broke(problem.to_string()))?.to_bytes();
            match status {
                StatusCode::OK => serde_json::from_slice(&body)
                    .map_err(|problem| CallError::Unreadable(problem.to_string())),
                _ => Err(CallError::Refused(status, String::from_utf8_lossy(&body).into_owned())),
            }
        };
        timeout(within, answered).await.unwrap_or(Err(CallError::TimedOut))
    }
}
