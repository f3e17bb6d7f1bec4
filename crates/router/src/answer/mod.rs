//! What a model server's answer is. Its bytes come from outside: it may cut an answer short, send bytes that are
//! no answer, send more after a complete one, or break off within an event (PROTOCOL.md, "Bricks").
//!
//! * [`head`]: whether a head is that of an answer to the request, and how its body is to be read.
//! * [`event_stream`]: what a piece of a stream is, and when a stream is complete.
//! * [`load`]: the load that it states.
//!
//! Any other body is complete when its length, its last chunk or, without either, the close of its connection
//! says so, and goes to the client after that.

pub mod event_stream;
mod fields;
pub mod head;
pub mod load;

use event_stream::StreamError;
pub use fields::whole_number;
use head::HeadError;
use thiserror::Error;

/// Why what a model server sent is no answer, or no part of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// The head is none of an answer to the request.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The bytes are no piece of its stream.
    #[error(transparent)]
    Stream(#[from] StreamError),
}

impl AnswerError {
    /// The error's name in metrics and for operators.
    pub fn name(self) -> &'static str {
        match self {
            AnswerError::Head(error) => error.name(),
            AnswerError::Stream(error) => error.name(),
        }
    }
}
