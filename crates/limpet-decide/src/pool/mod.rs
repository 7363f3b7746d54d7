//! Connections of one target.
