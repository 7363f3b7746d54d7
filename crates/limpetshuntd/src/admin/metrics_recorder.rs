//! Metrics recorder of the process, which every module records to and `/metrics` is rendered from.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};

/// Handle of the recorder; `None` if it could not be installed.
static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Returns the handle of the recorder, which the first call installs; `None` if that failed.
///
/// A process can install only one recorder, so the daemons that a test runs in one process share it.
pub(crate) fn get_or_install() -> Option<&'static PrometheusHandle> {
    let install = || match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            tracing::warn!(%error, "metrics are not recorded");
            None
        }
    };
    HANDLE.get_or_init(install).as_ref()
}

/// Returns the metrics in the Prometheus text format; empty if the recorder could not be installed.
pub(crate) fn render() -> String {
    get_or_install()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}

/// Moves recorded samples into the histograms, which bounds the memory if no client reads the metrics.
pub(crate) fn run_upkeep() {
    if let Some(handle) = get_or_install() {
        handle.run_upkeep();
    }
}
