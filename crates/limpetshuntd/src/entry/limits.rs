//! Limits of an entry on the size, time and number of caller requests.

use std::time::Duration;

use limpet_decide::{
    fair::QueueLimits,
    ticket::TicketLimits, //
};

/// Size limit of the body of a caller request.
pub(super) const BODY_SIZE_MAX_BYTES: usize = 1 << 20;
/// Time from the arrival of a request to its deadline, if the caller sends none.
pub(super) const DEADLINE_DEFAULT: Duration = Duration::from_millis(320);
/// Longest time from the arrival of a request to its deadline; a longer time in a request is shortened to
/// this one. A request could otherwise occupy a place in the fair queue for as long as its caller likes.
pub(super) const DEADLINE_MAX: Duration = Duration::from_secs(60);
/// Part of the time to the deadline that is reserved for writing the response; answers of targets that come
/// later are not waited for.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(5);
/// Longest time that a request waits for a grant of rate tokens when its team has none left.
pub(super) const RATE_TOKEN_WAIT_MAX: Duration = Duration::from_millis(50);

/// Default of [`EntryLimits::drain_notice`]. A load balancer that checks readiness twice a second sees the
/// check fail before a connection is refused.
pub const DRAIN_NOTICE_DEFAULT_MS: u64 = 1_000;

/// Limits of an entry that tests and settings change.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Limits on the number of queries that run at a time and that wait in the fair queue.
    pub queue: QueueLimits,
    /// Limits on the memory used for tickets.
    pub tickets: TicketLimits,
    /// Minimum time, from the start of a drain, for which the entry still accepts connections and refuses
    /// their requests as not run.
    pub drain_notice: Duration,
}

impl EntryLimits {
    /// Sets [`EntryLimits::drain_notice`].
    pub const fn with_drain_notice(mut self, drain_notice: Duration) -> Self {
        self.drain_notice = drain_notice;
        self
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            queue: QueueLimits {
                running_max: 256,
                queued_per_team_max: 1024,
                queued_max: 4096,
            },
            tickets: TicketLimits::default(),
            drain_notice: Duration::from_millis(DRAIN_NOTICE_DEFAULT_MS),
        }
    }
}
