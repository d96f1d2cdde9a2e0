//! The scheduler's state for the drain of a machine. The code that carries out drains is in
//! `fleet::drains`.

use crate::protocol::admin::{Drain, RemainingWork};

/// A drain of a machine, as carried out by the leader.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveDrain {
    /// The drain's record in the state service.
    pub drain: Drain,
    /// Version of the drain's record in the state service.
    pub version: u64,
    /// The drain's deadline, in seconds of the leader's monotonic clock; `None` if it has none.
    pub(crate) deadline_at: Option<f64>,
}

impl ActiveDrain {
    /// Whether the attempts that still run must be stopped now: the deadline has passed, and the
    /// operator chose to stop the attempts that remain at the deadline.
    pub(crate) fn must_stop_now(&self, now: f64) -> bool {
        let is_past_deadline = self.deadline_at.is_some_and(|deadline| now >= deadline);
        is_past_deadline && self.drain.rest == RemainingWork::Stop
    }
}
