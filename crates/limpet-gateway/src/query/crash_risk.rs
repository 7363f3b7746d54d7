//! Attempts of one run of a query that may crash their targets.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    atomic::{
        AtomicBool,
        Ordering, //
    },
};

use limpet_decide::quarantine::{
    AttemptPermission,
    CrashSuspect, //
};

use super::QueryContext;
use crate::target::{
    AttemptError,
    AttemptErrorKind,
    FailedAttempt,
    Target, //
};

/// Attempts of one run of a query that may crash their targets; empty until an attempt fails, or if the query has no
/// strikes.
#[derive(Debug, Default)]
pub struct CrashRisk {
    /// Set if an attempt failed; the flag tells whether a target has replied since.
    has_reply: OnceLock<Arc<AtomicBool>>,
    services: Mutex<Vec<ServiceRisk>>,
}

/// Attempts at one service.
#[derive(Debug)]
struct ServiceRisk {
    service: Box<str>,
    in_flight_count: usize,
    /// Targets of the attempts that ended without a valid reply.
    failed_at: Vec<Arc<Target>>,
}

/// Counts an attempt as in flight until it is dropped.
pub(super) struct CountedAttempt<'a> {
    query: &'a QueryContext,
    target: Arc<Target>,
}

impl Drop for CountedAttempt<'_> {
    fn drop(&mut self) {
        let mut services = self.query.crash_risk.services();
        let risk = service_risk(&mut services, &self.target.service);
        risk.in_flight_count = risk.in_flight_count.saturating_sub(1);
    }
}

impl CrashRisk {
    fn services(&self) -> MutexGuard<'_, Vec<ServiceRisk>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a target replied: a query that crashes targets crashes each of them.
    pub(super) fn record_reply(&self) {
        if let Some(has_reply) = self.has_reply.get() {
            has_reply.store(true, Ordering::Relaxed);
        }
    }

    /// Records an attempt of `query` without a valid reply.
    pub(super) fn record_failure(query: &QueryContext, target: &Arc<Target>) -> FailedAttempt {
        let crash_risk = &query.crash_risk;
        let has_reply = crash_risk.has_reply.get_or_init(Arc::default);
        let mut services = crash_risk.services();
        let risk = service_risk(&mut services, &target.service);
        let earlier_failures = risk.failed_at.len();
        risk.failed_at.push(Arc::clone(target));
        FailedAttempt {
            suspect: CrashSuspect {
                fingerprint: query.fingerprint,
                known_strikes: query.known_strikes,
                earlier_failures,
            },
            request_id: query.request_id().into(),
            has_reply: Arc::clone(has_reply),
        }
    }
}

/// Waits until an attempt of `query` may be sent to `target`.
///
/// An attempt that might crash one target too many waits for the checks that show whether the earlier ones crashed
/// theirs, see [`attempt_permission`]. A query without strikes and failures never waits.
///
/// [`attempt_permission`]: limpet_decide::quarantine::StrikeTable::attempt_permission
///
/// # Errors
///
/// Returns [`AttemptErrorKind::Suspected`] if the query is quarantined by then, or an attempt is in flight that may be the
/// last one which it is allowed.
pub(super) async fn begin_attempt<'a>(
    query: &'a QueryContext,
    target: &Arc<Target>,
) -> Result<Option<CountedAttempt<'a>>, AttemptError> {
    if query.known_strikes == 0 && query.crash_risk.has_reply.get().is_none() {
        return Ok(None);
    }
    let suspected_error = |context| AttemptError::new(AttemptErrorKind::Suspected, context);
    loop {
        let pending_target = {
            let mut services = query.crash_risk.services();
            let risk = service_risk(&mut services, &target.service);
            let mut pending = risk
                .failed_at
                .iter()
                .filter(|target| target.crash_watch.is_check_running());
            let first_pending = pending.next().map(Arc::clone);
            let pending_count = pending.count() + usize::from(first_pending.is_some());
            // Read after the checks that run: a check that ends in between counts twice rather than not at all.
            let permission = query.shared.strike_table().attempt_permission(
                query.fingerprint,
                pending_count + risk.in_flight_count,
                query.shared.now(),
            );
            match permission {
                AttemptPermission::Allowed => {
                    risk.in_flight_count += 1;
                    let target = Arc::clone(target);
                    return Ok(Some(CountedAttempt { query, target }));
                }
                AttemptPermission::Refused => {
                    return Err(suspected_error("the query is quarantined"));
                }
                AttemptPermission::AwaitOthers => {}
            }
            first_pending
        };
        match pending_target {
            Some(target) => target.crash_watch.check_ended().await,
            None => {
                return Err(suspected_error(
                    "another attempt of the query may crash its target",
                ));
            }
        }
    }
}

/// Returns the attempts at a service, which are added if there are none.
fn service_risk<'a>(services: &'a mut Vec<ServiceRisk>, service: &str) -> &'a mut ServiceRisk {
    let known = services.iter().position(|risk| &*risk.service == service);
    let index = known.unwrap_or_else(|| {
        services.push(ServiceRisk {
            service: service.into(),
            in_flight_count: 0,
            failed_at: Vec::new(),
        });
        services.len() - 1
    });
    &mut services[index]
}
