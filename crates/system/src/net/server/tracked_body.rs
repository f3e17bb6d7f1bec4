//! The body of an answer, which tells its connection when it is written.

use super::connection::Connection;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The body of an answer on a [`Connection`].
pub struct TrackedBody<B> {
    body: B,
    connection: Arc<Connection>,
}

impl<B> TrackedBody<B> {
    pub(super) fn new(body: B, connection: Arc<Connection>) -> TrackedBody<B> {
        TrackedBody { body, connection }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.answered();
    }
}
