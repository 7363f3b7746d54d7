//! Limits what a target may send before the head of its reply is complete.
//!
//! Answers this load: a target sends interim replies (1xx) without end. Each is complete and small, so the largest head
//! bounds none of them, and the connection would be read until the deadline of the request.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll,
        ready, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Number of bytes that may still arrive before the head of a reply is complete.
#[derive(Debug)]
pub(super) struct HeadLimit {
    bytes_left: AtomicUsize,
}

impl HeadLimit {
    /// Creates a limit that is not in force.
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            bytes_left: AtomicUsize::new(usize::MAX),
        })
    }

    /// Puts the limit in force: a head is expected.
    pub(super) fn expect_head(&self, bytes_max: usize) {
        self.bytes_left.store(bytes_max, Ordering::Relaxed);
    }

    /// Lifts the limit: the head is complete.
    pub(super) fn record_head(&self) {
        self.bytes_left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts received bytes; returns false if they are more than are left.
    fn try_take(&self, bytes: usize) -> bool {
        let take = |left: usize| match left {
            usize::MAX => Some(left),
            _ => left.checked_sub(bytes),
        };
        let bytes_left = &self.bytes_left;
        bytes_left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// Stream to a target that fails if more arrives before a head is complete than its limit allows.
#[derive(Debug)]
pub(super) struct HeadLimitedStream {
    stream: TcpStream,
    head_limit: Arc<HeadLimit>,
}

impl HeadLimitedStream {
    pub(super) const fn new(stream: TcpStream, head_limit: Arc<HeadLimit>) -> Self {
        Self { stream, head_limit }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - filled_before;
        Poll::Ready(match self.head_limit.try_take(bytes) {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "more bytes than the head of a reply may have",
            )),
        })
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
