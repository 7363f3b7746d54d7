//! Rate tokens and target ownership at a coordinator.
