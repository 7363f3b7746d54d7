//! Stand-ins for targets and the source, and a whole gateway on loopback.
#![allow(dead_code)]

mod caller;
mod fleet;
mod target;

#[allow(unused_imports)]
pub(crate) use self::{
    caller::{
        Reply,
        call,
        get,
        post, //
    },
    fleet::{
        Deployment,
        PEER_PORT,
        RunningGateway,
        gather_route,
        header_names,
        own_ip,
        record,
        route,
        service,
        settings,
        text, //
    },
    target::{
        Arrival,
        Behaviour,
        StandInTarget, //
    },
};
