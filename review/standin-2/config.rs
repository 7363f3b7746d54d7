//! Configurations as the operator writes them.

/// A route to one service.
pub fn route(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        concat!(
            "{{\"name\":\"{}\",\"host\":\"{}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":6000,",
            "\"targetLatencyMs\":400,\"priority\":2,\"service\":\"{}\",\"maxAttempts\":2,\"public\":true}}"
        ),
        name, host, prefix, kind, service
    )
}

/// Many further routes to a service, for a configuration as large as the users have it.
pub fn further_routes(count: usize, service: &str) -> Vec<String> {
    let numbers = 0..count;
    numbers
        .map(|number| {
            let (name, host) = (format!("r-idle{number:05}"), format!("idle{}.example", number % 40));
            route(&name, &host, &format!("/idle{number:05}/"), "safe", service)
        })
        .collect()
}

/// A whole configuration.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                concat!(
                    "{{\"name\":\"{}\",\"healthPath\":\"/health\",\"maxConns\":400,\"protocol\":\"h1\",",
                    "\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":0.0}}"
                ),
                name
            )
        })
        .collect();
    format!(
        concat!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,",
            "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        ),
        version,
        routes.join(","),
        services.join(",")
    )
}
