//! Errors of peer calls.

use std::{
    fmt,
    net::SocketAddr, //
};

/// What went wrong in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerErrorKind {
    /// Nothing listens at the address.
    ConnectionRefused,
    /// No connection within the time.
    Unreachable,
    /// The connection ended before the request was handed to it.
    NotSent,
    /// The connection ended after the request was handed to it.
    ConnectionLost,
    /// No reply within the time.
    Timeout,
    /// The message could not be encoded or decoded.
    Codec,
}

/// A failed call: kind plus context.
#[derive(Clone, Debug, thiserror::Error)]
pub struct PeerError {
    /// What went wrong.
    pub kind: PeerErrorKind,
    /// Peer called.
    pub peer: SocketAddr,
    /// Detail for a person.
    pub context: Box<str>,
}

impl PeerError {
    /// Creates an error.
    pub fn new(kind: PeerErrorKind, peer: SocketAddr, context: impl fmt::Display) -> Self {
        Self {
            kind,
            peer,
            context: context.to_string().into(),
        }
    }

    /// Returns whether the peer certainly did not get the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(
            self.kind,
            PeerErrorKind::ConnectionRefused | PeerErrorKind::Unreachable | PeerErrorKind::NotSent
        )
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer {}: {:?}: {}", self.peer, self.kind, self.context)
    }
}
