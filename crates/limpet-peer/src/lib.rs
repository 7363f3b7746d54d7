//! Transport between limpetshunt processes: bincode messages over h2 streams.
//!
//! Each call uses one stream for one request and one reply. Dropping the future of a call resets
//! the stream, which cancels the handler at the peer.

mod body;
mod client;
mod connection;
mod error;
mod guarded_reply;
mod message_metrics;
mod server;

pub use client::PeerClient;
pub use error::{
    PeerError,
    PeerErrorKind, //
};
pub use guarded_reply::GuardedReply;
pub use server::{
    PeerServer,
    serve, //
};
