//! Reads clients' bodies piece by piece for as long as they make progress. A slow client is distinguished
//! from a stalled one by its rate of bytes, not by the total time.

use axum::body::{Body, HttpBody};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::{Duration, Instant, timeout};

/// The longest time between two pieces of a body.
const MAX_SILENCE: Duration = Duration::from_millis(2_200);
/// The waiting time that does not count towards the minimum rate.
const RATE_GRACE: Duration = Duration::from_millis(2_500);
/// The minimum average rate after [`RATE_GRACE`]. Clients send at least 64 kB a second; a body at less than a
/// third of that occupies its slot without use.
const MIN_BYTES_PER_SECOND: f64 = 21_000.0;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It stalled, or arrives too slowly.
    Slow,
    /// It was cut off, or its framing is invalid.
    Broken,
    /// It is longer than the limit.
    TooLong,
}

/// The time spent waiting for a body and the bytes received, from which its average rate follows.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    waited: Duration,
    bytes: u64,
}

impl Pace {
    fn too_slow(&self) -> bool {
        let due = self.waited.saturating_sub(RATE_GRACE).as_secs_f64() * MIN_BYTES_PER_SECOND;
        due > self.bytes as f64
    }
}

/// A body that is being received.
pub struct BodyReader {
    body: Body,
    pace: Pace,
    most: u64,
}

impl BodyReader {
    /// Starts to receive a body of at most `most` bytes.
    pub fn new(body: Body, most: u64) -> BodyReader {
        BodyReader { body, pace: Pace::default(), most }
    }

    /// Returns the length that the head declares, in bytes; `None` if the body is chunked.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next piece; `None` at the end of the body. Trailers are skipped: nodes need none.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            let begun = Instant::now();
            let frame = timeout(MAX_SILENCE, self.body.frame()).await.map_err(|_| Fault::Slow)?;
            self.pace.waited += begun.elapsed();
            let Some(frame) = frame else { return Ok(None) };
            let Ok(data) = frame.map_err(|_| Fault::Broken)?.into_data() else { continue };
            self.pace.bytes += data.len() as u64;
            if self.pace.bytes > self.most {
                return Err(Fault::TooLong);
            }
            if self.pace.too_slow() {
                return Err(Fault::Slow);
            }
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body.
    pub async fn whole(&mut self) -> Result<Bytes, Fault> {
        let Some(first) = self.next().await? else { return Ok(Bytes::new()) };
        // Pieces are copied: many short ones would cost more than their bytes, and one keeps the read buffer from which it
        // came.
        let Some(second) = self.next().await? else { return Ok(Bytes::copy_from_slice(&first)) };
        let rest = self.length().unwrap_or_default() as usize;
        let mut whole = BytesMut::with_capacity(first.len() + second.len() + rest);
        whole.extend_from_slice(&first);
        whole.extend_from_slice(&second);
        while let Some(piece) = self.next().await? {
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}

#[cfg(test)]
mod tests;
