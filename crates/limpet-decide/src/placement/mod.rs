//! Which relay is preferred for which target.
