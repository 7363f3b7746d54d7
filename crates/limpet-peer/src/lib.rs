//! Transport between limpetshunt processes: bincode messages over h2 streams.
//!
//! Each call is one stream with one request and one reply. A dropped call resets its stream, which
//! cancels the handler on the other side.

mod body;
mod client;
mod connection;
mod error;
mod server;
mod traffic;

pub use client::PeerClient;
pub use error::{
    PeerError,
    PeerErrorKind, //
};
pub use server::{
    PeerServer,
    serve, //
};
