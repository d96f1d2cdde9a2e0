//! One machine's drain, as the scheduler keeps it: data alone, see `fleet::drains` for what is
//! done about it.

use crate::protocol::admin::{Drain, Rest};

/// One machine's drain as its leader carries it out.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainTarget {
    /// The record.
    pub drain: Drain,
    /// Version of its record.
    pub version: u64,
    /// Its deadline in our steady time.
    pub(crate) deadline_at: Option<f64>,
}

impl DrainTarget {
    /// What still runs is stopped now.
    pub(crate) fn must_stop_now(&self, now: f64) -> bool {
        self.deadline_at.is_some_and(|d| now >= d) && self.drain.rest == Rest::Stop
    }
}
