//! Tests of the relay with fake targets in the same process.

mod concurrency_limits;
mod connections;
mod harness;
mod ownership_and_drain;
mod quarantine;
mod team_fairness;
