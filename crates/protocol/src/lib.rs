//! Typed messages between the processes of the system, and their encoding.
//!
//! A frame is a length of four bytes (little endian) and a Cap'n Proto message of [`message::Frame`].
//!
//! * [`message`]: the messages as plain types, one module for each subject.
//! * [`codec`]: complete messages to bytes and back; compression of long ones.
//! * [`framing`]: the length in front of each message.
//!
//! `schema/internal.capnp` is the schema. Processes of two successive releases talk to each other: ordinals stay, new
//! fields and kinds are added behind the others. `tests/fixtures` has each kind as an earlier release wrote it.

pub mod codec;
mod compression;
mod decode_error;
pub mod framing;
pub mod message;
mod read;
mod write;

/// Made from `schema/internal.capnp` by `capnp compile -orust`; committed, so that the build needs no generator.
#[allow(missing_docs, clippy::all, clippy::unwrap_used, clippy::too_many_lines, dead_code, unused_qualifications, mismatched_lifetime_syntaxes)]
#[rustfmt::skip]
#[path = "generated/internal_capnp.rs"]
pub(crate) mod internal_capnp;
