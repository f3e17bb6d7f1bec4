//! Packets of SFTP version 3, both ways: each is decoded once into a typed value and encoded once.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt;
use tokio_util::codec::LengthDelimitedCodec;

pub const VERSION: u32 = 3;
/// The most data in one READ or WRITE; a server may always return less than was asked for.
pub const MOST_DATA: usize = 64 * 1024;
/// A WRITE of the most data, its handle and its figures.
pub const MOST_PACKET: usize = MOST_DATA + 1024;
pub const MOST_PATH: usize = 4096;
/// The specification's bound on a handle.
pub const MOST_HANDLE: usize = 256;

/// Flags of OPEN.
pub const READ: u32 = 1;
pub const WRITE: u32 = 2;
pub const APPEND: u32 = 4;
pub const CREAT: u32 = 8;
pub const TRUNC: u32 = 16;
pub const EXCL: u32 = 32;

const INIT: u8 = 1;
const VERSION_PACKET: u8 = 2;
const OPEN: u8 = 3;
const CLOSE: u8 = 4;
const READ_PACKET: u8 = 5;
const WRITE_PACKET: u8 = 6;
const LSTAT: u8 = 7;
const FSTAT: u8 = 8;
const STAT: u8 = 17;
const STATUS: u8 = 101;
const HANDLE: u8 = 102;
const DATA: u8 = 103;
const ATTRS: u8 = 105;

const HAS_SIZE: u32 = 1;
const HAS_OWNER: u32 = 2;
const HAS_PERMISSIONS: u32 = 4;
const HAS_TIMES: u32 = 8;
const HAS_EXTENDED: u32 = 1 << 31;

/// `SSH_FX_*`; the two pseudo-errors (6 and 7) are for clients' own use and never on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ok,
    Eof,
    NoSuchFile,
    PermissionDenied,
    Failure,
    BadMessage,
    OpUnsupported,
}

const STATUSES: [(Status, u32); 7] = [
    (Status::Ok, 0),
    (Status::Eof, 1),
    (Status::NoSuchFile, 2),
    (Status::PermissionDenied, 3),
    (Status::Failure, 4),
    (Status::BadMessage, 5),
    (Status::OpUnsupported, 8),
];

/// Extended attributes are read over: nothing here means anything by them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attrs {
    pub size: Option<u64>,
    pub owner: Option<(u32, u32)>,
    pub permissions: Option<u32>,
    pub times: Option<(u32, u32)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Open {
        path: String,
        flags: u32,
        attrs: Attrs,
    },
    Close {
        handle: Bytes,
    },
    Read {
        handle: Bytes,
        offset: u64,
        length: u32,
    },
    Write {
        handle: Bytes,
        offset: u64,
        data: Bytes,
    },
    Stat {
        path: String,
        follow: bool,
    },
    Fstat {
        handle: Bytes,
    },
    /// A packet that the specification or an extension may know, and this program does not serve.
    Unsupported(u8),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    Init { version: u32 },
    Command { id: u32, command: Command },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Status { code: Status, text: String },
    Handle(Bytes),
    Data(Bytes),
    Attrs(Attrs),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Version(u32),
    Reply { id: u32, reply: Reply },
}

/// What is wrong with a packet, and the request to answer so, where its id could be read.
#[derive(Clone, Debug, PartialEq)]
pub struct Malformed {
    pub id: Option<u32>,
    pub what: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed packet: {}", self.what)
    }
}

impl std::error::Error for Malformed {}

/// Length fields: a packet longer than any may be ends its connection before it is held in memory.
pub fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(4).max_frame_length(MOST_PACKET).new_codec()
}

struct Reader(Bytes);

type Part<T> = Result<T, &'static str>;

impl Reader {
    fn u8(&mut self) -> Part<u8> {
        self.0.try_get_u8().map_err(|_| "a byte is missing")
    }

    fn u32(&mut self) -> Part<u32> {
        self.0.try_get_u32().map_err(|_| "a number is cut short")
    }

    fn u64(&mut self) -> Part<u64> {
        self.0.try_get_u64().map_err(|_| "a number is cut short")
    }

    fn string(&mut self, most: usize) -> Part<Bytes> {
        let length = self.u32()? as usize;
        if length > self.0.len() {
            return Err("a string is cut short");
        }
        if length > most { Err("a string is too long") } else { Ok(self.0.split_to(length)) }
    }

    fn path(&mut self) -> Part<String> {
        let path = self.string(MOST_PATH)?;
        String::from_utf8(path.to_vec()).map_err(|_| "a path is not UTF-8")
    }

    fn attrs(&mut self) -> Part<Attrs> {
        let flags = self.u32()?;
        let mut attrs = Attrs::default();
        if flags & HAS_SIZE != 0 {
            attrs.size = Some(self.u64()?);
        }
        if flags & HAS_OWNER != 0 {
            attrs.owner = Some((self.u32()?, self.u32()?));
        }
        if flags & HAS_PERMISSIONS != 0 {
            attrs.permissions = Some(self.u32()?);
        }
        if flags & HAS_TIMES != 0 {
            attrs.times = Some((self.u32()?, self.u32()?));
        }
        if flags & HAS_EXTENDED != 0 {
            // Bounded by what is there: each pair takes eight bytes at least.
            for _ in 0..self.u32()? {
                self.string(MOST_PACKET)?;
                self.string(MOST_PACKET)?;
            }
        }
        Ok(attrs)
    }

    fn end(&self) -> Part<()> {
        if self.0.is_empty() { Ok(()) } else { Err("something follows the packet's end") }
    }
}

fn put_string(out: &mut BytesMut, bytes: &[u8]) {
    out.put_u32(bytes.len() as u32);
    out.put_slice(bytes);
}

fn put_attrs(out: &mut BytesMut, attrs: &Attrs) {
    let flag = |there: bool, flag: u32| if there { flag } else { 0 };
    out.put_u32(
        flag(attrs.size.is_some(), HAS_SIZE)
            | flag(attrs.owner.is_some(), HAS_OWNER)
            | flag(attrs.permissions.is_some(), HAS_PERMISSIONS)
            | flag(attrs.times.is_some(), HAS_TIMES),
    );
    if let Some(size) = attrs.size {
        out.put_u64(size);
    }
    if let Some((user, group)) = attrs.owner {
        out.put_u32(user);
        out.put_u32(group);
    }
    if let Some(permissions) = attrs.permissions {
        out.put_u32(permissions);
    }
    if let Some((accessed, modified)) = attrs.times {
        out.put_u32(accessed);
        out.put_u32(modified);
    }
}

/// A reply as a store node's answer keeps it: encoded, for whatever request it will be sent on.
#[derive(Clone, Debug, PartialEq)]
pub struct Encoded(Bytes);

const ID: std::ops::Range<usize> = 1..5;

impl Encoded {
    pub fn new(reply: &Reply) -> Encoded {
        let mut out = BytesMut::new();
        reply.encode(0, &mut out);
        Encoded(out.freeze())
    }

    pub fn into_bytes(self) -> Bytes {
        self.0
    }

    /// `None`: too short to be a reply.
    pub fn from_bytes(bytes: Bytes) -> Option<Encoded> {
        (bytes.len() >= ID.end).then_some(Encoded(bytes))
    }

    pub fn is_handle(&self) -> bool {
        self.0.first() == Some(&HANDLE)
    }

    pub fn with_id(self, id: u32) -> Bytes {
        let mut out = BytesMut::from(self.0);
        out[ID].copy_from_slice(&id.to_be_bytes());
        out.freeze()
    }
}

impl Request {
    pub fn decode(packet: Bytes) -> Result<Request, Malformed> {
        let mut r = Reader(packet);
        let no_id = |what| Malformed { id: None, what };
        let kind = r.u8().map_err(no_id)?;
        if kind == INIT {
            // Extension pairs may follow; none is known.
            return Ok(Request::Init { version: r.u32().map_err(no_id)? });
        }
        let id = r.u32().map_err(no_id)?;
        let command = Command::decode(kind, &mut r).map_err(|what| Malformed { id: Some(id), what })?;
        Ok(Request::Command { id, command })
    }

    pub fn encode(&self) -> Bytes {
        let mut out = BytesMut::new();
        match self {
            Request::Init { version } => {
                out.put_u8(INIT);
                out.put_u32(*version);
            }
            Request::Command { id, command } => command.encode(*id, &mut out),
        }
        out.freeze()
    }
}

impl Command {
    fn decode(kind: u8, r: &mut Reader) -> Part<Command> {
        let command = match kind {
            OPEN => Command::Open { path: r.path()?, flags: r.u32()?, attrs: r.attrs()? },
            CLOSE => Command::Close { handle: r.string(MOST_HANDLE)? },
            READ_PACKET => {
                Command::Read { handle: r.string(MOST_HANDLE)?, offset: r.u64()?, length: r.u32()? }
            }
            WRITE_PACKET => Command::Write {
                handle: r.string(MOST_HANDLE)?,
                offset: r.u64()?,
                data: r.string(MOST_DATA)?,
            },
            LSTAT | STAT => Command::Stat { path: r.path()?, follow: kind == STAT },
            FSTAT => Command::Fstat { handle: r.string(MOST_HANDLE)? },
            other => return Ok(Command::Unsupported(other)),
        };
        r.end()?;
        Ok(command)
    }

    fn encode(&self, id: u32, out: &mut BytesMut) {
        let mut head = |kind: u8| {
            out.put_u8(kind);
            out.put_u32(id);
        };
        match self {
            Command::Open { path, flags, attrs } => {
                head(OPEN);
                put_string(out, path.as_bytes());
                out.put_u32(*flags);
                put_attrs(out, attrs);
            }
            Command::Close { handle } => {
                head(CLOSE);
                put_string(out, handle);
            }
            Command::Read { handle, offset, length } => {
                head(READ_PACKET);
                put_string(out, handle);
                out.put_u64(*offset);
                out.put_u32(*length);
            }
            Command::Write { handle, offset, data } => {
                head(WRITE_PACKET);
                put_string(out, handle);
                out.put_u64(*offset);
                put_string(out, data);
            }
            Command::Stat { path, follow } => {
                head(if *follow { STAT } else { LSTAT });
                put_string(out, path.as_bytes());
            }
            Command::Fstat { handle } => {
                head(FSTAT);
                put_string(out, handle);
            }
            Command::Unsupported(kind) => head(*kind),
        }
    }
}

impl Response {
    pub fn decode(packet: Bytes) -> Result<Response, Malformed> {
        let mut r = Reader(packet);
        let no_id = |what| Malformed { id: None, what };
        let kind = r.u8().map_err(no_id)?;
        let id = r.u32().map_err(no_id)?;
        if kind == VERSION_PACKET {
            return Ok(Response::Version(id));
        }
        let reply = Reply::decode(kind, &mut r).map_err(|what| Malformed { id: Some(id), what })?;
        Ok(Response::Reply { id, reply })
    }

    pub fn encode(&self) -> Bytes {
        let mut out = BytesMut::new();
        match self {
            Response::Version(version) => {
                out.put_u8(VERSION_PACKET);
                out.put_u32(*version);
            }
            Response::Reply { id, reply } => reply.encode(*id, &mut out),
        }
        out.freeze()
    }
}

impl Reply {
    pub fn status(code: Status, text: impl Into<String>) -> Reply {
        Reply::Status { code, text: text.into() }
    }

    fn decode(kind: u8, r: &mut Reader) -> Part<Reply> {
        let reply = match kind {
            STATUS => {
                let code = r.u32()?;
                let known = STATUSES.iter().find(|(_, number)| *number == code);
                // Some servers leave out the text and its language.
                let text = if r.0.is_empty() { Bytes::new() } else { r.string(MOST_PACKET)? };
                let text = String::from_utf8_lossy(&text).into_owned();
                return Ok(Reply::Status {
                    code: known.map_or(Status::Failure, |(status, _)| *status),
                    text,
                });
            }
            HANDLE => Reply::Handle(r.string(MOST_HANDLE)?),
            DATA => Reply::Data(r.string(MOST_DATA)?),
            ATTRS => Reply::Attrs(r.attrs()?),
            _ => return Err("a reply of a kind that nothing here asks for"),
        };
        r.end()?;
        Ok(reply)
    }

    fn encode(&self, id: u32, out: &mut BytesMut) {
        let mut head = |kind: u8| {
            out.put_u8(kind);
            out.put_u32(id);
        };
        match self {
            Reply::Status { code, text } => {
                head(STATUS);
                out.put_u32(
                    STATUSES.iter().find(|(status, _)| status == code).map_or(4, |(_, number)| *number),
                );
                put_string(out, text.as_bytes());
                put_string(out, b"en");
            }
            Reply::Handle(handle) => {
                head(HANDLE);
                put_string(out, handle);
            }
            Reply::Data(data) => {
                head(DATA);
                put_string(out, data);
            }
            Reply::Attrs(attrs) => {
                head(ATTRS);
                put_attrs(out, attrs);
            }
        }
    }
}

#[cfg(test)]
mod tests;
