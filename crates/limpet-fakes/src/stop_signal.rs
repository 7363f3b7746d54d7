//! Shutdown signals of the programs of this crate.

use std::io;

use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Installs signal handlers and returns a future that completes at the first SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails when a signal handler cannot be installed.
pub fn stop_signal() -> io::Result<impl Future<Output = ()>> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    })
}
