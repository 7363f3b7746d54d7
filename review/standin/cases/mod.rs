//! The cases that are scripts.

mod foreign_keys;
mod own_503;
mod popular_query;
mod watch_cut;

use std::io;

use crate::{Setup, Verdict};

/// Runs a case by its name.
pub fn run(case: &str, setup: &Setup) -> io::Result<Verdict> {
    match case {
        "foreign-keys" => foreign_keys::run(setup),
        "own-503" => own_503::run(setup),
        "popular-query" => popular_query::run(setup),
        "watch-cut" => watch_cut::run(setup),
        _ => Err(io::Error::other("unknown case")),
    }
}

/// Returns a configuration with one route to one service, open to all.
fn one_route(version: u64, kind: &str, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-orders\",\"host\":\"shop.example\",\"prefix\":\"/orders/\",\
         \"kind\":\"{kind}\",\"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"{service}\",\
         \"maxAttempts\":2,\"public\":true}}],\"services\":[{{\"name\":\"{service}\",\"healthPath\":\"/health\",\
         \"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}
