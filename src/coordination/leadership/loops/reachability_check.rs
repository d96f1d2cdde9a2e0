//! Resigns where workers cannot reach this leader but come to another controller.

use super::peer_calls::ask_all;
use super::sleep;
use super::step_down::resign;
use crate::coordination::agents::leader_reachability::out_of_reach;
use crate::coordination::node::Node;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use std::rc::Rc;

/// More redirected heartbeats than any decision takes, and not too many to multiply.
const ANY_REDIRECTED: u32 = u32::MAX / 8;

/// The machines of a leader, and how many of them are silent.
#[derive(Clone, Copy)]
struct SilentMachines {
    term: u64,
    all: usize,
    silent: usize,
}

impl SilentMachines {
    /// Those of the scheduler, if we lead.
    fn of(node: &Node) -> Option<SilentMachines> {
        let now = node.now();
        let scheduler = node.scheduler.borrow();
        let scheduler = scheduler.as_ref()?;
        let (all, silent) = scheduler.silent_machines(now);
        Some(SilentMachines {
            term: scheduler.term,
            all,
            silent,
        })
    }

    /// Whether to resign if peers redirected so many heartbeats lately.
    fn out_of_reach(&self, redirected: u32) -> bool {
        out_of_reach(self.all, self.silent, redirected)
    }
}

/// Checks until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let heartbeat_interval_s = node.settings.cluster.workers.report_s;
    loop {
        sleep((heartbeat_interval_s / 4.0).clamp(0.25, 1.0)).await;
        check(&node).await;
    }
}

async fn check(node: &Rc<Node>) {
    // Peers are asked only where enough machines are silent, whatever the peers may say.
    let suspicious =
        SilentMachines::of(node).filter(|machines| machines.out_of_reach(ANY_REDIRECTED));
    let Some(machines) = suspicious.filter(|_| node.is_certain_leader()) else {
        return;
    };
    let elsewhere = redirected_heartbeats(node).await;
    let still_leads = node
        .scheduler
        .borrow()
        .as_ref()
        .is_some_and(|scheduler| scheduler.term == machines.term);
    if still_leads && machines.out_of_reach(elsewhere) {
        let SilentMachines { term, all, silent } = machines;
        tracing::warn!(
            term,
            all,
            silent,
            elsewhere,
            "workers cannot reach this leader: resigning"
        );
        resign(node);
    }
}

/// How many heartbeats the peers redirected lately.
async fn redirected_heartbeats(node: &Node) -> u32 {
    let responses = ask_all(node, &PeerRequest::RedirectedHeartbeats).await;
    let counts = responses.into_iter().map(|response| match response {
        Some(PeerResponse::RedirectedHeartbeats(count)) => count,
        _ => 0,
    });
    counts.sum()
}
