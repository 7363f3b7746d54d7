//! State of a deployment, as operators and targets publish it: routes, services, teams, zones and targets.

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
