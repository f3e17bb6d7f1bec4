//! A client of file commands.

use super::{Failure, Outcome, STUCK, check, expect, read_packet, write_packet};
use crate::net::sftp::packet::{self, Attrs, Command, Reply, Request, Response, Status, VERSION};
use bytes::Bytes;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

pub struct Client {
    stream: TcpStream,
    last: u32,
}

impl Client {
    /// Connected, with INIT answered.
    pub fn start(address: SocketAddr) -> Outcome<Client> {
        let mut client = Client::connect(address)?;
        write_packet(&mut client.stream, &Request::Init { version: VERSION }.encode())?;
        expect(client.response()?, Response::Version(VERSION), "the answer to INIT")?;
        Ok(client)
    }

    /// Connected, with nothing said.
    pub fn connect(address: SocketAddr) -> Outcome<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(STUCK))?;
        Ok(Client { stream, last: 0 })
    }

    /// A write that makes no progress for this time fails.
    pub fn set_write_timeout(&self, timeout: Duration) -> Outcome {
        Ok(self.stream.set_write_timeout(Some(timeout))?)
    }

    pub fn send_raw(&mut self, bytes: &[u8]) -> Outcome {
        Ok(self.stream.write_all(bytes)?)
    }

    pub fn send(&mut self, command: Command) -> Outcome<u32> {
        self.last += 1;
        write_packet(&mut self.stream, &Request::Command { id: self.last, command }.encode())?;
        Ok(self.last)
    }

    fn response(&mut self) -> Outcome<Response> {
        let packet = read_packet(&mut self.stream)?;
        let packet = packet.ok_or_else(|| Failure::Unmet("the head closed the connection".into()))?;
        Response::decode(packet.into()).map_err(|error| Failure::Unmet(error.to_string()))
    }

    pub fn receive(&mut self) -> Outcome<(u32, Reply)> {
        match self.response()? {
            Response::Reply { id, reply } => Ok((id, reply)),
            Response::Version(_) => Err(Failure::Unmet("a second VERSION".into())),
        }
    }

    /// The reply to this command, which must be the next one.
    pub fn ask(&mut self, command: Command) -> Outcome<Reply> {
        let asked = self.send(command)?;
        let (id, reply) = self.receive()?;
        expect(id, asked, "the id of the reply")?;
        Ok(reply)
    }

    pub fn open(&mut self, path: &str, flags: u32) -> Outcome<Bytes> {
        let open = Command::Open { path: path.to_string(), flags, attrs: Attrs::default() };
        match self.ask(open)? {
            Reply::Handle(handle) => Ok(handle),
            other => Err(Failure::Unmet(format!("OPEN of {path} got {other:?}"))),
        }
    }

    pub fn write(&mut self, handle: &Bytes, offset: usize, data: &[u8]) -> Outcome {
        let (handle, data) = (handle.clone(), Bytes::copy_from_slice(data));
        let reply = self.ask(Command::Write { handle, offset: offset as u64, data })?;
        check(is(&reply, Status::Ok), format!("WRITE at {offset} got {reply:?}"))
    }

    pub fn close(&mut self, handle: Bytes) -> Outcome {
        let reply = self.ask(Command::Close { handle })?;
        check(is(&reply, Status::Ok), format!("CLOSE got {reply:?}"))
    }

    /// The whole file, in however many pieces it comes.
    pub fn get(&mut self, path: &str, ask_for: u32) -> Outcome<Vec<u8>> {
        let (handle, mut data) = (self.open(path, packet::READ)?, Vec::new());
        loop {
            let (handle, offset) = (handle.clone(), data.len() as u64);
            match self.ask(Command::Read { handle, offset, length: ask_for })? {
                Reply::Data(part) => data.extend_from_slice(&part),
                reply if is(&reply, Status::Eof) => break,
                other => return Err(Failure::Unmet(format!("READ at {offset} got {other:?}"))),
            }
        }
        self.close(handle)?;
        Ok(data)
    }

    /// Whether the head has closed the connection, having said nothing more.
    pub fn closed_by_head(&mut self) -> bool {
        // A reset says the same as an orderly end.
        read_packet(&mut self.stream).map_or(true, |packet| packet.is_none())
    }

    pub fn leave(self) -> Outcome {
        Ok(self.stream.shutdown(Shutdown::Both)?)
    }
}

pub fn is(reply: &Reply, status: Status) -> bool {
    matches!(reply, Reply::Status { code, .. } if *code == status)
}
