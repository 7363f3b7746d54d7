//! Numbers of attempts that arrived at the fake targets, by zone and second.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use http::Request;
use http_body_util::Full;
use limpet_config::Config;
use limpet_fakes::target::ReceivedRequest;

use crate::load::client::PooledClient;

/// For each zone, the numbers of attempts that arrived at its fake targets, by second since the start of the
/// load.
pub type ZoneArrivals = BTreeMap<Box<str>, Vec<u64>>;

/// Counts the attempts that arrived at the targets of a configuration text after `started_at`, a time
/// since boot.
///
/// Fetches the received requests from the control address of the fake targets.
pub(crate) async fn count_by_zone(
    config_text: &str,
    target_control: SocketAddr,
    started_at: Duration,
) -> Result<ZoneArrivals, Box<dyn std::error::Error>> {
    let config = Config::parse(config_text).map_err(|problems| format!("{problems:?}"))?;
    let client = PooledClient::new(target_control);
    let mut arrivals = ZoneArrivals::new();
    for target_ref in config.targets() {
        let request = Request::get(format!("/events/{}", target_ref.target.name));
        let request = request.header("host", "limpet-bench");
        let response = client.exchange(request.body(Full::default())?).await?;
        let received_requests: Vec<ReceivedRequest> = serde_json::from_slice(response.body())?;
        let zone_counts = arrivals.entry(target_ref.target.zone.clone()).or_default();
        for received in received_requests {
            let Some(since_start) =
                Duration::from_micros(received.start_us).checked_sub(started_at)
            else {
                continue;
            };
            let second_index = usize::try_from(since_start.as_secs())?;
            if zone_counts.len() <= second_index {
                zone_counts.resize(second_index + 1, 0);
            }
            zone_counts[second_index] += 1;
        }
    }
    Ok(arrivals)
}
