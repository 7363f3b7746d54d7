//! Readings of one process: `/proc` and its metrics.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::{
    idle,
    load::PooledClient,
    slopes::arguments::NodeAddr, //
};

/// A reading of one process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reading {
    /// CPU time used so far.
    pub(crate) cpu_s: f64,
    /// Resident memory now.
    pub(crate) resident_bytes: u64,
    /// Samples of the metrics by their full name with labels.
    pub(crate) samples: BTreeMap<String, f64>,
}

impl Reading {
    /// Returns the sum of the samples of a metric whose labels contain `label`.
    pub(crate) fn sum(&self, metric: &str, label: &str) -> f64 {
        self.samples
            .iter()
            .filter(|(name, _)| name.split('{').next() == Some(metric) && name.contains(label))
            .map(|(_, value)| value)
            .sum()
    }
}

/// Reads one process.
pub(crate) async fn read(
    node: &NodeAddr,
    client: &PooledClient,
) -> Result<Reading, Box<dyn std::error::Error>> {
    let samples = metrics(client).await?;
    Ok(Reading {
        cpu_s: idle::cpu_s(node.pid)?,
        resident_bytes: idle::resident_bytes(node.pid)?,
        samples,
    })
}

async fn metrics(
    client: &PooledClient,
) -> Result<BTreeMap<String, f64>, Box<dyn std::error::Error>> {
    let body = get(client, "/metrics").await?;
    Ok(parse_samples(&String::from_utf8_lossy(&body)))
}

/// Sends a GET request and returns the body of the response.
pub(crate) async fn get(
    client: &PooledClient,
    path: &str,
) -> Result<Bytes, Box<dyn std::error::Error>> {
    let request = Request::get(path).header("host", "limpet-bench");
    let response = client.exchange(request.body(Full::default())?).await?;
    Ok(response.into_body())
}

/// Parses samples in the Prometheus text format; lines without a number are left out.
pub(crate) fn parse_samples(text: &str) -> BTreeMap<String, f64> {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        })
        .collect()
}
