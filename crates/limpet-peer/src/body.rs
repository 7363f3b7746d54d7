//! Reading and writing whole bodies on h2 streams.

use std::future::poll_fn;

use bytes::Bytes;
use h2::{
    RecvStream,
    SendStream, //
};
use limpet_types::codec::MESSAGE_SIZE_MAX_BYTES;

/// Largest body that is handed to h2 at once instead of waiting for capacity: one frame of the default
/// size. More than that for each of thousands of streams would be too much memory in its buffers.
const SMALL_BODY_SIZE_MAX_BYTES: usize = 16 * 1024;

/// Reads a body to its end.
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

/// Writes a body as the flow control of the peer allows and ends the stream.
pub(crate) async fn write_body(
    stream: &mut SendStream<Bytes>,
    mut body: Bytes,
) -> Result<(), h2::Error> {
    if body.len() <= SMALL_BODY_SIZE_MAX_BYTES {
        // h2 keeps it until the window allows: one frame, and no wait for capacity.
        return stream.send_data(body, true);
    }
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = match poll_fn(|cx| stream.poll_capacity(cx)).await {
            Some(capacity) => capacity?,
            None => return Err(h2::Reason::CANCEL.into()),
        };
        let chunk = body.split_to(capacity.min(body.len()));
        if !chunk.is_empty() {
            stream.send_data(chunk, false)?;
        }
    }
    stream.send_data(Bytes::new(), true)
}
