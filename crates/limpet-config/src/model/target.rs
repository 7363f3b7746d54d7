//! Targets.

use limpet_types::{
    TargetAddr,
    TargetName,
    ZoneName, //
};

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It may.
    Live,
    /// It is leaving and may not.
    Leaving,
}

/// One replica of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name, unique in the text.
    pub name: TargetName,
    /// Address, unique in the text; identifies the target.
    pub addr: TargetAddr,
    /// Zone.
    pub zone: ZoneName,
    /// Whether it may get new work.
    pub state: TargetState,
}
