//! Selection of the route and the team of a request.

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

fn route_table() -> RouteTable {
    let mut public_route = route("/a/open/", Idempotency::Idempotent, "s");
    public_route.is_public = true;
    let mut other_host_route = route("/a/", Idempotency::Idempotent, "s");
    other_host_route.name = "other".into();
    other_host_route.host = "Other.example".into();
    let routes = vec![
        route("/a/", Idempotency::Idempotent, "s"),
        route("/a/b/", Idempotency::Idempotent, "s"),
        public_route,
        other_host_route,
    ];
    RouteTable::new(Arc::new(config(1, routes, &["s"])))
}

fn check_route((host, path, expected): (&str, &str, Option<&str>)) {
    let route_table = route_table();
    assert_eq!(
        route_table.route(host, path).map(|route| &*route.name),
        expected
    );
}

// Guards against requests that are forwarded to the service of another route.
limpet_testkit::cases! {
    check_route:
    prefix => ("shop.example", "/a/x", Some("/a/")),
    longest_prefix => ("shop.example", "/a/b/x", Some("/a/b/")),
    path_equal_to_prefix => ("shop.example", "/a/b/", Some("/a/b/")),
    partial_path_segment => ("shop.example", "/a/bc", Some("/a/")),
    no_route => ("shop.example", "/c/", None),
    unknown_host => ("mall.example", "/a/x", None),
    host_with_port => ("shop.example:8080", "/a/x", Some("/a/")),
    host_in_another_case => ("other.EXAMPLE", "/a/x", Some("other")),
}

/// Guards against refusing a request on a public route because of its key.
#[test]
fn public_route_has_no_team() {
    let route_table = route_table();
    let public_route = route_table.route("shop.example", "/a/open/x").unwrap();
    assert!(
        route_table
            .team(public_route, Some("any"))
            .unwrap()
            .is_none()
    );
}

/// Guards against counting a request for a wrong team, and against admitting one without a known key.
#[test]
fn api_key_selects_the_team() {
    let route_table = route_table();
    let route = route_table.route("shop.example", "/a/x").unwrap();
    assert_eq!(
        &*route_table
            .team(route, Some("key-a"))
            .unwrap()
            .unwrap()
            .name,
        "team-a"
    );
    assert_eq!(
        route_table.team(route, Some("key-b")).unwrap_err(),
        ApiKeyError::Unknown
    );
    assert_eq!(
        route_table.team(route, None).unwrap_err(),
        ApiKeyError::Missing
    );
}
