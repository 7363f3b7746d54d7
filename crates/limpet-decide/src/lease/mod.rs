//! Votes and election of the coordinator of a lease group.
