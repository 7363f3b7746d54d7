//! The metrics recorder of the process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder once; tests run several daemons in one process and share it.
pub(crate) fn install() -> Option<&'static PrometheusHandle> {
    let install = || match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            tracing::warn!(%error, "metrics are not recorded");
            None
        }
    };
    HANDLE.get_or_init(install).as_ref()
}

/// Returns the metrics in the Prometheus text format.
pub(crate) fn render() -> String {
    install().map(PrometheusHandle::render).unwrap_or_default()
}

/// Moves recorded samples into the histograms, which bounds their memory when nobody reads metrics.
pub(crate) fn upkeep() {
    if let Some(handle) = install() {
        handle.run_upkeep();
    }
}
