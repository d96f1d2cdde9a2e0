//! Drains of machines: the scheduler is told of their records, and the leader records which
//! machines are proven empty.

use super::failover::reread_shard;
use crate::coordination::node::Node;
use crate::protocol::admin::Drain;
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Tells the scheduler of drains that came, changed or ended.
pub(super) fn apply_drains(node: &Node) {
    let leadership = node.leadership.borrow();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return;
    };
    let seen = (scheduler.fence.base_term, leadership.view.drains_generation);
    if node.applied_drains.replace(seen) != seen {
        scheduler.set_drains(&leadership.view.drains);
    }
}

/// Records which machines are proven empty, as long as the shard is ours and the drain is
/// the one that was carried out.
pub(super) async fn record_drained(node: &Rc<Node>) {
    let Some(proven) = unrecorded_drains(node) else {
        return;
    };
    let own_version = node.leadership.borrow().own_shard_version();
    let Some(own_version) = own_version.filter(|_| !proven.is_empty()) else {
        return;
    };
    let mut txn = Txn::default().when(records::SHARD_KEY, own_version);
    for (drain, version) in &proven {
        let key = records::drain_key(&drain.host);
        txn = txn.when(&key, *version).put(&key, drain);
    }
    match node.state.txn(&txn, Priority::Control).await {
        Ok(_) => {
            let hosts: Vec<&str> = proven
                .iter()
                .map(|(drain, _)| drain.host.as_str())
                .collect();
            tracing::info!(machines = ?hosts, "drained");
            // What is written is known from the watch alone, in its order; until it comes the
            // same is not written again.
            let versions = proven.iter().map(|(_, version)| *version);
            node.recorded_drains.borrow_mut().extend(versions);
        }
        // Another controller leads, or the drain ended: the watch will report it.
        Err(ServiceError::Conflict(_)) => reread_shard(node).await,
        Err(_) => {}
    }
}

/// The drains that are proven, as the records to write with the version that each replaces,
/// without those that we wrote and the watch has not shown yet; `None` if we do not lead.
fn unrecorded_drains(node: &Node) -> Option<Vec<(Drain, u64)>> {
    let max_drains = node.settings.cluster.state.txn_ops;
    let now_ms = node.wall_ms();
    let scheduler = node.scheduler.borrow();
    let scheduler = scheduler.as_ref().filter(|_| node.is_certain_leader())?;
    let mut proven = scheduler.proven_drains(now_ms, max_drains);
    let mut noted = node.recorded_drains.borrow_mut();
    noted.retain(|version| proven.iter().any(|(_, proven)| proven == version));
    proven.retain(|(_, version)| !noted.contains(version));
    Some(proven)
}
