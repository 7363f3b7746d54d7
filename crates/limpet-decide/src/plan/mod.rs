//! Query plans and coverage.
