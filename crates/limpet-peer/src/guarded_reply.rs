//! A reply with a guard that is kept until the reply is sent.

use std::{
    any::Any,
    fmt, //
};

use limpet_types::message::PeerReply;

/// A reply, and a guard that is dropped once the reply is sent or can no longer be sent: for example a reservation of the
/// memory that it occupies.
pub struct GuardedReply {
    /// The reply.
    pub reply: PeerReply,
    /// The guard.
    pub guard: Option<Box<dyn Any + Send>>,
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
