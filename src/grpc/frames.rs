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
mod tests {
    use super::*;

    fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        bytes.extend([kind, flags]);
        bytes.extend(stream.to_be_bytes());
        bytes.extend(payload);
        bytes
    }

    #[test]
    fn frames_are_told_alike_in_whatever_pieces_they_pass() {
        let mut bytes = vec![b'P'; PREFACE];
        bytes.extend(frame(4, 0, 0, &[]));
        bytes.extend(frame(1, 4, 1, &[7; 20]));
        bytes.extend(frame(0, 1, 1, &[9; 300]));
        bytes.extend(frame(7, 0, 0, &[0x80, 0, 0, 41, 0, 0, 0, 0, b'b', b'y']));
        for size in [1, 2, 3, 9, 10, 64, bytes.len()] {
            let (mut scanner, mut seen) = (Scanner::new(PREFACE), Vec::new());
            bytes.chunks(size).for_each(|piece| scanner.pass(piece, |event| seen.push(event)));
            let whole: Vec<Frame> = seen
                .iter()
                .filter_map(|s| if let Seen::Whole(frame) = s { Some(*frame) } else { None })
                .collect();
            assert_eq!(seen.len(), 8, "each frame begins once and ends once, by {size}");
            assert_eq!(
                whole.iter().map(|f| (f.kind, f.stream, f.length)).collect::<Vec<_>>(),
                [(Kind::Settings, 0, 0), (Kind::Headers, 1, 20), (Kind::Data, 1, 300), (Kind::GoAway, 0, 10)]
            );
            assert_eq!(whole.iter().map(Frame::ends_stream).collect::<Vec<_>>(), [false, false, true, false]);
            assert_eq!((whole[1].ends_headers(), whole[3].last_stream()), (true, Some(41)));
        }
    }

    #[test]
    fn a_frame_of_which_a_byte_is_missing_is_not_whole() {
        let (bytes, mut ends) = (frame(0, 1, 3, b"abc"), 0);
        let mut scanner = Scanner::new(0);
        scanner.pass(&bytes[..bytes.len() - 1], |seen| ends += usize::from(matches!(seen, Seen::Whole(_))));
        assert_eq!(ends, 0);
        scanner.pass(&bytes[bytes.len() - 1..], |seen| ends += usize::from(matches!(seen, Seen::Whole(_))));
        assert_eq!(ends, 1);
    }
}
