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
