//! The side of the callers.

mod handler;
mod respond;
mod server;

pub use self::server::{
    FrontendServer,
    serve, //
};
