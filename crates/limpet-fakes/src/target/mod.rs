//! Stand-in for a target.
