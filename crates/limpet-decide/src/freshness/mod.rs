//! Evidence that the configuration is current.
