//! A client's connection, whichever front speaks on it. Its bytes are read ahead of whoever parses them, so that its end
//! is seen also while nobody wants any; and it is closed in one way: the write end first, then what still comes is read.

use crate::net::slots::Slot;
use bytes::{Buf, BytesMut};
use futures_util::FutureExt;
use socket2::{SockRef, Socket};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Duration, sleep, timeout};

/// Bytes read ahead of the parser. Behind so many the end is known by the system's word alone.
const MOST_AHEAD: usize = 32 * 1024;
const PIECE: usize = 4 * 1024;
/// With as many ahead as there may be, the system is asked this often.
const LOOK: Duration = Duration::from_millis(25);
/// A close over unread bytes resets the connection, and a reset overtakes an answer that was written. What a client
/// still sends behind its last answer is read for so long, and up to so much.
const LINGER: Duration = Duration::from_secs(1);
const MOST_LINGER: usize = 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// In order: its client sends nothing more, and is taken to be gone.
    InOrder,
    Broken(ErrorKind),
}

#[derive(Debug)]
struct State {
    read: OwnedReadHalf,
    ahead: BytesMut,
    ended: Option<Ended>,
    /// The task that parses, where it waits for bytes: whoever else reads them has to wake it.
    parser: Option<Waker>,
}

impl State {
    fn wake(&mut self) {
        self.parser.take().into_iter().for_each(Waker::wake);
    }

    fn wait(&mut self, cx: &Context<'_>) {
        if !self.parser.as_ref().is_some_and(|parser| parser.will_wake(cx.waker())) {
            self.parser = Some(cx.waker().clone());
        }
    }

    fn full(&self) -> bool {
        self.ahead.len() >= MOST_AHEAD
    }

    /// Reads ahead until nothing more has come; ready with the end, or with as much as there may be.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.ended.is_none() && !self.full() {
            let mut piece = [0; PIECE];
            let mut piece = ReadBuf::new(&mut piece);
            match Pin::new(&mut self.read).poll_read(cx, &mut piece) {
                Poll::Pending => {
                    self.wait(cx);
                    return Poll::Pending;
                }
                Poll::Ready(read) => self.note(read.map(|()| piece.filled())),
            }
        }
        Poll::Ready(())
    }

    /// The same at this very moment: what the runtime knows of a socket is as old as its last look.
    fn read_now(&mut self) {
        while self.ended.is_none() && !self.full() {
            let mut piece = [0; PIECE];
            let read = {
                let socket = SockRef::from(self.read.as_ref());
                let mut socket: &Socket = &socket;
                socket.read(&mut piece)
            };
            match read {
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => self.note(read.map(|read| &piece[..read])),
            }
        }
    }

    fn note(&mut self, read: io::Result<&[u8]>) {
        match read {
            Ok([]) => self.ended = Some(Ended::InOrder),
            Ok(bytes) => self.ahead.extend_from_slice(bytes),
            Err(error) => self.ended = Some(Ended::Broken(error.kind())),
        }
        self.wake();
    }

    /// Whether the end has come behind bytes that are not read.
    fn ended_behind(&self) -> bool {
        let readiness = self.read.as_ref().ready(Interest::READABLE).now_or_never();
        readiness.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
    }
}

/// The connection as a parser has it. Dropped, its write end is shut.
#[derive(Debug)]
pub struct Inbound {
    state: Arc<Mutex<State>>,
    write: OwnedWriteHalf,
}

/// The connection as all others have it.
#[derive(Clone, Debug)]
pub struct Presence(Arc<Mutex<State>>);

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Inbound {
    /// A client's connection, and whether its client is still there.
    pub fn new(stream: TcpStream) -> (Inbound, Presence) {
        // A small answer that the system still holds back would go with a reset; a socket that cannot be set is broken, and
        // tells so when it is read.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let state = State { read, ahead: BytesMut::new(), ended: None, parser: None };
        let state = Arc::new(Mutex::new(state));
        (Inbound { state: state.clone(), write }, Presence(state))
    }
}

impl Presence {
    /// Whether the client has closed or lost its connection, as the system has it now.
    pub fn has_left(&self) -> bool {
        let mut state = lock(&self.0);
        state.read_now();
        state.ended.is_some() || state.full() && state.ended_behind()
    }

    /// Whether something has come that nobody has parsed, as the system has it now.
    pub fn has_unread(&self) -> bool {
        let mut state = lock(&self.0);
        state.read_now();
        !state.ahead.is_empty()
    }

    /// Waits until the client is gone. For the task that parses: only one is woken by the socket.
    pub async fn left(&self) {
        loop {
            poll_fn(|cx| lock(&self.0).poll_ahead(cx)).await;
            if self.has_left() {
                return;
            }
            sleep(LOOK).await;
        }
    }

    /// Reads what still comes behind the last answer, once the write end is shut, until the client shuts its own; for a
    /// while, and not where the place is wanted.
    pub async fn linger(&self, slot: &Slot) {
        slot.lingers();
        let rest = async {
            let mut read = 0;
            while read < MOST_LINGER {
                poll_fn(|cx| lock(&self.0).poll_ahead(cx)).await;
                let mut state = lock(&self.0);
                read += state.ahead.len();
                state.ahead.clear();
                if state.ended.is_some() {
                    return;
                }
            }
        };
        tokio::select! {
            _ = timeout(LINGER, rest) => {}
            _ = slot.told_to_leave() => {}
        }
    }
}

impl AsyncRead for Inbound {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut state = lock(&self.state);
        if !state.ahead.is_empty() {
            let part = state.ahead.len().min(buf.remaining());
            buf.put_slice(&state.ahead[..part]);
            state.ahead.advance(part);
            return Poll::Ready(Ok(()));
        }
        match state.ended {
            Some(Ended::InOrder) => return Poll::Ready(Ok(())),
            Some(Ended::Broken(kind)) => return Poll::Ready(Err(kind.into())),
            None => {}
        }
        let (before, room) = (buf.filled().len(), buf.remaining() > 0);
        match Pin::new(&mut state.read).poll_read(cx, buf) {
            Poll::Pending => {
                state.wait(cx);
                return Poll::Pending;
            }
            Poll::Ready(Ok(())) if room && buf.filled().len() == before => {
                state.ended = Some(Ended::InOrder);
            }
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => {
                state.ended = Some(Ended::Broken(error.kind()));
                return Poll::Ready(Err(error));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Inbound {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
