//! The published state of a deployment: routes, services, teams and targets.

mod config;
mod limits;
mod route;
mod service;
mod state_update;
mod target_record;
mod team;

pub use self::{
    config::Config,
    limits::CallerLimits,
    route::{
        Destination,
        Idempotency,
        Route,
        ScatterGather,
        WeightedService, //
    },
    service::Service,
    state_update::{
        Change,
        StateUpdate,
        VersionedChange, //
    },
    target_record::{
        TargetId,
        TargetRecord,
        TargetState, //
    },
    team::Team,
};
