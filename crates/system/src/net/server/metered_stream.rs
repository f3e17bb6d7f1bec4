//! A TCP stream that takes the memory for what it reads from its connection's lease.

use super::connection::{Connection, ConnectionTable, READ_BYTES};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// A TCP stream of a [`Connection`].
pub(super) struct MeteredStream {
    stream: Take<TcpStream>,
    connection: Arc<Connection>,
    table: ConnectionTable,
}

impl MeteredStream {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        table: ConnectionTable,
    ) -> MeteredStream {
        MeteredStream { stream: stream.take(READ_BYTES as u64), connection, table }
    }

    fn writer(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.cover_next_read().is_err() {
            if !self.table.evict_stalled() {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
            // The memory comes back once the task of that connection has run.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        self.stream.set_limit(READ_BYTES as u64);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.connection.received(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(self.writer().poll_write(context, bytes));
        self.connection.moved();
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(self.writer().poll_write_vectored(context, slices));
        self.connection.moved();
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_shutdown(context)
    }
}
