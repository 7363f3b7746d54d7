//! Client of targets.
