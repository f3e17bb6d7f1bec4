//! Clients' bodies as they come: read piece by piece for as long as they make progress. A slow client is told from one
//! that has stopped by its bytes, not by its total time.

use axum::body::{Body, HttpBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::{Duration, Instant, timeout};

/// No client is silent for longer in the middle of a body.
const SILENCE: Duration = Duration::from_millis(2_200);
/// A body comes at 64 kB a second at least; one at a third of that on the whole, beyond its first moments, holds its
/// place for nothing.
const FIRST_MOMENTS: Duration = Duration::from_millis(2_500);
const LEAST_RATE: f64 = 21_000.0;

/// Why a body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It stopped, or comes too slowly.
    Slow,
    /// It broke off, or its framing cannot be read.
    Broken,
    /// It is longer than the limit.
    TooLong,
}

/// Whether a body may go on: time that was spent waiting for its client, and bytes that came.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    waited: Duration,
    bytes: u64,
}

impl Pace {
    fn too_slow(&self) -> bool {
        let due = self.waited.saturating_sub(FIRST_MOMENTS).as_secs_f64() * LEAST_RATE;
        due > self.bytes as f64
    }
}

/// A body while it arrives.
pub struct Reading {
    body: Body,
    pace: Pace,
    most: u64,
}

impl Reading {
    /// A body of at most so many bytes.
    pub fn new(body: Body, most: u64) -> Reading {
        Reading { body, pace: Pace::default(), most }
    }

    /// What the head says of its length; `None`: it comes in chunks.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// The next bytes; `None`: it is whole. Trailers say nothing that a node would need.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            let begun = Instant::now();
            let frame = timeout(SILENCE, self.body.frame()).await.map_err(|_| Fault::Slow)?;
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

    /// All of it.
    pub async fn whole(&mut self) -> Result<Bytes, Fault> {
        let mut pieces = Vec::new();
        while let Some(piece) = self.next().await? {
            pieces.push(piece);
        }
        Ok(joined(pieces))
    }
}

fn joined(mut pieces: Vec<Bytes>) -> Bytes {
    match pieces.len() {
        0 => Bytes::new(),
        1 => pieces.swap_remove(0),
        _ => pieces.concat().into(),
    }
}

#[cfg(test)]
mod tests;
