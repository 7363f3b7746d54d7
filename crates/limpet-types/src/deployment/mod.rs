//! The published state of a deployment: routes, services, teams and targets.

mod config;
mod limits;
mod route;
mod service;
mod target_record;
mod team;
mod update;

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
    target_record::{
        TargetId,
        TargetRecord,
        TargetState, //
    },
    team::Team,
    update::{
        Change,
        Update,
        VersionedChange, //
    },
};
