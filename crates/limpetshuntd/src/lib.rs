//! The limpetshunt daemon.
//!
//! An entry receives lookups from callers and sends attempts to the relays that own the targets. The
//! controllers of a process share state through the [`Blackboard`], so that none has to request it from
//! another.

pub mod admin;
pub mod blackboard;
pub mod control;
pub mod controllers;
pub mod daemon;
pub mod entry;
pub mod lease;
pub mod peer_requests;
pub mod relay;
pub mod settings;

pub use blackboard::Blackboard;
pub use settings::Settings;
