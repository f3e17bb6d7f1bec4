//! Reads along a connection's HTTP/2 frames as their bytes pass, whatever pieces they pass in: which streams have
//! begun, whose last frame has been written, and what the peer says for the whole connection. Payloads are not kept,
//! but for the few bytes that tell a GOAWAY's last stream.

/// The client's connection preface, which stands before its first frame.
pub const PREFACE: usize = 24;
const HEAD: usize = 9;
/// Of a payload, as much as a GOAWAY needs: its last stream and its code.
const KEPT: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Data,
    Headers,
    Priority,
    Reset,
    Settings,
    PushPromise,
    Ping,
    GoAway,
    WindowUpdate,
    Continuation,
    Other,
}

impl Kind {
    fn of(code: u8) -> Kind {
        match code {
            0 => Kind::Data,
            1 => Kind::Headers,
            2 => Kind::Priority,
            3 => Kind::Reset,
            4 => Kind::Settings,
            5 => Kind::PushPromise,
            6 => Kind::Ping,
            7 => Kind::GoAway,
            8 => Kind::WindowUpdate,
            9 => Kind::Continuation,
            _ => Kind::Other,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    pub kind: Kind,
    pub flags: u8,
    pub stream: u32,
    pub length: usize,
    /// The payload's first bytes; zero where it has fewer.
    pub start: [u8; KEPT],
}

impl Frame {
    /// On DATA and HEADERS: the sender's last frame of that stream, but for CONTINUATIONs.
    pub fn ends_stream(&self) -> bool {
        matches!(self.kind, Kind::Data | Kind::Headers) && self.flags & 0x1 != 0
    }

    pub fn ends_headers(&self) -> bool {
        matches!(self.kind, Kind::Headers | Kind::Continuation) && self.flags & 0x4 != 0
    }

    /// On SETTINGS and PING: an answer to one.
    pub fn is_ack(&self) -> bool {
        matches!(self.kind, Kind::Settings | Kind::Ping) && self.flags & 0x1 != 0
    }

    /// On GOAWAY: the last stream that the peer may have acted on.
    pub fn last_stream(&self) -> Option<u32> {
        let [a, b, c, d, ..] = self.start;
        (self.kind == Kind::GoAway).then_some(u32::from_be_bytes([a, b, c, d]) & 0x7fff_ffff)
    }
}

/// Told of each frame twice: when its first byte passes that tells what it is, and when its last byte has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    Begins(Frame),
    Whole(Frame),
}

#[derive(Debug, Default)]
pub struct Scanner {
    skip: usize,
    head: [u8; HEAD],
    got: usize,
    frame: Option<Frame>,
    kept: usize,
    left: usize,
}

impl Scanner {
    /// `preface`: bytes before the first frame.
    pub fn new(preface: usize) -> Scanner {
        Scanner { skip: preface, ..Scanner::default() }
    }

    pub fn pass(&mut self, mut bytes: &[u8], mut seen: impl FnMut(Seen)) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        bytes = &bytes[skipped..];
        while !bytes.is_empty() {
            match &mut self.frame {
                None => {
                    let taken = (HEAD - self.got).min(bytes.len());
                    self.head[self.got..self.got + taken].copy_from_slice(&bytes[..taken]);
                    self.got += taken;
                    bytes = &bytes[taken..];
                    if self.got < HEAD {
                        return;
                    }
                    let [a, b, c, kind, flags, d, e, f, g] = self.head;
                    let length = u32::from_be_bytes([0, a, b, c]) as usize;
                    let stream = u32::from_be_bytes([d, e, f, g]) & 0x7fff_ffff;
                    let frame = Frame { kind: Kind::of(kind), flags, stream, length, start: [0; KEPT] };
                    (self.got, self.kept, self.left) = (0, 0, length);
                    seen(Seen::Begins(frame));
                    if length == 0 {
                        seen(Seen::Whole(frame));
                    } else {
                        self.frame = Some(frame);
                    }
                }
                Some(frame) => {
                    let taken = self.left.min(bytes.len());
                    let kept = taken.min(KEPT - self.kept);
                    frame.start[self.kept..self.kept + kept].copy_from_slice(&bytes[..kept]);
                    self.kept += kept;
                    self.left -= taken;
                    bytes = &bytes[taken..];
                    if self.left == 0 {
                        seen(Seen::Whole(*frame));
                        self.frame = None;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
