//! One call between its client's task, which alone speaks to the client, and its attempts, each of which alone
//! speaks to its node. What passes between them is here.

use crate::config::grpc::Route;
use crate::net::inbound::Presence;
use crate::net::source::Source;
use bytes::Bytes;
use hyper::Uri;
use hyper::header::HeaderMap;
use std::ops::Deref;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

/// What the one attempt that is bound to the call passes to the client.
#[derive(Debug)]
pub enum Down {
    Headers(HeaderMap),
    Data(Bytes),
    /// The node's own last word.
    Trailers(HeaderMap),
}

pub struct Call {
    pub uri: Uri,
    pub metadata: HeaderMap,
    pub route: Route,
    /// Cancelled when nobody waits for the call any more.
    pub left: CancellationToken,
    pub client: Presence,
    pub down: mpsc::Sender<Down>,
    source: Source,
    /// The last status by which a node said that it failed.
    status: Mutex<Option<u32>>,
}

impl Call {
    pub fn new(
        uri: Uri,
        metadata: HeaderMap,
        route: Route,
        hold: usize,
        memory: Arc<Semaphore>,
        down: mpsc::Sender<Down>,
        client: Presence,
    ) -> Call {
        Call {
            uri,
            metadata,
            route,
            left: CancellationToken::new(),
            client,
            down,
            source: Source::new(hold, memory),
            status: Mutex::default(),
        }
    }

    pub fn status(&self) -> Option<u32> {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn note_status(&self, code: Option<u32>) {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        *status = code.or(*status);
    }
}

impl Deref for Call {
    type Target = Source;

    fn deref(&self) -> &Source {
        &self.source
    }
}
