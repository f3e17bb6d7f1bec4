//! State that the task of a client's call shares with the attempts of the call. Only the call's task
//! communicates with the client, and only an attempt communicates with its node.

use crate::config::grpc::Route;
use crate::net::inbound::Presence;
use crate::net::incoming_body::IncomingBody;
use bytes::Bytes;
use hyper::Uri;
use hyper::header::HeaderMap;
use pathbank_memory::share::MemoryShare;
use std::ops::Deref;
use std::sync::{Mutex, PoisonError};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// A part of the response. Only the attempt that is bound to the call sends these to the call's task.
#[derive(Debug)]
pub enum ResponsePart {
    /// The initial metadata.
    Headers(HeaderMap),
    /// Bytes of response messages.
    Data(Bytes),
    /// The node's trailers, which end the response.
    Trailers(HeaderMap),
}

/// A client's call: the request, and where its response goes.
pub struct Call {
    /// The request's URI.
    pub uri: Uri,
    /// The request's metadata, as received.
    pub metadata: HeaderMap,
    /// The route that matches the URI's path.
    pub route: Route,
    /// Cancelled when the call's task ends: no one waits for a response any more.
    pub cancelled: CancellationToken,
    /// Whether the client's connection is still open.
    pub client: Presence,
    /// Carries the response from the bound attempt to the call's task.
    pub response: mpsc::Sender<ResponsePart>,
    body: IncomingBody,
    /// The status of the latest attempt that failed with one.
    failure_status: Mutex<Option<u32>>,
}

impl Call {
    /// Creates a call that keeps up to `hold` bytes of its request for further attempts; they count against
    /// `memory`.
    pub fn new(
        uri: Uri,
        metadata: HeaderMap,
        route: Route,
        hold: usize,
        memory: MemoryShare,
        response: mpsc::Sender<ResponsePart>,
        client: Presence,
    ) -> Call {
        Call {
            uri,
            metadata,
            route,
            cancelled: CancellationToken::new(),
            client,
            response,
            body: IncomingBody::new(hold, memory),
            failure_status: Mutex::default(),
        }
    }

    /// Returns the status of the latest attempt that failed with one.
    pub fn failure_status(&self) -> Option<u32> {
        *self.failure_status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the status of a failed attempt; `None` leaves an earlier one in place.
    pub fn record_failure_status(&self, code: Option<u32>) {
        let mut status = self.failure_status.lock().unwrap_or_else(PoisonError::into_inner);
        *status = code.or(*status);
    }
}

impl Deref for Call {
    type Target = IncomingBody;

    fn deref(&self) -> &IncomingBody {
        &self.body
    }
}
