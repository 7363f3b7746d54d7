//! Binary encoding of peer messages.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Largest peer message; a full operators' text of 1 MB and a large answer fit.
pub const MESSAGE_SIZE_MAX_BYTES: usize = 8 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value cannot be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a message of this type.
    #[error("message cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes follow the message.
    #[error("{extra_bytes} bytes follow the message")]
    TrailingBytes {
        /// Number of bytes past the message.
        extra_bytes: usize,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Fails when the value has no binary form.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(
        message,
        bincode::config::standard(),
    )?)
}

/// Decodes a message and refuses bytes past its end.
///
/// # Errors
///
/// Fails on bytes that are not exactly one message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let config = bincode::config::standard().with_limit::<MESSAGE_SIZE_MAX_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)?;
    let extra_bytes = bytes.len() - used;
    if extra_bytes > 0 {
        return Err(CodecError::TrailingBytes { extra_bytes });
    }
    Ok(message)
}
