//! Route and team of a request.

mod support;

use std::sync::Arc;

use limpet_gateway::route_table::{
    ApiKeyError,
    RouteTable, //
};
use limpet_types::deployment::Idempotency;
use support::{
    config,
    route, //
};

fn table() -> RouteTable {
    let mut open = route("/a/open/", Idempotency::Idempotent, "s");
    open.is_public = true;
    let mut other = route("/a/", Idempotency::Idempotent, "s");
    other.name = "other".into();
    other.host = "Other.example".into();
    let routes = vec![
        route("/a/", Idempotency::Idempotent, "s"),
        route("/a/b/", Idempotency::Idempotent, "s"),
        open,
        other,
    ];
    RouteTable::new(Arc::new(config(1, routes, &["s"])))
}

fn finds_route((host, path, expected): (&str, &str, Option<&str>)) {
    let table = table();
    assert_eq!(table.route(host, path).map(|route| &*route.name), expected);
}

// Guards against requests that are forwarded to the service of another route.
limpet_testkit::cases! {
    finds_route:
    prefix => ("shop.example", "/a/x", Some("/a/")),
    longest_prefix => ("shop.example", "/a/b/x", Some("/a/b/")),
    path_equal_to_prefix => ("shop.example", "/a/b/", Some("/a/b/")),
    partial_path_segment => ("shop.example", "/a/bc", Some("/a/")),
    no_route => ("shop.example", "/c/", None),
    unknown_host => ("mall.example", "/a/x", None),
    host_with_port => ("shop.example:8080", "/a/x", Some("/a/")),
    host_in_another_case => ("other.EXAMPLE", "/a/x", Some("other")),
}

#[test]
fn public_route_needs_no_key() {
    let table = table();
    let open = table.route("shop.example", "/a/open/x").unwrap();
    assert!(table.team(open, Some("any")).unwrap().is_none());
}

#[test]
fn api_key_selects_the_team() {
    let table = table();
    let route = table.route("shop.example", "/a/x").unwrap();
    assert_eq!(
        &*table.team(route, Some("key-a")).unwrap().unwrap().name,
        "team-a"
    );
    assert_eq!(
        table.team(route, Some("key-b")).unwrap_err(),
        ApiKeyError::Unknown
    );
    assert_eq!(table.team(route, None).unwrap_err(), ApiKeyError::Missing);
}
