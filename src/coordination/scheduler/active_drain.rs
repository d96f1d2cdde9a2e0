//! The drain of a machine as the scheduler stores it. This module holds only data;
//! `fleet::drains` carries drains out.

use crate::protocol::admin::{Drain, Rest};

/// The drain of a machine that the leader carries out.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveDrain {
    /// The drain's record in the state service.
    pub drain: Drain,
    /// Version of that record.
    pub version: u64,
    /// Its deadline, in seconds of the leader's monotonic clock.
    pub(crate) deadline_at: Option<f64>,
}

impl ActiveDrain {
    /// Whether the attempts that still run must be stopped now: the deadline has passed, and
    /// the operator chose to stop what remains.
    pub(crate) fn must_stop_now(&self, now: f64) -> bool {
        let is_past_deadline = self.deadline_at.is_some_and(|deadline| now >= deadline);
        is_past_deadline && self.drain.rest == Rest::Stop
    }
}
