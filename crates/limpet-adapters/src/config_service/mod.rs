//! Reads and watches the configuration service.
