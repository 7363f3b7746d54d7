//! Stand-in for targets.
