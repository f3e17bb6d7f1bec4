//! Limits on what a client's connection may cost. Most limits are token buckets from which a frame, or a
//! request that was not complete in time, takes a token; a header block has fixed limits instead. The front
//! closes the connection of a client that exceeds a limit; no other client is affected. Legitimate
//! clients stay far below all limits.

use super::frames::{Frame, FrameEvent, FrameKind};
use crate::interface::Micros;

/// RST_STREAM frames; a rapid reset attack sends thousands, with CANCEL. Limits are a burst and a rate per
/// second.
const RESETS: (f64, f64) = (200.0, 50.0);
/// SETTINGS frames.
const SETTINGS: (f64, f64) = (20.0, 1.0);
/// PING frames without ACK.
const PINGS: (f64, f64) = (50.0, 5.0);
/// DATA frames without a payload or END_STREAM, PRIORITY frames, PING frames with ACK and frames of unknown
/// types: each costs processing time and has no effect.
const EMPTY: (f64, f64) = (50.0, 50.0);
/// WINDOW_UPDATE frames. A client sends them for bytes that it has read, so the rate is high: 60,000 per
/// second.
const UPDATES: (f64, f64) = (20_000.0, 60_000.0);
/// Requests that were not complete in time.
const SLOW_REQUESTS: (f64, f64) = (8.0, 1.0);
/// The most frames of one header block. h2 fails at the sixth CONTINUATION frame, without a reason for the
/// event log.
const MAX_BLOCK_FRAMES: usize = 5;

/// Why the front closes a client's connection, or refuses its streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Offence {
    /// Too many RST_STREAM frames.
    RapidReset,
    /// Too many SETTINGS frames.
    SettingsFlood,
    /// Too many PING frames. Those with ACK count towards the limit of frames without effect.
    PingFlood,
    /// Too many frames without effect. If a PING frame with ACK exceeds the limit, it is a `PingFlood`.
    EmptyFlood,
    /// Too many WINDOW_UPDATE frames.
    UpdateFlood,
    /// Too many CONTINUATION frames in one header block.
    Continuations,
    /// Too many bytes in one header block.
    HeaderBytes,
    /// Too many requests that were not complete in time.
    SlowRequest,
    /// The client's socket accepts no bytes.
    Stalled,
    /// More concurrent streams than allowed; these are refused one by one.
    Streams,
    /// A limit that h2 enforces by itself.
    Other,
    /// No connection preface, or frames that violate the protocol.
    Protocol,
}

impl Offence {
    pub const ALL: [Offence; 12] = [
        Offence::RapidReset,
        Offence::SettingsFlood,
        Offence::PingFlood,
        Offence::EmptyFlood,
        Offence::UpdateFlood,
        Offence::Continuations,
        Offence::HeaderBytes,
        Offence::SlowRequest,
        Offence::Stalled,
        Offence::Streams,
        Offence::Other,
        Offence::Protocol,
    ];

    /// Returns the offence's name in events.
    pub fn name(self) -> &'static str {
        match self {
            Offence::RapidReset => "rapid_reset",
            Offence::SettingsFlood => "settings_flood",
            Offence::PingFlood => "ping_flood",
            Offence::EmptyFlood => "empty_flood",
            Offence::UpdateFlood => "update_flood",
            Offence::Continuations => "continuations",
            Offence::HeaderBytes => "header_bytes",
            Offence::SlowRequest => "slow_request",
            Offence::Stalled => "stalled",
            Offence::Streams => "streams",
            Offence::Other => "other_flood",
            Offence::Protocol => "protocol",
        }
    }
}

/// A token bucket.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
    burst: f64,
    /// Tokens per second.
    rate: f64,
}

impl TokenBucket {
    fn new((burst, rate): (f64, f64)) -> TokenBucket {
        TokenBucket { tokens: burst, refilled_at: 0, burst, rate }
    }

    /// Takes a token. Returns false if the bucket has none.
    fn take(&mut self, now: Micros) -> bool {
        let refill = self.rate * now.saturating_sub(self.refilled_at) as f64 / 1e6;
        (self.tokens, self.refilled_at) = ((self.tokens + refill).min(self.burst), now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

/// Checks the frames of one client's connection against the limits.
#[derive(Debug)]
pub struct Guard {
    resets: TokenBucket,
    settings: TokenBucket,
    pings: TokenBucket,
    empty: TokenBucket,
    updates: TokenBucket,
    slow_requests: TokenBucket,
    max_block_bytes: usize,
    block_frames: usize,
    block_bytes: usize,
}

impl Guard {
    /// Creates a guard that allows header blocks of up to `max_block_bytes`, as sent.
    pub fn new(max_block_bytes: usize) -> Guard {
        Guard {
            resets: TokenBucket::new(RESETS),
            settings: TokenBucket::new(SETTINGS),
            pings: TokenBucket::new(PINGS),
            empty: TokenBucket::new(EMPTY),
            updates: TokenBucket::new(UPDATES),
            slow_requests: TokenBucket::new(SLOW_REQUESTS),
            max_block_bytes,
            block_frames: 0,
            block_bytes: 0,
        }
    }

    /// Checks a frame and returns the offence, if any. A frame is checked once its header is complete, before
    /// its payload arrives.
    pub fn frame(&mut self, now: Micros, event: FrameEvent) -> Option<Offence> {
        let FrameEvent::Started(frame) = event else { return None };
        match frame.kind {
            FrameKind::Reset => Self::check(&mut self.resets, now, Offence::RapidReset),
            FrameKind::Settings => Self::check(&mut self.settings, now, Offence::SettingsFlood),
            FrameKind::Ping if !frame.is_ack() => Self::check(&mut self.pings, now, Offence::PingFlood),
            FrameKind::Ping => Self::check(&mut self.empty, now, Offence::PingFlood),
            FrameKind::Data if frame.length > 0 || frame.ends_stream() => None,
            FrameKind::Data | FrameKind::Priority | FrameKind::Other => {
                Self::check(&mut self.empty, now, Offence::EmptyFlood)
            }
            FrameKind::WindowUpdate => Self::check(&mut self.updates, now, Offence::UpdateFlood),
            FrameKind::Headers | FrameKind::Continuation => self.check_header_block(&frame),
            FrameKind::PushPromise | FrameKind::GoAway => None,
        }
    }

    /// Counts a request that was not complete in time, and returns the offence if there were too many.
    pub fn slow_request(&mut self, now: Micros) -> Option<Offence> {
        Self::check(&mut self.slow_requests, now, Offence::SlowRequest)
    }

    /// Returns `offence` if the bucket has no token left.
    fn check(bucket: &mut TokenBucket, now: Micros, offence: Offence) -> Option<Offence> {
        if bucket.take(now) { None } else { Some(offence) }
    }

    /// Checks a frame of a header block.
    fn check_header_block(&mut self, frame: &Frame) -> Option<Offence> {
        if frame.kind == FrameKind::Headers {
            (self.block_frames, self.block_bytes) = (0, 0);
        }
        self.block_frames += 1;
        self.block_bytes += frame.length;
        if self.block_bytes > self.max_block_bytes {
            return Some(Offence::HeaderBytes);
        }
        (self.block_frames > MAX_BLOCK_FRAMES).then_some(Offence::Continuations)
    }
}

#[cfg(test)]
mod tests;
