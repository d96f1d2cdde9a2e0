//! Fencing after a takeover. A former leader may have started tasks on any recorded machine.
//! No task may start until every recorded machine has either sent a message under the new
//! term or been proven empty.

use crate::storage::records::FormerLeader;

/// Whether placement may begin after a takeover, and what is known of former leaders.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The term of the takeover. A machine is fenced once it has reported this term or a later
    /// one.
    pub base_term: u64,
    /// The time after which no former leader can have answered a worker; `None` while this time
    /// is unknown.
    pub former_leaders_stopped_since: Option<f64>,
    /// Placement is allowed, since no machine blocked it any more. Once true, this stays true.
    pub placement_allowed: bool,
}

impl Fence {
    /// A fence that blocks placement after a takeover under the term `base_term`.
    pub fn new(base_term: u64, former_leaders_stopped_since: Option<f64>) -> Fence {
        Fence {
            base_term,
            former_leaders_stopped_since,
            placement_allowed: false,
        }
    }

    /// The time after which a machine that this leader has never answered runs no tasks: one
    /// lease, with its safety margin, after the last time at which a former leader could have
    /// renewed the machine's lease. `None` while that last time is unknown.
    pub fn empty_from(&self, lease_with_margin_s: f64) -> Option<f64> {
        self.former_leaders_stopped_since
            .map(|since| since + lease_with_margin_s)
    }
}

/// The former leaders that may still answer workers. `present_incarnation` returns the present
/// incarnation of the controller on a host, or `None` if unknown. If the former leader was
/// another incarnation of that controller, the former leader's process has ended. Otherwise the
/// former leader stops answering at the time `until_ms` in its record; the wall clocks of both
/// controllers may be off by up to `max_clock_error_ms`.
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
            // Both clocks may be off by `max_clock_error_ms`, in opposite directions.
            let expired = now_ms > leader.until_ms + 2 * max_clock_error_ms;
            !replaced && !expired
        })
        .collect()
}
