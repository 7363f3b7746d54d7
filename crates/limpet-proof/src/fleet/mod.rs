//! Real processes.
