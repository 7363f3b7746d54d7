//! HTTP server for callers: accepts connections, handles requests and builds responses.

mod handler;
mod respond;
mod server;

pub use self::server::{
    FrontendServer,
    serve, //
};
