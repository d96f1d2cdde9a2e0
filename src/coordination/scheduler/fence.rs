//! Fencing after a takeover: nothing may start until every recorded machine has sent a
//! heartbeat under the new term or is proven empty, since a former leader may have started
//! tasks on it.

use crate::storage::records::FormerLeader;

/// What is known of former leaders.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The term of the takeover; a machine that reports under it or a later one is fenced.
    pub base_term: u64,
    /// Since when no former leader can have answered a worker, once that is known.
    pub former_leaders_silent_since: Option<f64>,
    /// All machines were accounted for once; it stays open.
    pub open: bool,
}

impl Fence {
    /// A closed fence for a takeover under this term.
    pub fn new(base_term: u64, former_leaders_silent_since: Option<f64>) -> Fence {
        Fence {
            base_term,
            former_leaders_silent_since,
            open: false,
        }
    }

    /// From when on a machine that this leader never answered is empty: one lease after
    /// the last moment at which any former leader could have renewed it.
    pub fn empty_from(&self, lease_with_margin_s: f64) -> Option<f64> {
        self.former_leaders_silent_since
            .map(|since| since + lease_with_margin_s)
    }
}

/// The former leaders that may still answer workers. `alive` gives the present incarnation
/// of a controller's host: another one than the leader's proves that its process is gone.
/// Otherwise the leader is silent when its recorded time is over, where the clocks of both
/// sides may be off by `clock_bound_ms`.
pub fn remaining(
    former: &[FormerLeader],
    alive: impl Fn(&str) -> Option<u64>,
    now_ms: u64,
    clock_bound_ms: u64,
) -> Vec<&FormerLeader> {
    former
        .iter()
        .filter(|leader| {
            let replaced = alive(&leader.host).is_some_and(|boot| boot != leader.incarnation);
            // Both clocks may be off by the bound, in opposite directions.
            let over = now_ms > leader.until_ms + 2 * clock_bound_ms;
            !replaced && !over
        })
        .collect()
}
