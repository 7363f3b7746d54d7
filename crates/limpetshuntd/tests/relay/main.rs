//! Tests of the relay against stand-in targets in the same process.

mod cold;
mod connections;
mod fair;
mod harness;
mod poison;
mod rights;
