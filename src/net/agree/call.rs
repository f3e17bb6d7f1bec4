//! The client of the voters' protocol: JSON over HTTP/1.1, with limits on the size and duration of a call.

use super::wire::{CLUSTER_HEADER, MAX_MESSAGE_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::{Duration, timeout};

const MAX_IDLE_CONNECTIONS_PER_VOTER: usize = 1;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The answer did not arrive in time.
    #[error("no answer in time")]
    TimedOut,
    /// Neither the log nor the configuration has an address of the voter.
    #[error("it has no address")]
    NoAddress,
    /// The address and path do not make a valid request.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection failed.
    #[error("{0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    /// The answer's body was cut off or is too large.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The voter refused the call: the status and text of its answer.
    #[error("{0}: {1}")]
    Refused(StatusCode, String),
    /// The request could not be written as JSON, or the answer not parsed.
    #[error("an unreadable answer: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Calls voters of one cluster and reuses their connections.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    cluster: String,
}

impl Caller {
    /// Creates a client for the voters of a cluster.
    pub fn new(cluster: &str) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_VOTER)
            .build(connector);
        Caller { client, cluster: cluster.to_string() }
    }

    /// Sends `request` to `path` and returns the answer, within `max_time`. Dropping the future cancels the call and
    /// closes its connection.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        request: &impl Serialize,
        max_time: Duration,
    ) -> Result<A, CallError> {
        let body = serde_json::to_vec(request)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(CLUSTER_HEADER, &self.cluster)
            .body(Full::new(Bytes::from(body)))?;
        timeout(max_time, self.send(request)).await.unwrap_or(Err(CallError::TimedOut))
    }

    async fn send<A: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> Result<A, CallError> {
        let answer = self.client.request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_MESSAGE_BYTES).collect().await;
        let body = body.map_err(CallError::Body)?.to_bytes();
        match status {
            StatusCode::OK => Ok(serde_json::from_slice(&body)?),
            _ => Err(CallError::Refused(status, String::from_utf8_lossy(&body).into_owned())),
        }
    }
}
