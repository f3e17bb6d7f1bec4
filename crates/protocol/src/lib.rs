//! Typed messages between the processes of the system, and their encoding.
//!
//! A frame is a length of four bytes (little endian) and a Cap'n Proto message of [`message::Frame`].

pub mod codec;
mod compression;
pub mod framing;
pub mod message;
mod read;
mod write;

/// Made from `schema/internal.capnp` by `capnp compile -orust`; committed, so that the build needs no generator.
#[allow(missing_docs, clippy::all, dead_code, unused_qualifications, mismatched_lifetime_syntaxes)]
#[rustfmt::skip]
#[path = "generated/internal_capnp.rs"]
pub(crate) mod internal_capnp;
