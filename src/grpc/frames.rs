//! Finds the HTTP/2 frames in the bytes of a connection, however the bytes are split. The frames show which
//! streams have begun, which are complete, and what the peer announces for the connection. Of a payload, only
//! the first bytes are kept, which hold the last stream of a GOAWAY frame or the error code of an RST_STREAM
//! frame.

/// The length in bytes of the connection preface, which a client sends before its first frame (RFC 9113,
/// section 3.4).
pub const PREFACE_BYTES: usize = 24;
/// The length of a frame header, in bytes.
const HEADER_BYTES: usize = 9;
/// How many bytes of a payload are kept: the last stream of a GOAWAY frame, or the error code of an
/// RST_STREAM frame.
const PAYLOAD_START_BYTES: usize = 8;

/// The type of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// DATA.
    Data,
    /// HEADERS.
    Headers,
    /// PRIORITY.
    Priority,
    /// RST_STREAM.
    Reset,
    /// SETTINGS.
    Settings,
    /// PUSH_PROMISE.
    PushPromise,
    /// PING.
    Ping,
    /// GOAWAY.
    GoAway,
    /// WINDOW_UPDATE.
    WindowUpdate,
    /// CONTINUATION.
    Continuation,
    /// A type that this module does not know.
    Other,
}

impl FrameKind {
    fn from_code(code: u8) -> FrameKind {
        match code {
            0 => FrameKind::Data,
            1 => FrameKind::Headers,
            2 => FrameKind::Priority,
            3 => FrameKind::Reset,
            4 => FrameKind::Settings,
            5 => FrameKind::PushPromise,
            6 => FrameKind::Ping,
            7 => FrameKind::GoAway,
            8 => FrameKind::WindowUpdate,
            9 => FrameKind::Continuation,
            _ => FrameKind::Other,
        }
    }
}

/// A frame's header and the first bytes of its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The frame's type.
    pub kind: FrameKind,
    /// The frame's flags, as sent.
    pub flags: u8,
    /// The stream's identifier; 0 is the connection.
    pub stream: u32,
    /// The payload's length, in bytes.
    pub length: usize,
    /// The first bytes of the payload, padded with zeros. All are zero before the payload has been read.
    pub payload_start: [u8; PAYLOAD_START_BYTES],
}

impl Frame {
    /// Returns whether this is a DATA or HEADERS frame with END_STREAM; only CONTINUATION frames may follow
    /// it.
    pub fn ends_stream(&self) -> bool {
        matches!(self.kind, FrameKind::Data | FrameKind::Headers) && self.flags & 0x1 != 0
    }

    /// Returns whether this is a HEADERS or CONTINUATION frame with END_HEADERS.
    pub fn ends_headers(&self) -> bool {
        matches!(self.kind, FrameKind::Headers | FrameKind::Continuation) && self.flags & 0x4 != 0
    }

    /// Returns whether this is a SETTINGS or PING frame with ACK.
    pub fn is_ack(&self) -> bool {
        matches!(self.kind, FrameKind::Settings | FrameKind::Ping) && self.flags & 0x1 != 0
    }

    /// Returns the last stream that the peer may have processed, if this is a GOAWAY frame.
    pub fn last_stream(&self) -> Option<u32> {
        let [a, b, c, d, ..] = self.payload_start;
        (self.kind == FrameKind::GoAway).then_some(u32::from_be_bytes([a, b, c, d]) & 0x7fff_ffff)
    }
}

/// A frame in the scanned bytes. Each frame causes two events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameEvent {
    /// The frame's header is complete.
    Started(Frame),
    /// The frame's last byte has been read.
    Complete(Frame),
}

/// Scans one direction of a connection for frames.
#[derive(Debug, Default)]
pub struct Scanner {
    /// Bytes still to be skipped before the first frame.
    skip: usize,
    /// The header of the next frame, of which `header_read` bytes have been read.
    header: [u8; HEADER_BYTES],
    header_read: usize,
    /// The frame whose payload is being read.
    frame: Option<Frame>,
    /// Bytes of its payload that were kept, and bytes still to be read.
    payload_kept: usize,
    payload_remaining: usize,
}

impl Scanner {
    /// Creates a scanner that skips `preface` bytes before the first frame.
    pub fn new(preface: usize) -> Scanner {
        Scanner { skip: preface, ..Scanner::default() }
    }

    /// Scans the next bytes and calls `on_event` for each event in them.
    pub fn scan(&mut self, mut bytes: &[u8], mut on_event: impl FnMut(FrameEvent)) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        bytes = &bytes[skipped..];
        while !bytes.is_empty() {
            match &mut self.frame {
                None => {
                    let taken = (HEADER_BYTES - self.header_read).min(bytes.len());
                    self.header[self.header_read..self.header_read + taken].copy_from_slice(&bytes[..taken]);
                    self.header_read += taken;
                    bytes = &bytes[taken..];
                    if self.header_read < HEADER_BYTES {
                        return;
                    }
                    let [a, b, c, kind, flags, d, e, f, g] = self.header;
                    let length = u32::from_be_bytes([0, a, b, c]) as usize;
                    let stream = u32::from_be_bytes([d, e, f, g]) & 0x7fff_ffff;
                    let frame = Frame {
                        kind: FrameKind::from_code(kind),
                        flags,
                        stream,
                        length,
                        payload_start: [0; PAYLOAD_START_BYTES],
                    };
                    (self.header_read, self.payload_kept, self.payload_remaining) = (0, 0, length);
                    on_event(FrameEvent::Started(frame));
                    if length == 0 {
                        on_event(FrameEvent::Complete(frame));
                    } else {
                        self.frame = Some(frame);
                    }
                }
                Some(frame) => {
                    let taken = self.payload_remaining.min(bytes.len());
                    let kept = taken.min(PAYLOAD_START_BYTES - self.payload_kept);
                    frame.payload_start[self.payload_kept..self.payload_kept + kept]
                        .copy_from_slice(&bytes[..kept]);
                    self.payload_kept += kept;
                    self.payload_remaining -= taken;
                    bytes = &bytes[taken..];
                    if self.payload_remaining == 0 {
                        on_event(FrameEvent::Complete(*frame));
                        self.frame = None;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
