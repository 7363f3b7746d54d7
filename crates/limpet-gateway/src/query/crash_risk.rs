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
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep_until, //
    },
};

use super::QueryContext;
use crate::target::{
    AttemptError,
    AttemptErrorKind,
    FailedAttempt,
    Target, //
};

/// Fraction of the latency goal for which an attempt waits for those at other services. Without a limit, one silent target
/// would hold up all parts of a suspected query.
const OTHERS_GOAL_FRACTION: f64 = 0.25;

/// Attempts of one run of a query that may crash their targets; empty until an attempt fails, or if the query has no
/// strikes.
#[derive(Debug, Default)]
pub struct CrashRisk {
    /// Whether a target has replied: a query that crashes targets crashes each of them.
    is_cleared: AtomicBool,
    /// Set if an attempt failed; the flag tells whether a target has replied since.
    has_reply: OnceLock<Arc<AtomicBool>>,
    services: Mutex<Vec<ServiceRisk>>,
    /// An attempt ended or got a reply.
    changed: Notify,
}

/// Attempts at one service.
#[derive(Debug)]
struct ServiceRisk {
    service: Box<str>,
    in_flight_count: usize,
    failures: Vec<Failure>,
}

/// An attempt that ended without a valid reply.
#[derive(Debug)]
struct Failure {
    target: Arc<Target>,
    has_crashed: Arc<AtomicBool>,
}

/// Attempts of a run that count for the permission of another one.
#[derive(Debug, Default)]
struct RiskCounts {
    crashed: usize,
    pending: usize,
    in_flight: usize,
    /// Target of an attempt whose check is running.
    first_pending: Option<Arc<Target>>,
}

/// Counts an attempt as in flight until it is dropped.
pub(super) struct CountedAttempt<'a> {
    query: &'a QueryContext,
    target: Arc<Target>,
}

impl Drop for CountedAttempt<'_> {
    fn drop(&mut self) {
        let crash_risk = &self.query.crash_risk;
        {
            let mut services = crash_risk.services();
            let risk = service_risk(&mut services, &self.target.service);
            risk.in_flight_count = risk.in_flight_count.saturating_sub(1);
        }
        crash_risk.changed.notify_waiters();
    }
}

impl CrashRisk {
    fn services(&self) -> MutexGuard<'_, Vec<ServiceRisk>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a target replied.
    pub(super) fn record_reply(&self) {
        if let Some(has_reply) = self.has_reply.get() {
            has_reply.store(true, Ordering::Relaxed);
        }
        if !self.is_cleared.swap(true, Ordering::Relaxed) {
            self.changed.notify_waiters();
        }
    }

    /// Records an attempt of `query` without a valid reply.
    pub(super) fn record_failure(query: &QueryContext, target: &Arc<Target>) -> FailedAttempt {
        let crash_risk = &query.crash_risk;
        let has_reply = crash_risk.has_reply.get_or_init(Arc::default);
        let has_crashed = Arc::default();
        let mut services = crash_risk.services();
        let risk = service_risk(&mut services, &target.service);
        let earlier_failures = risk.failures.len();
        risk.failures.push(Failure {
            target: Arc::clone(target),
            has_crashed: Arc::clone(&has_crashed),
        });
        FailedAttempt {
            suspect: CrashSuspect {
                fingerprint: query.fingerprint,
                known_strikes: query.known_strikes,
                earlier_failures,
            },
            request_id: query.request_id().into(),
            has_reply: Arc::clone(has_reply),
            has_crashed,
        }
    }

    /// Counts the attempts at `service`, or at all services if `counts_others` is set and no target has replied.
    fn counts(&self, services: &[ServiceRisk], service: &str, counts_others: bool) -> RiskCounts {
        let counts_others = counts_others && !self.is_cleared.load(Ordering::Relaxed);
        let mut counts = RiskCounts::default();
        let counted = services.iter();
        for risk in counted.filter(|risk| counts_others || &*risk.service == service) {
            counts.in_flight += risk.in_flight_count;
            for failure in &risk.failures {
                if failure.target.crash_watch.is_check_running() {
                    counts.pending += 1;
                    counts
                        .first_pending
                        .get_or_insert_with(|| Arc::clone(&failure.target));
                } else {
                    counts.crashed += usize::from(failure.has_crashed.load(Ordering::Relaxed));
                }
            }
        }
        counts
    }
}

/// Waits until an attempt of `query` may be sent to `target`.
///
/// An attempt that might crash one target too many waits for the earlier ones, and for the checks whether these crashed
/// their targets, see [`attempt_permission`]. Those at other services count for a fraction of the goal and until one of
/// them gets a reply. A query without strikes and failures never waits.
///
/// [`attempt_permission`]: limpet_decide::quarantine::StrikeTable::attempt_permission
///
/// # Errors
///
/// Returns [`AttemptErrorKind::Suspected`] if the query is quarantined by then, its run has crashed as many targets as it may,
/// or another attempt at the service is in flight that may be the last one.
pub(super) async fn begin_attempt<'a>(
    query: &'a QueryContext,
    target: &Arc<Target>,
) -> Result<Option<CountedAttempt<'a>>, AttemptError> {
    let crash_risk = &query.crash_risk;
    if query.known_strikes == 0 && crash_risk.has_reply.get().is_none() {
        return Ok(None);
    }
    let others_until = Instant::now() + query.route.latency_goal.mul_f64(OTHERS_GOAL_FRACTION);
    let suspected_error = |context| AttemptError::new(AttemptErrorKind::Suspected, context);
    loop {
        let changed = crash_risk.changed.notified();
        tokio::pin!(changed);
        // An attempt may end before this one waits.
        changed.as_mut().enable();
        let counts = {
            let mut services = crash_risk.services();
            let counts =
                crash_risk.counts(&services, &target.service, Instant::now() < others_until);
            // Read after the checks that run: a check that ends in between counts twice rather than not at all.
            let permission = query.shared.strike_table().attempt_permission(
                query.fingerprint,
                counts.crashed,
                counts.pending + counts.in_flight,
                query.shared.now(),
            );
            let risk = service_risk(&mut services, &target.service);
            match permission {
                AttemptPermission::Allowed => {
                    risk.in_flight_count += 1;
                    let target = Arc::clone(target);
                    return Ok(Some(CountedAttempt { query, target }));
                }
                AttemptPermission::Refused => {
                    return Err(suspected_error("the query is quarantined"));
                }
                AttemptPermission::AwaitOthers if risk.in_flight_count > 0 => {
                    let context = "another attempt of the query may crash its target";
                    return Err(suspected_error(context));
                }
                AttemptPermission::AwaitOthers => counts,
            }
        };
        let awaits_others = Instant::now() < others_until;
        let others_end = sleep_until(others_until);
        match counts.first_pending {
            Some(pending) => {
                tokio::select! {
                    () = pending.crash_watch.check_ended() => {}
                    () = changed => {}
                    () = others_end, if awaits_others => {}
                }
            }
            None if counts.in_flight > 0 => {
                tokio::select! {
                    () = changed => {}
                    () = others_end, if awaits_others => {}
                }
            }
            None => return Err(suspected_error("the run crashed too many targets")),
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
            failures: Vec::new(),
        });
        services.len() - 1
    });
    &mut services[index]
}
