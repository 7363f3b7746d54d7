//! Share of one process in the slack of a service.

/// Fraction of the slack that is divided by use; the rest is divided by the number of processes.
const BY_USE_FRACTION: f64 = 0.8;
/// Fraction of its share by use that a process takes while one other process is silent. The silent one may believe that
/// it sees all others and use its whole share, so both together must fit into the fifth of the budget that is not used.
const ONE_SILENT_FACTOR: f64 = 0.25;

/// Shares of one process in the two parts of the slack.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlackShare {
    /// Share in the whole slack that is divided by the number of processes, from 0 to 1.
    pub equal: f64,
    /// Share in the whole slack that is divided by use, from 0 to 1.
    pub by_use: f64,
}

impl SlackShare {
    /// Returns the share of a process in a small fleet: the slack is divided by the number of processes alone.
    ///
    /// There an equal share allows several extra attempts. A part by use would only cost the slack that has not accrued
    /// yet, and the headroom for a load surge that moves.
    pub fn equal(process_count: usize) -> Self {
        Self {
            equal: 1.0 / process_count.max(1) as f64,
            by_use: 0.0,
        }
    }

    /// Returns the share of a process that has `use_share` of the reported requests, `None` if it heard no report.
    ///
    /// `process_count` includes the `silent_count` processes that are not heard at present.
    pub fn new(use_share: Option<f64>, process_count: usize, silent_count: usize) -> Self {
        let process_count = process_count.max(1);
        let use_share = match process_count {
            1 => 1.0,
            _ => use_share.unwrap_or(0.0).clamp(0.0, 1.0),
        };
        let silence_factor = match silent_count {
            0 => 1.0,
            _ => ONE_SILENT_FACTOR / silent_count as f64,
        };
        Self {
            equal: (1.0 - BY_USE_FRACTION) / process_count as f64,
            by_use: BY_USE_FRACTION * use_share * silence_factor,
        }
    }
}
