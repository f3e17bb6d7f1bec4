//! A client's connection, for all fronts. Its bytes are read ahead of the parser, so that its end is noticed
//! even while the parser reads nothing. It is closed by a lingering close: the write end first, then the
//! remaining bytes are read.

use crate::net::slots::Slot;
use crate::net::socket;
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

/// The most bytes read ahead of the parser. With more unread, the end is known only from the kernel's
/// readiness.
const MAX_READ_AHEAD: usize = 4 * 1024;
/// The most bytes per read.
const READ_SIZE: usize = 4 * 1024;
/// How often the kernel is asked for the end of the connection while the read-ahead buffer is full.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long bytes are read after the last answer, and at most how many. Closing a socket with unread bytes
/// resets the connection, and a reset can overtake an answer that was written.
const LINGER_TIME: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// The most bytes that are read behind a request while its answer is awaited.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// How the client's side of the connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadEnd {
    /// An orderly end: the client sends nothing more and is taken to have left.
    InOrder,
    /// A read failed.
    Broken(ErrorKind),
}

/// What becomes of bytes that come ahead of the parser when [`MAX_READ_AHEAD`] of them are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Surplus {
    /// They stay in the kernel: they may belong to the request that is being read.
    Unread,
    /// They come behind a request that is complete. They are read and thrown away, so that neither the kernel nor this
    /// process holds them, and the connection ends with the answer.
    Refused,
    /// So many have been thrown away.
    Discarded(usize),
}

#[derive(Debug)]
struct State {
    read: OwnedReadHalf,
    /// Bytes that were read and not yet parsed.
    ahead: BytesMut,
    ended: Option<ReadEnd>,
    /// What becomes of bytes for which there is no room in `ahead`.
    surplus: Surplus,
    /// The answer is given, and not written whole yet.
    answer_given: bool,
    /// The waker of the parser while it waits for bytes: any other reader has to wake it.
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

    /// Whether no more is read ahead.
    fn full(&self) -> bool {
        self.ahead.len() >= MAX_READ_AHEAD && !self.discards()
    }

    /// The bytes of the next read ahead: no more than are held, unless what comes is thrown away.
    fn room(&self) -> usize {
        match self.discards() {
            true => READ_SIZE,
            false => READ_SIZE.min(MAX_READ_AHEAD - self.ahead.len()),
        }
    }

    /// Whether bytes beyond those that are held are thrown away.
    fn discards(&self) -> bool {
        self.surplus != Surplus::Unread
    }

    /// Whether bytes have been thrown away: what follows cannot be parsed.
    fn has_discarded(&self) -> bool {
        matches!(self.surplus, Surplus::Discarded(_))
    }

    /// Reads ahead until no more bytes are available; ready once the connection has ended or the buffer is
    /// full.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.ended.is_none() && !self.full() {
            let mut piece = [0; READ_SIZE];
            let room = self.room();
            let mut piece = ReadBuf::new(&mut piece[..room]);
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

    /// Reads ahead directly from the socket: the runtime's readiness is only as recent as its last poll.
    fn read_now(&mut self) {
        while self.ended.is_none() && !self.full() {
            let mut piece = [0; READ_SIZE];
            let read = {
                let socket = SockRef::from(self.read.as_ref());
                let mut socket: &Socket = &socket;
                socket.read(&mut piece[..self.room()])
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
            Ok([]) => self.ended = Some(ReadEnd::InOrder),
            Ok(bytes) if self.has_discarded() || self.is_surplus(bytes) => self.discard(bytes.len()),
            Ok(bytes) => self.ahead.extend_from_slice(bytes),
            Err(error) => self.ended = Some(ReadEnd::Broken(error.kind())),
        }
        self.wake();
    }

    /// Whether there is no room for bytes that came.
    fn is_surplus(&self, bytes: &[u8]) -> bool {
        self.discards() && self.ahead.len() + bytes.len() > MAX_READ_AHEAD
    }

    /// All that was given to the connection is written.
    fn written(&mut self) {
        if std::mem::take(&mut self.answer_given) && self.surplus == Surplus::Refused {
            self.surplus = Surplus::Unread;
        }
    }

    /// Throws bytes away, and with them what is held of the requests that they belong to. A client that goes on
    /// sending for too long counts as one that has left.
    fn discard(&mut self, bytes: usize) {
        let before = match self.surplus {
            Surplus::Discarded(before) => before,
            Surplus::Unread | Surplus::Refused => 0,
        };
        self.ahead = BytesMut::new();
        self.surplus = Surplus::Discarded(before + bytes);
        if before + bytes > MAX_DISCARDED_BYTES {
            self.ended = Some(ReadEnd::Broken(ErrorKind::InvalidData));
        }
    }

    /// Returns whether the connection ended after bytes that are still unread.
    fn ended_behind(&self) -> bool {
        let readiness = self.read.as_ref().ready(Interest::READABLE).now_or_never();
        readiness.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
    }
}

/// The half of the connection for the parser. Dropping it shuts the write end down.
#[derive(Debug)]
pub struct Inbound {
    state: Arc<Mutex<State>>,
    write: OwnedWriteHalf,
}

/// A handle that tells whether the client is still connected.
#[derive(Clone, Debug)]
pub struct Presence(Arc<Mutex<State>>);

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Inbound {
    /// Splits a connection into the parser's half and a handle on the client's presence.
    pub fn new(stream: TcpStream) -> (Inbound, Presence) {
        // A reset would discard a small answer that the kernel still delays. A socket that rejects the option
        // is broken, and reads from it fail.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let state = State {
            read,
            ahead: BytesMut::new(),
            ended: None,
            surplus: Surplus::Unread,
            answer_given: false,
            parser: None,
        };
        let state = Arc::new(Mutex::new(state));
        (Inbound { state: state.clone(), write }, Presence(state))
    }
}

impl Presence {
    /// Returns whether the client has closed or lost its connection, as the kernel knows it now.
    pub fn has_left(&self) -> bool {
        let mut state = lock(&self.0);
        state.read_now();
        state.ended.is_some() || state.full() && state.ended_behind()
    }

    /// Returns whether bytes have arrived that are not parsed yet, as the kernel knows it now.
    pub fn has_unread(&self) -> bool {
        let mut state = lock(&self.0);
        state.read_now();
        !state.ahead.is_empty()
    }

    /// A body arrives for which there is memory, so that more of it may be under way; or no longer.
    pub fn widen(&self, wide: bool) {
        socket::widen(&SockRef::from(lock(&self.0).read.as_ref()), wide);
    }

    /// The request is complete and awaits its answer. What comes behind it is held up to a bound; with
    /// more, the connection ends with the answer.
    pub fn request_complete(&self) {
        let mut state = lock(&self.0);
        state.answer_given = false;
        if state.surplus == Surplus::Unread {
            state.surplus = Surplus::Refused;
        }
    }

    /// The answer is given to the connection: what comes once it is written is the next request.
    pub fn answer_given(&self) {
        lock(&self.0).answer_given = true;
    }

    /// Returns whether bytes were thrown away that came behind a request: its answer is the connection's last.
    pub fn has_discarded(&self) -> bool {
        lock(&self.0).has_discarded()
    }

    /// Waits until [`Presence::has_discarded`]. Only the task of the parser may call this.
    pub async fn discarded(&self) {
        poll_fn(|_| match self.has_discarded() {
            true => Poll::Ready(()),
            // Whoever reads wakes the parser's task.
            false => Poll::Pending,
        })
        .await;
    }

    /// Waits until the client has left. Only the task of the parser may call this: the socket wakes only one
    /// task.
    pub async fn left(&self) {
        loop {
            poll_fn(|cx| lock(&self.0).poll_ahead(cx)).await;
            if self.has_left() {
                return;
            }
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Reads and discards bytes after the last answer, once the write end is shut down, until the client
    /// closes its side, a limit of time or bytes is reached, or the slot is wanted.
    pub async fn linger(&self, slot: &Slot) {
        slot.lingers();
        let rest = async {
            let mut read = 0;
            while read < MAX_LINGER_BYTES {
                poll_fn(|cx| lock(&self.0).poll_ahead(cx)).await;
                let mut state = lock(&self.0);
                read += state.ahead.len();
                state.ahead = BytesMut::new();
                if state.ended.is_some() {
                    return;
                }
            }
        };
        tokio::select! {
            _ = timeout(LINGER_TIME, rest) => {}
            _ = slot.asked_to_leave() => {}
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
            if state.ahead.is_empty() {
                state.ahead = BytesMut::new();
            }
            return Poll::Ready(Ok(()));
        }
        if state.has_discarded() && state.ended.is_none() {
            state.wait(cx);
            return Poll::Pending;
        }
        match state.ended {
            Some(ReadEnd::InOrder) => return Poll::Ready(Ok(())),
            Some(ReadEnd::Broken(kind)) => return Poll::Ready(Err(kind.into())),
            None => {}
        }
        let (before, room) = (buf.filled().len(), buf.remaining() > 0);
        match Pin::new(&mut state.read).poll_read(cx, buf) {
            Poll::Pending => {
                state.wait(cx);
                return Poll::Pending;
            }
            Poll::Ready(Ok(())) if room && buf.filled().len() == before => {
                state.ended = Some(ReadEnd::InOrder);
            }
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => {
                state.ended = Some(ReadEnd::Broken(error.kind()));
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
        let flushed = Pin::new(&mut self.write).poll_flush(cx);
        if flushed.is_ready() {
            lock(&self.state).written();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
