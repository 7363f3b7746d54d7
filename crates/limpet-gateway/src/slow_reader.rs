//! Limits for clients that read their answers slowly or not at all.
//!
//! An answer that was not sent yet occupies memory: that of the process, and the send buffer of the connection.

use std::{
    error::Error as _,
    io::ErrorKind,
    pin::Pin,
    time::Duration, //
};

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio_io_timeout::TimeoutStream;

/// Size of the send buffer of a connection; Linux doubles it. Without a limit it grows up to 4 MB, which no setting bounds
/// for all connections together.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Limits the send buffer of a connection, and lets it fail if nothing can be sent for `stall_timeout`.
///
/// The buffer accepts more once a third of it is free, so a reader must take about 90 KB in that time.
///
/// # Errors
///
/// Fails if the client has already closed the connection.
pub(crate) fn limit_sends(
    stream: TcpStream,
    stall_timeout: Duration,
) -> std::io::Result<Pin<Box<TimeoutStream<TcpStream>>>> {
    SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(stall_timeout));
    Ok(Box::pin(stream))
}

/// Returns whether a connection failed because its client read nothing.
pub(crate) fn is_stalled(error: &hyper::Error) -> bool {
    let source = error
        .source()
        .and_then(|source| source.downcast_ref::<std::io::Error>());
    source.is_some_and(|source| source.kind() == ErrorKind::TimedOut)
}
