//! Passes the records of drains to the scheduler, and records which drained machines are proven
//! empty.

use super::failover::reread_shard;
use crate::coordination::node::Node;
use crate::protocol::admin::Drain;
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Passes the drains to the scheduler if one was added, changed or ended.
pub(super) fn apply_drains(node: &Node) {
    let leadership = node.leadership.borrow();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return;
    };
    let current = (scheduler.fence.base_term, leadership.view.drains_generation);
    if node.applied_drains.replace(current) != current {
        scheduler.set_drains(&leadership.view.drains);
    }
}

/// Records which machines are proven empty, on condition that the shard is still ours and
/// that the records of the drains are unchanged.
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
            tracing::info!(machines = ?hosts, "recorded machines as drained");
            // The view learns of these writes only when the watch reports them. Until then the
            // replaced versions are remembered, so that the same records are not written again.
            let versions = proven.iter().map(|(_, version)| *version);
            node.recorded_drains.borrow_mut().extend(versions);
        }
        // Another controller leads, or a drain changed or ended, which the watch will report.
        Err(ServiceError::Conflict(_)) => reread_shard(node).await,
        Err(_) => {}
    }
}

/// The drain records of machines that are proven empty, each with the version that the record
/// replaces. Records that we wrote and that the watch has not reported yet are left out. `None`
/// if another controller may have taken the shard over.
fn unrecorded_drains(node: &Node) -> Option<Vec<(Drain, u64)>> {
    let max_drains = node.settings.cluster.state.txn_ops;
    let now_ms = node.wall_ms();
    let scheduler = node.scheduler.borrow();
    let scheduler = scheduler.as_ref().filter(|_| node.is_confirmed_leader())?;
    let mut proven = scheduler.proven_drains(now_ms, max_drains);
    let mut recorded = node.recorded_drains.borrow_mut();
    recorded.retain(|version| proven.iter().any(|(_, proven)| proven == version));
    proven.retain(|(_, version)| !recorded.contains(version));
    Some(proven)
}
