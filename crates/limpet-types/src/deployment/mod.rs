//! What a deployment publishes: routes, services, teams and targets.

mod limits;
mod route;
mod service;
mod target_record;
mod team;
mod text;
mod update;

pub use self::{
    limits::CallerLimits,
    route::{
        Destination,
        Gather,
        Repeat,
        Route,
        WeightedService, //
    },
    service::Service,
    target_record::{
        TargetId,
        TargetRecord,
        TargetState, //
    },
    team::Team,
    text::Text,
    update::{
        Change,
        StampedChange,
        Update, //
    },
};
