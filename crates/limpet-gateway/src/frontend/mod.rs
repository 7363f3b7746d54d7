//! HTTP server for callers: accepts connections, handles requests and builds responses.

mod handler;
mod response;
mod server;

pub use self::server::{
    FrontendServer,
    serve, //
};
