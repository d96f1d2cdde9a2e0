//! Keeps this controller's lease in the state service and the alive key attached to it.

use super::shard_changes::react_to_shard_changes;
use super::sleep;
use crate::coordination::leadership::lease::{AliveKeyWrite, LeaseStep};
use crate::coordination::node::Node;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Renewals per lease; up to three in a row may be lost.
const RENEWALS_PER_LEASE: f64 = 5.0;

/// Maximum wait before a failed request is repeated, in seconds.
const MAX_RETRY_S: f64 = 0.25;

/// The intervals of the loop, in seconds.
#[derive(Clone, Copy)]
struct Timing {
    lease_ttl_s: f64,
    renewal_interval_s: f64,
    /// After a resignation: the time between two checks whether to get a lease again.
    idle_interval_s: f64,
    retry_interval_s: f64,
}

impl Timing {
    fn new(lease_ttl_s: f64) -> Timing {
        let renewal_interval_s = lease_ttl_s / RENEWALS_PER_LEASE;
        let idle_interval_s = renewal_interval_s / 4.0;
        Timing {
            lease_ttl_s,
            renewal_interval_s,
            idle_interval_s,
            retry_interval_s: idle_interval_s.min(MAX_RETRY_S),
        }
    }
}

/// Keeps the lease until the process ends.
pub(super) async fn keep_lease(node: Rc<Node>) {
    let timing = Timing::new(node.lease_ttl_s());
    loop {
        let now = node.now();
        let step = node.leadership.borrow().next_lease_step(now);
        if let Some(wait_s) = carry_out(&node, step, timing, now).await {
            sleep(wait_s).await;
        }
    }
}

/// Carries a step out. Returns the wait before the next step, in seconds; `None` if the next step
/// is due at once.
async fn carry_out(node: &Rc<Node>, step: LeaseStep, timing: Timing, now: f64) -> Option<f64> {
    match step {
        LeaseStep::Wait => Some(timing.idle_interval_s),
        LeaseStep::Revoke(lease) => {
            // Without our lease the other controllers may take the shard over. If the request
            // fails, the lease expires by itself.
            let _ = node.state.revoke_lease(lease).await;
            node.leadership.borrow_mut().lease_ended(lease);
            None
        }
        LeaseStep::Grant => match node.state.grant(timing.lease_ttl_s).await {
            Ok(lease) => {
                node.leadership.borrow_mut().lease_granted(lease);
                None
            }
            Err(_) => Some(timing.retry_interval_s),
        },
        LeaseStep::WriteAliveKey(write) => write_alive_key(node, write, timing).await,
        LeaseStep::Renew(lease) => renew(node, lease, timing, now).await,
    }
}

async fn write_alive_key(node: &Rc<Node>, write: AliveKeyWrite, timing: Timing) -> Option<f64> {
    let txn = write.txn(&node.settings.host_name);
    match node.state.txn(&txn, Priority::Control).await {
        Ok(version) => {
            node.leadership
                .borrow_mut()
                .alive_key_written(write, version);
            react_to_shard_changes(node);
            None
        }
        Err(ServiceError::LeaseNotFound) => {
            node.leadership.borrow_mut().lease_ended(write.lease);
            None
        }
        Err(ServiceError::Conflict(_)) => reread_alive_key(node, timing).await,
        Err(error) => {
            tracing::warn!(%error, "alive key could not be written");
            Some(timing.retry_interval_s)
        }
    }
}

async fn reread_alive_key(node: &Rc<Node>, timing: Timing) -> Option<f64> {
    let key = records::alive_key(&node.settings.host_name);
    match node.state.get(&key, Priority::Control).await {
        Ok(entry) => {
            node.leadership.borrow_mut().alive_key_read(entry.as_ref());
            None
        }
        Err(_) => Some(timing.retry_interval_s),
    }
}

async fn renew(node: &Rc<Node>, lease: u64, timing: Timing, asked_at: f64) -> Option<f64> {
    match node.state.renew(lease, timing.lease_ttl_s / 3.0).await {
        Ok(()) => {
            node.leadership.borrow_mut().lease_renewed(lease, asked_at);
            Some(timing.renewal_interval_s)
        }
        Err(ServiceError::LeaseNotFound) => {
            tracing::warn!("lease in the state service expired");
            node.leadership.borrow_mut().lease_ended(lease);
            None
        }
        Err(_) => Some(timing.retry_interval_s),
    }
}
