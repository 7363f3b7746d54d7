//! Counts of the attempts that arrived at the stand-in targets, by zone and second.

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

/// Number of attempts in each second since the start of the load, by zone.
pub type ZoneArrivals = BTreeMap<Box<str>, Vec<u64>>;

/// Fetches the attempts of every target in the configuration text from the stand-ins' control address,
/// and counts those that arrived after `started`, a time since boot.
pub(crate) async fn count_by_zone(
    text: &str,
    control: SocketAddr,
    started: Duration,
) -> Result<ZoneArrivals, Box<dyn std::error::Error>> {
    let config = Config::parse(text).map_err(|problems| format!("{problems:?}"))?;
    let client = PooledClient::new(control);
    let mut zones = ZoneArrivals::new();
    for site in config.targets() {
        let request = Request::get(format!("/events/{}", site.target.name));
        let request = request.header("host", "limpet-bench");
        let response = client.exchange(request.body(Full::default())?).await?;
        let events: Vec<ReceivedRequest> = serde_json::from_slice(response.body())?;
        let seconds = zones.entry(site.target.zone.clone()).or_default();
        for event in events {
            let Some(since) = Duration::from_micros(event.start_us).checked_sub(started) else {
                continue;
            };
            let index = usize::try_from(since.as_secs())?;
            if seconds.len() <= index {
                seconds.resize(index + 1, 0);
            }
            seconds[index] += 1;
        }
    }
    Ok(zones)
}
