//! Limits of targets in cold start.
