//! Resigns when workers cannot reach this leader but reach other controllers.

use super::peer_calls::ask_all;
use super::sleep;
use super::step_down::resign;
use crate::coordination::agents::leader_reachability::should_resign;
use crate::coordination::node::Node;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use std::rc::Rc;

/// A number of redirected heartbeats that always suffices for a resignation, and that can be
/// multiplied by 8 without overflow.
const ALWAYS_ENOUGH_REDIRECTED: u32 = u32::MAX / 8;

/// The number of machines that should send heartbeats to a leader, and the number of those that
/// are silent.
#[derive(Clone, Copy)]
struct SilentMachines {
    term: u64,
    total: usize,
    silent: usize,
}

impl SilentMachines {
    /// Counts the scheduler's machines. Returns `None` if we do not lead.
    fn of(node: &Node) -> Option<SilentMachines> {
        let now = node.now();
        let scheduler = node.scheduler.borrow();
        let scheduler = scheduler.as_ref()?;
        let (total, silent) = scheduler.silent_machines(now);
        Some(SilentMachines {
            term: scheduler.term,
            total,
            silent,
        })
    }

    /// Whether to resign if the peers recently redirected this many heartbeats.
    fn should_resign(&self, redirected: u32) -> bool {
        should_resign(self.total, self.silent, redirected)
    }
}

/// Runs the check periodically until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let heartbeat_interval_s = node.settings.cluster.workers.report_s;
    loop {
        sleep((heartbeat_interval_s / 4.0).clamp(0.25, 1.0)).await;
        check(&node).await;
    }
}

async fn check(node: &Rc<Node>) {
    // The peers are asked only if so many machines are silent that their answers can matter.
    let suspicious = SilentMachines::of(node)
        .filter(|machines| machines.should_resign(ALWAYS_ENOUGH_REDIRECTED));
    let Some(machines) = suspicious.filter(|_| node.is_confirmed_leader()) else {
        return;
    };
    let redirected = redirected_heartbeats(node).await;
    let still_leads = node
        .scheduler
        .borrow()
        .as_ref()
        .is_some_and(|scheduler| scheduler.term == machines.term);
    if still_leads && machines.should_resign(redirected) {
        let SilentMachines {
            term,
            total,
            silent,
        } = machines;
        tracing::warn!(
            term,
            machines = total,
            silent,
            redirected,
            "workers cannot reach this leader but reach its peers; resigning"
        );
        resign(node);
    }
}

/// The number of heartbeats that the peers recently redirected to this leader.
async fn redirected_heartbeats(node: &Node) -> u32 {
    let responses = ask_all(node, &PeerRequest::RedirectedHeartbeats).await;
    let counts = responses.into_iter().map(|response| match response {
        Some(PeerResponse::RedirectedHeartbeats(count)) => count,
        _ => 0,
    });
    counts.sum()
}
