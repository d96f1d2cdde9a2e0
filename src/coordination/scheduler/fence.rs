//! Fence, then place: after a takeover nothing of the share may start until
//! every machine has reported under the new term or is proven empty.

use crate::storage::records::FormerLeader;

/// What is known of former owners.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The term of the takeover; a report under it or a later one is fenced.
    pub base_term: u64,
    /// Since when no former owner can have answered a worker, once known.
    pub former_leaders_silent_since: Option<f64>,
    /// All machines were accounted for once; it stays so.
    pub open: bool,
}

impl Fence {
    pub fn new(base_term: u64, quiet_since: Option<f64>) -> Fence {
        Fence {
            base_term,
            former_leaders_silent_since: quiet_since,
            open: false,
        }
    }

    /// From when on a machine that we never answered is empty: the lease after
    /// the last moment that any former owner could have answered it.
    pub fn empty_from(&self, lease_with_margin: f64) -> Option<f64> {
        self.former_leaders_silent_since
            .map(|t| t + lease_with_margin)
    }
}

/// Former owners that may still answer, after a look at who is alive: a host
/// seen with another boot has lost its old process, and time runs out for all.
pub fn remaining(
    prior: &[FormerLeader],
    alive: impl Fn(&str) -> Option<u64>,
    now_ms: u64,
    bound_ms: u64,
) -> Vec<&FormerLeader> {
    prior
        .iter()
        .filter(|p| {
            let replaced = alive(&p.host).is_some_and(|boot| boot != p.incarnation);
            // Both clocks may be off by the bound, in opposite directions.
            let over = now_ms > p.until_ms + 2 * bound_ms;
            !replaced && !over
        })
        .collect()
}
