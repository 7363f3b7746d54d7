//! Tells a crash of a target from a connection that merely broke.

use std::time::Duration;

use limpet_decide::quarantine::crash_id;
use limpet_types::{
    Incarnation,
    TargetAddr, //
};

/// A broken connection that is a crash if the target turns out to be gone or restarted.
#[derive(Debug)]
struct Pending {
    incarnation: Option<Incarnation>,
    fingerprints: Vec<u64>,
    at: Duration,
}

/// A crash with the requests that were in flight.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) id: u64,
    pub(crate) fingerprints: Vec<u64>,
}

/// Watches one target for crashes.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    target: TargetAddr,
    pending: Option<Pending>,
}

impl CrashWatch {
    pub(crate) const fn new(target: TargetAddr) -> Self {
        Self {
            target,
            pending: None,
        }
    }

    /// Notes that a connection broke while these requests were in flight.
    ///
    /// A second connection that breaks before the first is explained belongs to the same event.
    pub(crate) fn broke(
        &mut self,
        incarnation: Option<Incarnation>,
        fingerprints: Vec<u64>,
        at: Duration,
    ) {
        match &mut self.pending {
            Some(pending) => pending.fingerprints.extend(fingerprints),
            None => {
                self.pending = Some(Pending {
                    incarnation,
                    fingerprints,
                    at,
                });
            }
        }
    }

    /// Notes that the target refuses connections.
    pub(crate) fn refused(&mut self) -> Option<Crash> {
        let pending = self.pending.take()?;
        Some(self.confirm(pending))
    }

    /// Notes a response of a run of the target to an attempt sent at `sent_at`.
    pub(crate) fn responded(
        &mut self,
        incarnation: Incarnation,
        sent_at: Duration,
    ) -> Option<Crash> {
        let pending = self.pending.take_if(|pending| {
            // A response of the old run to an attempt from before the break proves nothing.
            pending.incarnation != Some(incarnation) || pending.at <= sent_at
        })?;
        let is_restarted = pending
            .incarnation
            .is_some_and(|known| known != incarnation);
        is_restarted.then(|| self.confirm(pending))
    }

    fn confirm(&self, pending: Pending) -> Crash {
        Crash {
            id: crash_id(self.target, pending.incarnation, pending.at),
            fingerprints: pending.fingerprints,
        }
    }
}
