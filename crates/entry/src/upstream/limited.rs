//! A socket that limits what the other side may send before the head of its answer is complete.
//!
//! The HTTP client limits a single head. It reads on through any number of informational ones, which would keep
//! its thread busy past the deadline of each request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Longest head of an answer, in bytes; those of engines and services take some hundred.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes that may be read until the head is complete: informational heads before it, and a full read buffer
/// of the body behind it.
const MAX_READ_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Value that stands for no limit.
const NO_LIMIT: usize = usize::MAX;

/// Bytes that may still be read.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Limits what is read from now on, as a request is sent.
    pub fn limit(&self) {
        self.0.store(MAX_READ_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, as the head is complete.
    pub fn lift(&self) {
        self.0.store(NO_LIMIT, Ordering::Relaxed);
    }

    /// Takes bytes that were read; returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == NO_LIMIT {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A socket with an allowance for what is read.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    allowance: Allowance,
}

impl Socket {
    /// Socket without a limit yet, and the allowance by which it is limited.
    pub fn new(stream: TcpStream) -> (Self, Allowance) {
        let allowance = Allowance(Arc::new(AtomicUsize::new(NO_LIMIT)));
        let socket = Self {
            stream,
            allowance: allowance.clone(),
        };
        (socket, allowance)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        Poll::Ready(match self.allowance.take(bytes) {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the answer is too long",
            )),
        })
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
