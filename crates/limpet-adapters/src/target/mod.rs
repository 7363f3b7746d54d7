//! Adapter to targets.
