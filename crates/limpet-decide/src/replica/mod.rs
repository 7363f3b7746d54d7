//! Replica selection.
