//! Admission and fair queueing by team.
