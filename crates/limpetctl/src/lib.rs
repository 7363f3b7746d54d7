//! `limpetctl`, the command-line tool that queries and inspects a limpetshunt fleet.

pub mod arguments;
pub mod command;
pub mod exit_status;
pub mod http_client;
mod output;

pub use arguments::Arguments;
