//! Reads a request's body before the request is submitted: whole, or as much of it as may be held.

use crate::memory::ProxyMemory;
use crate::net::back::{MAX_HELD_BODY_BYTES, Payload};
use crate::net::body::{BodyReader, Fault};
use crate::net::inbound::Presence;
use crate::net::incoming_body::IncomingBody;
use crate::replay_buffer::BodyEnd;
use pathbank_memory::share::{MemoryLease, MemoryShare, ShareExhausted};
use std::sync::Arc;

/// The most bytes held before forwarding of a body that exceeds 64 KiB or has no declared length.
const MAX_BUFFERED_UPLOAD_BYTES: usize = 1024 * 1024;
/// What the kernel and the read buffer hold of a body while it arrives.
const ARRIVING_BODY_BYTES: usize = 32 * 1024;
/// The kernel holds so many bytes of every client's connection: a shorter body needs no more.
const SHORT_BODY_BYTES: usize = 4 * 1024;
/// What an upload holds that is passed on while it arrives: what the kernel holds unread, read buffers, and what waits
/// for its node.
const STREAMED_UPLOAD_BYTES: usize = 56 * 1024;

/// A body of which as much has arrived as may be held.
pub(super) struct ReceivedBody {
    /// What an attempt sends.
    pub(super) payload: Payload,
    /// The rest of the body, if it has not ended, with the memory for passing it on.
    pub(super) rest: Option<UnfinishedUpload>,
}

/// An upload that is passed on while it arrives.
pub(super) struct UnfinishedUpload {
    pub(super) source: Arc<IncomingBody>,
    _memory: MemoryLease,
}

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyRefusal {
    /// It did not come as it should.
    Fault(Fault),
    /// There is no memory for it.
    NoMemory,
}

impl From<Fault> for BodyRefusal {
    fn from(fault: Fault) -> BodyRefusal {
        BodyRefusal::Fault(fault)
    }
}

/// Reads a body, whole if its declared length is at most 64 KiB.
pub(super) async fn receive(
    memory: &ProxyMemory,
    client: &Presence,
    reading: &mut BodyReader,
) -> Result<ReceivedBody, BodyRefusal> {
    match reading.length() {
        Some(length) if length <= MAX_HELD_BODY_BYTES as u64 => {
            let payload = receive_whole(&memory.bodies, client, reading, length as usize).await?;
            Ok(ReceivedBody { payload, rest: None })
        }
        length => receive_upload(memory, client, reading, length).await,
    }
}

async fn receive_whole(
    bodies: &MemoryShare,
    client: &Presence,
    reading: &mut BodyReader,
    length: usize,
) -> Result<Payload, BodyRefusal> {
    let mut lease = body_lease(bodies, length).map_err(|_| no_memory(bodies))?;
    let is_wide = lease.bytes() > length;
    if is_wide {
        client.widen(true);
    }
    let body = reading.whole().await?;
    if is_wide {
        client.widen(false);
        lease.shrink(length);
    }
    Ok(Payload::Held { body, _memory: Some(lease) })
}

/// Takes the memory for a body. Where there is enough, it covers that more of the body is under way.
fn body_lease(bodies: &MemoryShare, length: usize) -> Result<MemoryLease, ShareExhausted> {
    let wide = (length > SHORT_BODY_BYTES).then(|| bodies.lease(length + ARRIVING_BODY_BYTES).ok());
    wide.flatten().map_or_else(|| bodies.lease(length), Ok)
}

/// Reads as much of an upload as may be held. It is forwarded only once it is complete or can no longer be held, so that
/// a slow client occupies neither a token nor a connection to a node.
async fn receive_upload(
    memory: &ProxyMemory,
    client: &Presence,
    reading: &mut BodyReader,
    length: Option<u64>,
) -> Result<ReceivedBody, BodyRefusal> {
    let source = Arc::new(IncomingBody::new(MAX_BUFFERED_UPLOAD_BYTES, memory.uploads.clone()));
    let mut lease = memory.streams.lease(STREAMED_UPLOAD_BYTES).ok();
    client.widen(lease.is_some());
    read_while_room(reading, &source).await?;
    let payload = Payload::Coming { source: source.clone(), length };
    if source.is_over() {
        client.widen(false);
        return Ok(ReceivedBody { payload, rest: None });
    }
    lease = lease.or_else(|| memory.streams.lease(STREAMED_UPLOAD_BYTES).ok());
    let lease = lease.ok_or_else(|| no_memory(&memory.streams))?;
    Ok(ReceivedBody { payload, rest: Some(UnfinishedUpload { source, _memory: lease }) })
}

fn no_memory(share: &MemoryShare) -> BodyRefusal {
    share.count_refusal();
    BodyRefusal::NoMemory
}

/// Reads pieces of the body into `source` while `source` has room.
pub(super) async fn read_while_room(reading: &mut BodyReader, source: &IncomingBody) -> Result<(), Fault> {
    while source.has_room() {
        match reading.next().await? {
            Some(piece) => drop(source.push(piece, source.is_bound())),
            None => source.end(BodyEnd::Complete),
        }
    }
    Ok(())
}
