//! A reply with a guard that is kept until the reply is sent.

use std::{
    any::Any,
    fmt, //
};

use bytes::Bytes;
use limpet_types::message::PeerReply;

/// A reply, and a guard that is dropped once the reply is sent or can no longer be sent: for example a reservation of the
/// memory that it occupies.
pub struct GuardedReply {
    /// The reply.
    pub reply: PeerReply,
    /// The guard.
    pub guard: Option<Box<dyn Any + Send>>,
}

/// An encoded reply with its guard.
struct GuardedBody {
    body: Vec<u8>,
    _guard: Box<dyn Any + Send>,
}

impl AsRef<[u8]> for GuardedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns an encoded reply that keeps its guard until all of its bytes are sent or dropped: h2 queues up to 400 KB of a body
/// before the socket accepts them.
pub(crate) fn into_guarded(body: Vec<u8>, guard: Option<Box<dyn Any + Send>>) -> Bytes {
    match guard {
        Some(guard) => Bytes::from_owner(GuardedBody {
            body,
            _guard: guard,
        }),
        None => body.into(),
    }
}

impl From<PeerReply> for GuardedReply {
    fn from(reply: PeerReply) -> Self {
        Self { reply, guard: None }
    }
}

impl fmt::Debug for GuardedReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GuardedReply")
            .field("reply", &self.reply)
            .field("has_guard", &self.guard.is_some())
            .finish()
    }
}
