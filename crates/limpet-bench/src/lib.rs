//! Benchmarks and load generation.

pub mod example;
pub mod fanout;
pub mod idle;
pub mod load;
pub mod ports;
pub mod slopes;
