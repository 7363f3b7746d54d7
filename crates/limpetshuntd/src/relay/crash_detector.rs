//! Distinguishes a crash of a target from a connection that broke for another reason.

use std::time::Duration;

use limpet_decide::quarantine::crash_id;
use limpet_types::{
    Incarnation,
    TargetAddr, //
};

/// A broken connection that counts as a crash once the target refuses a connection or reports a new
/// incarnation.
#[derive(Debug)]
struct SuspectedCrash {
    /// Incarnation of the target before the connection broke, if known.
    incarnation: Option<Incarnation>,
    /// Fingerprints of the requests that were in flight on the target.
    fingerprints: Vec<u64>,
    /// Time since boot at which the connection broke.
    broke_at: Duration,
}

/// A confirmed crash with the fingerprints of the requests that were in flight on the target.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    /// Identifier of the crash, under which its strikes are counted once.
    pub(crate) id: u64,
    pub(crate) fingerprints: Vec<u64>,
}

/// Detects crashes of one target.
#[derive(Debug)]
pub(crate) struct CrashDetector {
    target: TargetAddr,
    suspected_crash: Option<SuspectedCrash>,
}

impl CrashDetector {
    pub(crate) const fn new(target: TargetAddr) -> Self {
        Self {
            target,
            suspected_crash: None,
        }
    }

    /// Records that a connection broke while these requests were in flight.
    ///
    /// Another connection that breaks before this suspected crash is confirmed or dismissed belongs to
    /// the same crash.
    pub(crate) fn record_broken_connection(
        &mut self,
        incarnation: Option<Incarnation>,
        fingerprints: Vec<u64>,
        broke_at: Duration,
    ) {
        match &mut self.suspected_crash {
            Some(suspected_crash) => suspected_crash.fingerprints.extend(fingerprints),
            None => {
                self.suspected_crash = Some(SuspectedCrash {
                    incarnation,
                    fingerprints,
                    broke_at,
                });
            }
        }
    }

    /// Confirms and returns the suspected crash, if any, because the target refuses connections.
    pub(crate) fn record_refused_connection(&mut self) -> Option<Crash> {
        let suspected_crash = self.suspected_crash.take()?;
        Some(self.confirm_crash(suspected_crash))
    }

    /// Confirms or dismisses the suspected crash, if the response of the target shows which; returns the
    /// crash if it is confirmed.
    ///
    /// `incarnation` sent the response; `sent_at` is the time since boot at which the attempt was sent.
    pub(crate) fn record_response(
        &mut self,
        incarnation: Incarnation,
        sent_at: Duration,
    ) -> Option<Crash> {
        let suspected_crash = self.suspected_crash.take_if(|suspected_crash| {
            // A response of the same incarnation to an attempt sent before the connection broke may be
            // from before a crash.
            suspected_crash.incarnation != Some(incarnation) || suspected_crash.broke_at <= sent_at
        })?;
        let is_restarted = suspected_crash
            .incarnation
            .is_some_and(|known| known != incarnation);
        is_restarted.then(|| self.confirm_crash(suspected_crash))
    }

    fn confirm_crash(&self, suspected_crash: SuspectedCrash) -> Crash {
        Crash {
            id: crash_id(
                self.target,
                suspected_crash.incarnation,
                suspected_crash.broke_at,
            ),
            fingerprints: suspected_crash.fingerprints,
        }
    }
}
