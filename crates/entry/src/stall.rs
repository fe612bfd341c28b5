//! A caller's connection that ends if the caller reads nothing for too long.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// A connection whose writes fail once one has waited for the limit.
#[derive(Debug)]
pub struct Stall {
    stream: TcpStream,
    limit: Duration,
    /// When the waiting write fails; `None` if no write waits.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl Stall {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            deadline: None,
        }
    }

    /// Result of a write: the error once it has waited for too long.
    fn check<T>(&mut self, context: &mut Context<'_>, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.deadline = None;
            return result;
        }
        let limit = self.limit;
        let deadline = self
            .deadline
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(deadline.as_mut().poll(context));
        tracing::info!(event = "caller-stalled", after_ms = limit.as_millis() as u64);
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stall {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stall {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.check(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
