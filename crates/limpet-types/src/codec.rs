//! Binary encoding of peer messages.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Maximum size of a peer message: enough for a configuration text of 1 MB or for a large answer.
pub const MESSAGE_SIZE_MAX_BYTES: usize = 8 << 20;

/// Reason why a message cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value cannot be encoded.
    #[error("cannot encode the message: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes do not form a message of this type.
    #[error("cannot decode the message: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes are left over after the message.
    #[error("{extra_bytes} unexpected bytes after the message")]
    TrailingBytes {
        /// Number of bytes after the message.
        extra_bytes: usize,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the value cannot be represented in the encoding.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(
        message,
        bincode::config::standard(),
    )?)
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// Fails unless the bytes are exactly one message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let config = bincode::config::standard().with_limit::<MESSAGE_SIZE_MAX_BYTES>();
    let (message, decoded_bytes) = bincode::serde::decode_from_slice(bytes, config)?;
    let extra_bytes = bytes.len() - decoded_bytes;
    if extra_bytes > 0 {
        return Err(CodecError::TrailingBytes { extra_bytes });
    }
    Ok(message)
}
