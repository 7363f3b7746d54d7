//! Load generator, benchmarks and example configurations of limpetshunt.

pub mod example;
pub mod fanout;
pub mod idle;
pub mod load;
pub mod ports;
pub mod slopes;
