//! Samples of one process from `/proc` and its metrics endpoint.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::{
    idle,
    load::PooledClient,
    slopes::arguments::MeasuredProcess, //
};

/// Resource usage and metrics of one process at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProcessSample {
    /// CPU time used since the start of the process, in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory.
    pub(crate) resident_bytes: u64,
    /// Values of the metrics, by name with labels.
    pub(crate) metrics: BTreeMap<String, f64>,
}

impl ProcessSample {
    /// Returns the sum of the values of `metric` over all sets of labels that contain the text `label`.
    pub(crate) fn sum_metric(&self, metric: &str, label: &str) -> f64 {
        self.metrics
            .iter()
            .filter(|(name, _)| name.split('{').next() == Some(metric) && name.contains(label))
            .map(|(_, value)| value)
            .sum()
    }
}

/// Samples one process; `client` is connected to its admin address.
pub(crate) async fn sample_process(
    process: &MeasuredProcess,
    client: &PooledClient,
) -> Result<ProcessSample, Box<dyn std::error::Error>> {
    let metrics = fetch_metrics(client).await?;
    Ok(ProcessSample {
        cpu_s: idle::read_cpu_time_s(process.pid)?,
        resident_bytes: idle::read_resident_bytes(process.pid)?,
        metrics,
    })
}

async fn fetch_metrics(
    client: &PooledClient,
) -> Result<BTreeMap<String, f64>, Box<dyn std::error::Error>> {
    let body = fetch(client, "/metrics").await?;
    Ok(parse_metrics(&String::from_utf8_lossy(&body)))
}

/// Sends a GET request and returns the body of the response.
pub(crate) async fn fetch(
    client: &PooledClient,
    path: &str,
) -> Result<Bytes, Box<dyn std::error::Error>> {
    let request = Request::get(path).header("host", "limpet-bench");
    let response = client.exchange(request.body(Full::default())?).await?;
    Ok(response.into_body())
}

/// Parses metrics in the Prometheus text format into values by name with labels.
///
/// Lines without a number are skipped.
pub(crate) fn parse_metrics(text: &str) -> BTreeMap<String, f64> {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        })
        .collect()
}
