//! Reading and writing complete bodies on h2 streams.

use std::{
    future::poll_fn,
    time::Duration, //
};

use bytes::Bytes;
use h2::{
    RecvStream,
    SendStream, //
};
use limpet_types::codec::MESSAGE_SIZE_MAX_BYTES;
use tokio::time::timeout;

/// Maximum size of a body that is written without waiting for flow-control capacity: one frame of
/// the default size. h2 buffers such a body; buffering larger ones on thousands of streams would take
/// too much memory.
const SMALL_BODY_SIZE_MAX_BYTES: usize = 16 * 1024;

/// Longest time for which the receiver of a body may accept nothing of it. A process that was suspended accepts nothing, and
/// its kernel keeps the connection open.
pub(crate) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete body; fails if it is larger than the maximum size of a message.
pub(crate) async fn read_body(mut stream: RecvStream) -> Result<Vec<u8>, h2::Error> {
    let mut body = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        stream.flow_control().release_capacity(chunk.len())?;
        if body.len() + chunk.len() > MESSAGE_SIZE_MAX_BYTES {
            return Err(h2::Reason::ENHANCE_YOUR_CALM.into());
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Writes a complete body, waiting for flow-control capacity, and ends the stream; resets it if the receiver accepts nothing
/// for [`WRITE_STALL_TIMEOUT`].
pub(crate) async fn write_body(
    stream: &mut SendStream<Bytes>,
    mut body: Bytes,
) -> Result<(), h2::Error> {
    if body.len() <= SMALL_BODY_SIZE_MAX_BYTES {
        // h2 buffers the frame until the flow-control window allows it.
        return stream.send_data(body, true);
    }
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx));
        let capacity = match timeout(WRITE_STALL_TIMEOUT, capacity).await {
            Ok(Some(capacity)) => capacity?,
            Ok(None) => return Err(h2::Reason::CANCEL.into()),
            Err(_) => {
                stream.send_reset(h2::Reason::CANCEL);
                return Err(h2::Reason::CANCEL.into());
            }
        };
        let chunk = body.split_to(capacity.min(body.len()));
        if !chunk.is_empty() {
            stream.send_data(chunk, false)?;
        }
    }
    stream.send_data(Bytes::new(), true)
}
