//! Which revision of the configuration may replace which.
