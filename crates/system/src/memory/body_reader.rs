//! Reads bodies that clients and operators send into leased memory.

use super::arrivals::{ArrivalGuard, Arrivals, BodySize};
use super::held_body::{BodyBuffer, HeldBody};
use super::plan;
use super::share::{MemoryShare, ShareExhausted};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Bodies up to this length have a share of their own, which longer ones cannot exhaust.
pub const SMALL_BODY_BYTES: usize = 64 * 1_024;
/// What is read and thrown away of a refused body at most, ...
const MAX_DISCARDED_BYTES: usize = 8 * 1_024 * 1_024;
/// ... and for how long, so that a client which sends all of it before it reads gets the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyFault {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// It was not complete in time.
    #[error("the body was not complete in time")]
    Late,
    /// It did not move while others needed its memory.
    #[error("the body stalled while memory was short")]
    Stalled,
    /// Its connection or its framing broke.
    #[error("the body broke off")]
    Broken,
    /// Its share of the memory is exhausted.
    #[error("the memory for bodies is exhausted")]
    NoMemory,
}

/// The memory for bodies that are read whole.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    /// For bodies up to [`SMALL_BODY_BYTES`], and the beginnings of those that announce no length.
    pub small: MemoryShare,
    /// For longer ones.
    pub large: MemoryShare,
    /// The bodies that are arriving.
    pub arrivals: Arrivals,
}

/// The limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Its longest length, bytes.
    pub bytes: usize,
    /// The time within which it has to be complete.
    pub timeout: Duration,
}

impl BodyMemory {
    /// Creates the memory for bodies with these limits of its shares, in bytes.
    pub fn new(small: usize, large: usize) -> BodyMemory {
        BodyMemory {
            small: plan::share("small_bodies", small),
            large: plan::share("large_bodies", large),
            arrivals: Arrivals::default(),
        }
    }

    fn share(&self, size: BodySize) -> &MemoryShare {
        match size {
            BodySize::Small => &self.small,
            BodySize::Large => &self.large,
        }
    }

    /// Reads a body to its end. Where it is refused, a part of what still comes is read and thrown away.
    ///
    /// # Errors
    ///
    /// The body is too long, late or broken, or memory is short.
    pub async fn read<B>(&self, mut body: B, limits: BodyLimits) -> Result<HeldBody, BodyFault>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Send,
    {
        if body.is_end_stream() {
            return Ok(HeldBody::default());
        }
        let read = self.collect(&mut body, limits).await;
        if matches!(read, Err(BodyFault::TooLong | BodyFault::NoMemory)) {
            tokio::spawn(discard(body));
        }
        read
    }

    async fn collect<B>(&self, body: &mut B, limits: BodyLimits) -> Result<HeldBody, BodyFault>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let announced = body.size_hint().exact();
        if announced.is_some_and(|length| length > limits.bytes as u64) {
            return Err(BodyFault::TooLong);
        }
        let mut arriving = ArrivingBody {
            memory: self,
            guard: self.arrivals.begin(),
            buffer: BodyBuffer::new(announced.map(|length| length as usize)),
            announced: announced.map(|length| length as usize),
            limit: limits.bytes,
        };
        let end = Instant::now() + limits.timeout;
        loop {
            let frame = tokio::select! {
                biased;
                () = arriving.guard.evicted() => {
                    self.share(arriving.size()).count_refusal();
                    return Err(BodyFault::Stalled);
                }
                frame = timeout_at(end, body.frame()) => frame.map_err(|_| BodyFault::Late)?,
            };
            let Some(frame) = frame else { return Ok(arriving.buffer.finish()) };
            let frame = frame.map_err(|_| BodyFault::Broken)?;
            if let Ok(data) = frame.into_data() {
                arriving.push(data).await?;
            }
        }
    }
}

/// A body of which a part has arrived.
struct ArrivingBody<'a> {
    memory: &'a BodyMemory,
    guard: ArrivalGuard,
    buffer: BodyBuffer,
    announced: Option<usize>,
    limit: usize,
}

impl ArrivingBody<'_> {
    fn size(&self) -> BodySize {
        match self.announced.unwrap_or(self.buffer.length()) > SMALL_BODY_BYTES {
            true => BodySize::Large,
            false => BodySize::Small,
        }
    }

    async fn push(&mut self, mut data: Bytes) -> Result<(), BodyFault> {
        if self.buffer.length() + data.len() > self.limit {
            return Err(BodyFault::TooLong);
        }
        loop {
            let size = self.size();
            let share = self.memory.share(size);
            match self.buffer.push(&mut data, share) {
                Ok(true) => self.guard.moved(size),
                Ok(false) => {}
                Err(ShareExhausted) => {
                    if !self.guard.make_room(size, share, self.buffer.next_block_bytes()).await {
                        share.count_refusal();
                        return Err(BodyFault::NoMemory);
                    }
                    continue;
                }
            }
            return Ok(());
        }
    }
}

/// Reads what comes of a refused body, and throws it away.
pub async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    let end = Instant::now() + DISCARD_TIMEOUT;
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        let Ok(Some(Ok(frame))) = timeout_at(end, body.frame()).await else { return };
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}
