//! Adapters to the systems outside: configuration service, VM list, targets.
