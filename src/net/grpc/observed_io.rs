//! A socket wrapper that shows every byte read and written to an observer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Receives the bytes that pass through an [`ObservedIo`].
pub trait IoObserver: Unpin {
    /// Called with bytes that were read from the socket.
    fn on_read(&mut self, bytes: &[u8]);
    /// Called with bytes that the socket has accepted.
    fn on_written(&mut self, bytes: &[u8]);
    /// Called when a write to the socket would block.
    fn on_write_blocked(&mut self) {}
}

/// A stream that reports its reads and writes to an [`IoObserver`].
pub struct ObservedIo<S, T> {
    stream: S,
    observer: T,
}

impl<S, T: IoObserver> ObservedIo<S, T> {
    /// Wraps `stream`; `observer` observes its bytes.
    pub fn new(stream: S, observer: T) -> ObservedIo<S, T> {
        ObservedIo { stream, observer }
    }
}

impl<S: AsyncRead + Unpin, T: IoObserver> AsyncRead for ObservedIo<S, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.observer.on_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin, T: IoObserver> AsyncWrite for ObservedIo<S, T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Ready(written) => written?,
            Poll::Pending => {
                self.observer.on_write_blocked();
                return Poll::Pending;
            }
        };
        self.observer.on_written(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = match Pin::new(&mut self.stream).poll_write_vectored(cx, bufs) {
            Poll::Ready(written) => written?,
            Poll::Pending => {
                self.observer.on_write_blocked();
                return Poll::Pending;
            }
        };
        let mut remaining = written;
        for buf in bufs {
            let observed = remaining.min(buf.len());
            self.observer.on_written(&buf[..observed]);
            remaining -= observed;
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
