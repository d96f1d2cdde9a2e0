//! Fencing after a takeover. A former leader may have started tasks on any recorded machine.
//! No task may start until every recorded machine has either sent a heartbeat under the new
//! term or is proven empty.

use crate::storage::records::FormerLeader;

/// Whether placement may begin after a takeover, and what is known of former leaders.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The term of the takeover. A machine that reports under this or a later term is fenced.
    pub base_term: u64,
    /// Time since which no former leader can have answered a worker; `None` while that is
    /// unknown.
    pub former_leaders_silent_since: Option<f64>,
    /// No machine blocks placement any more. Once open, the fence stays open.
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

    /// Time from which on a machine that this leader never answered runs no tasks: one lease,
    /// with its safety margin, after the last time at which a former leader could have
    /// renewed the machine's lease.
    pub fn empty_from(&self, lease_with_margin_s: f64) -> Option<f64> {
        self.former_leaders_silent_since
            .map(|since| since + lease_with_margin_s)
    }
}

/// The former leaders that may still answer workers. `present_incarnation` gives the present
/// incarnation of the controller on a host. If it differs from that of the former leader,
/// the former leader's process has ended. Otherwise a former leader stops answering when the
/// time in its record is over; both clocks may be off by up to `max_clock_error_ms`.
pub fn unfenced_leaders(
    former: &[FormerLeader],
    present_incarnation: impl Fn(&str) -> Option<u64>,
    now_ms: u64,
    max_clock_error_ms: u64,
) -> Vec<&FormerLeader> {
    former
        .iter()
        .filter(|leader| {
            let replaced = present_incarnation(&leader.host)
                .is_some_and(|incarnation| incarnation != leader.incarnation);
            // Both clocks may be off by the bound, in opposite directions.
            let expired = now_ms > leader.until_ms + 2 * max_clock_error_ms;
            !replaced && !expired
        })
        .collect()
}
