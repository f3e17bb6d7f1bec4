//! Packets of SFTP version 3, in both directions. Each is decoded once into a typed value and encoded once.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt;
use tokio_util::codec::LengthDelimitedCodec;

/// The protocol version that the front speaks.
pub const VERSION: u32 = 3;
/// The most bytes of data in one READ or WRITE. A server may always return fewer bytes than were requested.
pub const MAX_DATA_BYTES: usize = 64 * 1024;
/// The longest packet, in bytes: a WRITE with the most data, its handle and its numbers.
pub const MAX_PACKET_BYTES: usize = MAX_DATA_BYTES + 1024;
/// The longest path, in bytes.
pub const MAX_PATH_BYTES: usize = 4096;
/// The longest handle that the specification allows, in bytes.
pub const MAX_HANDLE_BYTES: usize = 256;

/// OPEN flag: open for reading.
pub const READ: u32 = 1;
/// OPEN flag: open for writing.
pub const WRITE: u32 = 2;
/// OPEN flag: append all writes to the file.
pub const APPEND: u32 = 4;
/// OPEN flag: create the file if it does not exist.
pub const CREAT: u32 = 8;
/// OPEN flag: truncate the file.
pub const TRUNC: u32 = 16;
/// OPEN flag: fail if the file exists.
pub const EXCL: u32 = 32;

// Packet types.
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

// Flags that tell which attributes follow.
const HAS_SIZE: u32 = 1;
const HAS_OWNER: u32 = 2;
const HAS_PERMISSIONS: u32 = 4;
const HAS_TIMES: u32 = 8;
const HAS_EXTENDED: u32 = 1 << 31;

/// A status code, `SSH_FX_*`. The pseudo-errors 6 and 7 are for the use of clients alone and are never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// `SSH_FX_OK`.
    Ok,
    /// `SSH_FX_EOF`.
    Eof,
    /// `SSH_FX_NO_SUCH_FILE`.
    NoSuchFile,
    /// `SSH_FX_PERMISSION_DENIED`.
    PermissionDenied,
    /// `SSH_FX_FAILURE`.
    Failure,
    /// `SSH_FX_BAD_MESSAGE`.
    BadMessage,
    /// `SSH_FX_OP_UNSUPPORTED`.
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

/// The attributes of a file. Extended attributes are skipped, since the front does not use them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attrs {
    /// The size in bytes.
    pub size: Option<u64>,
    /// The user and group identifiers.
    pub owner: Option<(u32, u32)>,
    /// The permission bits.
    pub permissions: Option<u32>,
    /// The times of access and modification, in seconds since 1970.
    pub times: Option<(u32, u32)>,
}

/// A command from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Opens a file.
    Open { path: String, flags: u32, attrs: Attrs },
    /// Closes a handle.
    Close { handle: Bytes },
    /// Reads up to `length` bytes.
    Read { handle: Bytes, offset: u64, length: u32 },
    /// Writes bytes.
    Write { handle: Bytes, offset: u64, data: Bytes },
    /// Reads the attributes of a path; `follow`: of the target of a symbolic link.
    Stat { path: String, follow: bool },
    /// Reads the attributes of an open file.
    Fstat { handle: Bytes },
    /// A command of another packet type, which the front does not serve.
    Unsupported(u8),
}

/// What a reply to a command may be, beside a status that says why the command failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedReply {
    /// The status OK.
    Done,
    /// A handle.
    Handle,
    /// Bytes, at most this many, or the status EOF.
    Data { at_most: usize },
    /// Attributes.
    Attrs,
}

impl Command {
    /// What the command's reply may be.
    pub fn expected_reply(&self) -> ExpectedReply {
        match self {
            Command::Open { .. } => ExpectedReply::Handle,
            Command::Read { length, .. } => ExpectedReply::Data { at_most: *length as usize },
            Command::Stat { .. } | Command::Fstat { .. } => ExpectedReply::Attrs,
            Command::Close { .. } | Command::Write { .. } | Command::Unsupported(_) => ExpectedReply::Done,
        }
    }
}

impl ExpectedReply {
    /// Whether a reply is one to the command.
    pub fn is_met_by(self, reply: &Reply) -> bool {
        match (self, reply) {
            (_, Reply::Status { code: Status::Ok, .. }) => self == ExpectedReply::Done,
            (_, Reply::Status { code: Status::Eof, .. }) => matches!(self, ExpectedReply::Data { .. }),
            (_, Reply::Status { .. }) => true,
            (_, Reply::Handle(_)) => self == ExpectedReply::Handle,
            (ExpectedReply::Data { at_most }, Reply::Data(data)) => data.len() <= at_most,
            (_, Reply::Data(_)) => false,
            (_, Reply::Attrs(_)) => self == ExpectedReply::Attrs,
        }
    }
}

/// A packet from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Begins a session.
    Init { version: u32 },
    /// A command, with an id that its reply repeats.
    Command { id: u32, command: Command },
}

/// A reply to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A status, with a text for the client.
    Status { code: Status, text: String },
    /// The handle of an opened file.
    Handle(Bytes),
    /// Bytes that were read.
    Data(Bytes),
    /// The attributes of a file.
    Attrs(Attrs),
}

/// A packet to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Answers INIT with the server's version.
    Version(u32),
    /// The reply to the command with this id.
    Reply { id: u32, reply: Reply },
}

/// An error in decoding a packet.
#[derive(Clone, Debug, PartialEq)]
pub struct Malformed {
    /// The id of the command to reply to, if the packet has one.
    pub id: Option<u32>,
    /// What is wrong with the packet.
    pub problem: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed packet: {}", self.problem)
    }
}

impl std::error::Error for Malformed {}

/// Returns a codec that splits a stream into packets by their length fields. It rejects a packet longer than
/// [`MAX_PACKET_BYTES`] before the packet is read into memory.
pub fn packet_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(4).max_frame_length(MAX_PACKET_BYTES).new_codec()
}

/// Reads the fields of a packet.
struct Reader(Bytes);

type ReadResult<T> = Result<T, &'static str>;

impl Reader {
    fn u8(&mut self) -> ReadResult<u8> {
        self.0.try_get_u8().map_err(|_| "a byte is missing")
    }

    fn u32(&mut self) -> ReadResult<u32> {
        self.0.try_get_u32().map_err(|_| "a number is cut short")
    }

    fn u64(&mut self) -> ReadResult<u64> {
        self.0.try_get_u64().map_err(|_| "a number is cut short")
    }

    fn string(&mut self, max_length: usize) -> ReadResult<Bytes> {
        let length = self.u32()? as usize;
        if length > self.0.len() {
            return Err("a string is cut short");
        }
        if length > max_length { Err("a string is too long") } else { Ok(self.0.split_to(length)) }
    }

    fn path(&mut self) -> ReadResult<String> {
        let path = self.string(MAX_PATH_BYTES)?;
        String::from_utf8(path.to_vec()).map_err(|_| "a path is not UTF-8")
    }

    fn attrs(&mut self) -> ReadResult<Attrs> {
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
            // The packet's length bounds this loop: each pair takes at least eight bytes.
            for _ in 0..self.u32()? {
                self.string(MAX_PACKET_BYTES)?;
                self.string(MAX_PACKET_BYTES)?;
            }
        }
        Ok(attrs)
    }

    fn end(&self) -> ReadResult<()> {
        if self.0.is_empty() { Ok(()) } else { Err("something follows the packet's end") }
    }
}

fn put_string(out: &mut BytesMut, bytes: &[u8]) {
    out.put_u32(bytes.len() as u32);
    out.put_slice(bytes);
}

fn put_attrs(out: &mut BytesMut, attrs: &Attrs) {
    let flag = |present: bool, flag: u32| if present { flag } else { 0 };
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

/// An encoded reply of a storage node, to which any request id can be given.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedReply(Bytes);

/// The position of the request id.
const ID_BYTES: std::ops::Range<usize> = 1..5;

impl EncodedReply {
    /// Encodes a reply, with 0 for its id.
    pub fn new(reply: &Reply) -> EncodedReply {
        let mut out = BytesMut::new();
        reply.encode(0, &mut out);
        EncodedReply(out.freeze())
    }

    /// Returns the encoded reply.
    pub fn into_bytes(self) -> Bytes {
        self.0
    }

    /// Wraps an encoded reply. `None`: the bytes are too short for a reply.
    pub fn from_bytes(bytes: Bytes) -> Option<EncodedReply> {
        (bytes.len() >= ID_BYTES.end).then_some(EncodedReply(bytes))
    }

    /// Returns whether the reply holds a handle.
    pub fn is_handle(&self) -> bool {
        self.0.first() == Some(&HANDLE)
    }

    /// Returns the encoded reply with a request id.
    pub fn with_id(self, id: u32) -> Bytes {
        let mut out = BytesMut::from(self.0);
        out[ID_BYTES].copy_from_slice(&id.to_be_bytes());
        out.freeze()
    }
}

impl Request {
    /// Decodes a packet from a client.
    ///
    /// # Errors
    ///
    /// Fails if the packet is malformed.
    pub fn decode(packet: Bytes) -> Result<Request, Malformed> {
        let mut reader = Reader(packet);
        let no_id = |problem| Malformed { id: None, problem };
        let kind = reader.u8().map_err(no_id)?;
        if kind == INIT {
            // Extension pairs may follow, none of which the front knows.
            return Ok(Request::Init { version: reader.u32().map_err(no_id)? });
        }
        let id = reader.u32().map_err(no_id)?;
        let command =
            Command::decode(kind, &mut reader).map_err(|problem| Malformed { id: Some(id), problem })?;
        Ok(Request::Command { id, command })
    }

    /// Encodes the packet.
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
    fn decode(kind: u8, reader: &mut Reader) -> ReadResult<Command> {
        let command = match kind {
            OPEN => Command::Open { path: reader.path()?, flags: reader.u32()?, attrs: reader.attrs()? },
            CLOSE => Command::Close { handle: reader.string(MAX_HANDLE_BYTES)? },
            READ_PACKET => Command::Read {
                handle: reader.string(MAX_HANDLE_BYTES)?,
                offset: reader.u64()?,
                length: reader.u32()?,
            },
            WRITE_PACKET => Command::Write {
                handle: reader.string(MAX_HANDLE_BYTES)?,
                offset: reader.u64()?,
                data: reader.string(MAX_DATA_BYTES)?,
            },
            LSTAT | STAT => Command::Stat { path: reader.path()?, follow: kind == STAT },
            FSTAT => Command::Fstat { handle: reader.string(MAX_HANDLE_BYTES)? },
            other => return Ok(Command::Unsupported(other)),
        };
        reader.end()?;
        Ok(command)
    }

    fn encode(&self, id: u32, out: &mut BytesMut) {
        let mut put_head = |kind: u8| {
            out.put_u8(kind);
            out.put_u32(id);
        };
        match self {
            Command::Open { path, flags, attrs } => {
                put_head(OPEN);
                put_string(out, path.as_bytes());
                out.put_u32(*flags);
                put_attrs(out, attrs);
            }
            Command::Close { handle } => {
                put_head(CLOSE);
                put_string(out, handle);
            }
            Command::Read { handle, offset, length } => {
                put_head(READ_PACKET);
                put_string(out, handle);
                out.put_u64(*offset);
                out.put_u32(*length);
            }
            Command::Write { handle, offset, data } => {
                put_head(WRITE_PACKET);
                put_string(out, handle);
                out.put_u64(*offset);
                put_string(out, data);
            }
            Command::Stat { path, follow } => {
                put_head(if *follow { STAT } else { LSTAT });
                put_string(out, path.as_bytes());
            }
            Command::Fstat { handle } => {
                put_head(FSTAT);
                put_string(out, handle);
            }
            Command::Unsupported(kind) => put_head(*kind),
        }
    }
}

impl Response {
    /// Decodes a packet from a server.
    ///
    /// # Errors
    ///
    /// Fails if the packet is malformed.
    pub fn decode(packet: Bytes) -> Result<Response, Malformed> {
        let mut reader = Reader(packet);
        let no_id = |problem| Malformed { id: None, problem };
        let kind = reader.u8().map_err(no_id)?;
        let id = reader.u32().map_err(no_id)?;
        if kind == VERSION_PACKET {
            return Ok(Response::Version(id));
        }
        let reply =
            Reply::decode(kind, &mut reader).map_err(|problem| Malformed { id: Some(id), problem })?;
        Ok(Response::Reply { id, reply })
    }

    /// Encodes the packet.
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
    /// Returns a status reply.
    pub fn status(code: Status, text: impl Into<String>) -> Reply {
        Reply::Status { code, text: text.into() }
    }

    fn decode(kind: u8, reader: &mut Reader) -> ReadResult<Reply> {
        let reply = match kind {
            STATUS => {
                let code = reader.u32()?;
                let known = STATUSES.iter().find(|(_, number)| *number == code);
                // Some servers omit the text and its language.
                let text =
                    if reader.0.is_empty() { Bytes::new() } else { reader.string(MAX_PACKET_BYTES)? };
                let text = String::from_utf8_lossy(&text).into_owned();
                return Ok(Reply::Status {
                    code: known.map_or(Status::Failure, |(status, _)| *status),
                    text,
                });
            }
            HANDLE => Reply::Handle(reader.string(MAX_HANDLE_BYTES)?),
            DATA => Reply::Data(reader.string(MAX_DATA_BYTES)?),
            ATTRS => Reply::Attrs(reader.attrs()?),
            _ => return Err("a reply of a kind that nothing here asks for"),
        };
        reader.end()?;
        Ok(reply)
    }

    fn encode(&self, id: u32, out: &mut BytesMut) {
        let mut put_head = |kind: u8| {
            out.put_u8(kind);
            out.put_u32(id);
        };
        match self {
            Reply::Status { code, text } => {
                put_head(STATUS);
                out.put_u32(
                    STATUSES.iter().find(|(status, _)| status == code).map_or(4, |(_, number)| *number),
                );
                put_string(out, text.as_bytes());
                put_string(out, b"en");
            }
            Reply::Handle(handle) => {
                put_head(HANDLE);
                put_string(out, handle);
            }
            Reply::Data(data) => {
                put_head(DATA);
                put_string(out, data);
            }
            Reply::Attrs(attrs) => {
                put_head(ATTRS);
                put_attrs(out, attrs);
            }
        }
    }
}

#[cfg(test)]
mod tests;
