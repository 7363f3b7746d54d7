//! Divides the time of a planned stop, and decides which requests still start in it.

mod stop_schedule;

pub use self::stop_schedule::StopSchedule;
