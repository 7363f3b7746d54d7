//! Targets that send a part of a reply, or bytes that are none.

mod support;

use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    RunningGateway,
    config,
    cut_response_length,
    get,
    route,
    scatter_gather_route,
    target_record, //
};

/// Starts a gateway with a route to one target and one that gathers from it.
async fn start_gateway(target: &FakeTarget) -> RunningGateway {
    let routes = vec![
        scatter_gather_route("/all/", &["s"], 0.5),
        route("/one/", Idempotency::Idempotent, "s"),
    ];
    let deployment = Deployment::new();
    deployment.publish_config(config(1, routes, &["s"]));
    deployment.publish_target("t", target_record("s", target.addr));
    RunningGateway::start(&deployment).await
}

/// Cuts a reply after each of its bytes in turn; checks that the caller never gets a success.
async fn cut_reply_is_no_success(path: &str) {
    let length = cut_response_length("request-1");
    let target = FakeTarget::start(|index, _| Behaviour::CutAfter(index)).await;
    let gateway = start_gateway(&target).await;
    for index in 0..length {
        let reply = get(gateway.caller_addr, path).await;
        assert!(reply.status >= 500, "cut after {index}: {reply:?}");
    }
    assert_eq!(target.received_requests().len(), length);
    assert_eq!(
        get(gateway.caller_addr, path).await.status,
        200,
        "the whole reply"
    );
}

// Guards against a reply that ends within its head or its body and looks complete to the caller.
limpet_testkit::async_cases! {
    cut_reply_is_no_success:
    cut_reply_of_one_target => "/one/a",
    cut_part => "/all/a",
}

/// Checks that bytes that are no complete answer to a request are not passed on as one.
async fn odd_reply_is_no_success(bytes: &'static str) {
    let target = FakeTarget::always(Behaviour::Raw(bytes)).await;
    let gateway = start_gateway(&target).await;
    for path in ["/one/a", "/all/a"] {
        let reply = get(gateway.caller_addr, path).await;
        assert!(reply.status >= 500, "{path}: {reply:?}");
    }
}

// Guards against an interim reply, or one with an ambiguous end, that is taken for the answer.
limpet_testkit::async_cases! {
    odd_reply_is_no_success:
    no_bytes => "",
    no_http => "0123456789abcdef",
    interim_reply_only => "HTTP/1.1 100 Continue\r\n\r\n",
    switch_of_protocols => "HTTP/1.1 101 Switching Protocols\r\nt-id: ID\r\nt-signature: s\r\n\r\n",
    unknown_interim_reply => "HTTP/1.1 199 Odd\r\nt-id: ID\r\nt-signature: s\r\n\r\n",
    two_lengths => "HTTP/1.1 200 OK\r\nt-id: ID\r\nt-signature: s\r\ncontent-length: 4\r\n\
        content-length: 16\r\n\r\n0123456789abcdef",
    signed_length => "HTTP/1.1 200 OK\r\nt-id: ID\r\nt-signature: s\r\ncontent-length: +4\r\n\r\nabcd",
    chunks_without_end => "HTTP/1.1 200 OK\r\nt-id: ID\r\nt-signature: s\r\ntransfer-encoding: chunked\r\n\r\n\
        4\r\nabcd\r\n",
    chunk_cut_short => "HTTP/1.1 200 OK\r\nt-id: ID\r\nt-signature: s\r\ntransfer-encoding: chunked\r\n\r\n\
        10\r\nabcd",
    encoded_body => "HTTP/1.1 200 OK\r\nt-id: ID\r\nt-signature: s\r\ncontent-encoding: gzip\r\n\
        content-length: 4\r\n\r\nabcd",
}
