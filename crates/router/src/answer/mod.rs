//! What a model server's answer is. Its bytes come from outside: it may cut an answer short, send bytes that are
//! no answer, send more after a complete one, or break off within an event (PROTOCOL.md, "Bricks").
//!
//! * [`event_stream`]: what a piece of a stream is, and when a stream is complete.

pub mod event_stream;
mod fields;
