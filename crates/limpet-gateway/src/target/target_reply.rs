//! Reply of a target.

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    StatusCode, //
};

/// A complete reply of a target.
#[derive(Clone, Debug)]
pub struct TargetReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl TargetReply {
    /// Returns the signature in the header `name` if the reply is a success.
    pub fn success_signature(&self, name: &HeaderName) -> Option<&HeaderValue> {
        let is_success = self.status.is_success();
        self.headers.get(name).filter(|_| is_success)
    }
}
