//! Errors of peer calls.

use std::{
    fmt,
    net::SocketAddr, //
};

/// Kind of a [`PeerError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerErrorKind {
    /// The peer refused the connection; no process listens on the address.
    ConnectionRefused,
    /// Connecting failed for another reason, or took longer than the timeout.
    Unreachable,
    /// The request could not be encoded, or the connection failed before the request was handed over to
    /// the connection.
    NotSent,
    /// The connection or the stream of the call failed, or the reply was too large, after the request was
    /// handed over to the connection.
    ConnectionLost,
    /// No reply arrived before the timeout.
    Timeout,
    /// The peer did not react before the timeout for that, so the request was not sent.
    NotAccepted,
    /// The reply could not be decoded.
    InvalidReply,
}

/// Failure of a call to a peer.
#[derive(Clone, Debug, thiserror::Error)]
pub struct PeerError {
    /// Kind of the failure.
    pub kind: PeerErrorKind,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Human-readable description of the cause.
    pub context: Box<str>,
}

impl PeerError {
    /// Creates an error whose description is the text of `context`.
    pub fn new(kind: PeerErrorKind, peer: SocketAddr, context: impl fmt::Display) -> Self {
        Self {
            kind,
            peer,
            context: context.to_string().into(),
        }
    }

    /// Returns whether the peer took too long.
    pub const fn is_timeout(&self) -> bool {
        matches!(
            self.kind,
            PeerErrorKind::Timeout | PeerErrorKind::NotAccepted
        )
    }

    /// Returns whether it is certain that the peer did not get the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(
            self.kind,
            PeerErrorKind::ConnectionRefused
                | PeerErrorKind::Unreachable
                | PeerErrorKind::NotSent
                | PeerErrorKind::NotAccepted
        )
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer {}: {:?}: {}", self.peer, self.kind, self.context)
    }
}
