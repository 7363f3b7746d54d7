//! Fake targets, a fake deployment, and gateways and callers on loopback addresses.
#![allow(dead_code)]

mod caller;
mod counting_recorder;
mod deployment;
mod fake_peer;
mod reports;
mod slow_reader;
mod target;

#[allow(unused_imports)]
pub(crate) use self::{
    caller::{
        Reply,
        call,
        get,
        post, //
    },
    counting_recorder::CountingRecorder,
    deployment::{
        Deployment,
        LAPSE_LIMITS,
        PEER_PORT,
        RunningGateway,
        config,
        header_names,
        route,
        scatter_gather_route,
        service,
        settings,
        target_record,
        unused_loopback_ip, //
    },
    fake_peer::FakePeer,
    reports::{
        decode_load_report,
        load_datagram,
        regular_report, //
    },
    slow_reader::{
        IDLE_TIMEOUT,
        LARGE_ANSWER_BYTES,
        LARGE_PART_BYTES,
        SMALL_PARTS_ANSWER_BYTES,
        send_without_reading,
        start_large_answer_gateway, //
    },
    target::{
        Behaviour,
        FakeTarget,
        ReceivedRequest,
        cut_response_length, //
    },
};
