//! Benchmarks, load generator and capacity slopes.
