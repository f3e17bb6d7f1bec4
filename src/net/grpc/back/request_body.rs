//! Sends the body of a call's request to a node, as it arrives from the client and as the node reads.

use super::{Call, StreamPermit};
use crate::attempt_end::AttemptEnd;
use crate::core::AnswerBinder;
use crate::replay_buffer::{BodyEnd, Next};
use bytes::Bytes;
use h2::SendStream;
use std::future::{pending, poll_fn};

/// Sends the request's body as it arrives from the client. Returns only if the attempt cannot go on; in all
/// other cases the node's response tells how the attempt ended.
pub(super) async fn send_body(
    call: &Call,
    binder: &AnswerBinder,
    permit: &StreamPermit,
    mut request_body: SendStream<Bytes>,
) -> AttemptEnd {
    let (attempt, mut sent) = (binder.attempt(), 0);
    loop {
        match call.next(attempt, sent).await {
            Next::Piece(piece) => {
                let last = call.complete_with(attempt, sent + 1);
                if !send_piece(permit, &mut request_body, piece, last).await {
                    return pending().await;
                }
                sent += 1;
                call.sent(attempt, sent);
                if last {
                    return hold_open(request_body).await;
                }
            }
            Next::End(BodyEnd::Complete) => {
                let _ = request_body.send_data(Bytes::new(), true); // the response tells of a broken stream
                return hold_open(request_body).await;
            }
            Next::Bind => {
                if !binder.bind().await {
                    return AttemptEnd::CalledOff;
                }
                call.bind(attempt, sent);
            }
            Next::End(BodyEnd::Reset) => return AttemptEnd::CalledOff,
            // The call is bound to another attempt, and the pieces that this attempt would send first were
            // dropped.
            Next::Lost => return AttemptEnd::NotStarted,
            Next::Wait => {}
        }
    }
}

/// Keeps the stream until the attempt ends: h2 resets a stream that is dropped.
pub(super) async fn hold_open(_request_body: SendStream<Bytes>) -> AttemptEnd {
    pending().await
}

/// Counts a stream as blocked until it is dropped: the stream waits for the node to read.
pub(super) struct BlockedStream<'a>(&'a StreamPermit);

impl<'a> BlockedStream<'a> {
    pub(super) fn new(permit: &'a StreamPermit) -> BlockedStream<'a> {
        permit.pool.with(|pool, state| state.channels.stream_blocked(pool.now(), permit.id));
        BlockedStream(permit)
    }
}

impl Drop for BlockedStream<'_> {
    fn drop(&mut self) {
        self.0.pool.with(|_, state| state.channels.stream_unblocked(self.0.id));
    }
}

/// Sends one piece of the body; `last` ends the stream with it. Returns false if the stream is closed.
pub(super) async fn send_piece(
    permit: &StreamPermit,
    request_body: &mut SendStream<Bytes>,
    mut piece: Bytes,
    last: bool,
) -> bool {
    while !piece.is_empty() {
        request_body.reserve_capacity(piece.len());
        let mut capacity = request_body.capacity();
        if capacity == 0 {
            let _blocked = BlockedStream::new(permit);
            capacity = match poll_fn(|cx| request_body.poll_capacity(cx)).await {
                Some(Ok(capacity)) => capacity,
                _ => return false,
            };
        }
        let part = piece.split_to(capacity.min(piece.len()));
        if request_body.send_data(part, last && piece.is_empty()).is_err() {
            return false;
        }
    }
    true
}
