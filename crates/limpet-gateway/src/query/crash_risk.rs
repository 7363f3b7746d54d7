//! What the attempts of one run of a query tell about whether it crashes its targets.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use limpet_decide::quarantine::CrashSuspect;

use super::QueryContext;
use crate::target::{
    FailedAttempt,
    Target, //
};

/// Attempts of one run of a query that may have crashed their targets.
#[derive(Debug, Default)]
pub struct CrashRisk {
    /// Whether a target has replied to an attempt of the run: a query that crashes targets crashes each of them.
    has_reply: Arc<AtomicBool>,
    /// Number of attempts without a valid reply by service.
    failure_counts: Mutex<HashMap<Box<str>, usize>>,
}

impl CrashRisk {
    /// Records that a target replied.
    pub(super) fn record_reply(&self) {
        self.has_reply.store(true, Ordering::Relaxed);
    }

    /// Records an attempt of `query`, whose run this is, without a valid reply.
    pub(super) fn record_failure(&self, query: &QueryContext, target: &Target) -> FailedAttempt {
        let earlier_failures = {
            let mut failure_counts = self
                .failure_counts
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let count = failure_counts.entry(target.service.clone()).or_default();
            let earlier_failures = *count;
            *count += 1;
            earlier_failures
        };
        FailedAttempt {
            suspect: CrashSuspect {
                fingerprint: query.fingerprint,
                known_strikes: query.known_strikes,
                earlier_failures,
            },
            request_id: query.request_id().into(),
            has_reply: Arc::clone(&self.has_reply),
        }
    }
}
