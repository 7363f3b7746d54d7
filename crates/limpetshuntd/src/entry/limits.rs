//! Bounds of an entry.

use std::time::Duration;

use limpet_decide::{
    fair::QueueLimits,
    ticket::TicketLimits, //
};

/// Largest body of a caller request.
pub(super) const BODY_SIZE_MAX_BYTES: usize = 1 << 20;
/// Deadline of a caller that names none.
pub(super) const DEADLINE_DEFAULT: Duration = Duration::from_millis(320);
/// Longest deadline that a caller may name; a longer one would hold a place of the fair queue.
pub(super) const DEADLINE_MAX: Duration = Duration::from_secs(60);
/// Time kept back for writing the response.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(5);
/// Longest wait for a rate token.
pub(super) const TOKEN_WAIT_MAX: Duration = Duration::from_millis(50);

/// Default of the time for which a draining entry still accepts callers; a load balancer that checks
/// readiness twice a second sees it fail before a connection is refused.
pub const DRAIN_NOTICE_DEFAULT_MS: u64 = 1_000;

/// Bounds of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Bounds of the fair queue.
    pub queue: QueueLimits,
    /// Bounds of the memory for tickets.
    pub tickets: TicketLimits,
    /// Time for which a draining entry still accepts callers, only to refuse them as not run.
    pub drain_notice: Duration,
}

impl EntryLimits {
    /// Sets the time for which a draining entry still accepts callers.
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
