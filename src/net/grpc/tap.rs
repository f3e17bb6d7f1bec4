//! A socket whose frames are looked at as they pass, in either direction.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Told of bytes that came from the socket and of those that it took.
pub trait Tap: Unpin {
    fn read(&mut self, bytes: &[u8]);
    fn wrote(&mut self, bytes: &[u8]);
    /// The socket takes nothing at the moment.
    fn blocked(&mut self) {}
}

pub struct Tapped<S, T> {
    stream: S,
    tap: T,
}

impl<S, T: Tap> Tapped<S, T> {
    pub fn new(stream: S, tap: T) -> Tapped<S, T> {
        Tapped { stream, tap }
    }
}

impl<S: AsyncRead + Unpin, T: Tap> AsyncRead for Tapped<S, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.tap.read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin, T: Tap> AsyncWrite for Tapped<S, T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Ready(written) => written?,
            Poll::Pending => {
                self.tap.blocked();
                return Poll::Pending;
            }
        };
        self.tap.wrote(&buf[..written]);
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
                self.tap.blocked();
                return Poll::Pending;
            }
        };
        let mut left = written;
        for buf in bufs {
            let taken = left.min(buf.len());
            self.tap.wrote(&buf[..taken]);
            left -= taken;
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
