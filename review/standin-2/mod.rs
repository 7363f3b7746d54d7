//! Stand-ins of the second review: the platform's store, backends, clients, and the start of the real processes.
//!
//! Only the standard library is used, so that a case needs nothing but `rustc`.
#![allow(dead_code)]

pub mod backend;
pub mod client;
pub mod config;
pub mod fleet;
pub mod http;
pub mod record;
pub mod store;
