//! The periodic work of the leader: keeps its leadership confirmed, writes its records,
//! raises the term, and detects when all former leaders are fenced.

use super::drain_records::record_drained;
use super::failover::reread_shard;
use super::peer_calls::{query_cancellations, query_lease_extensions, query_promises};
use super::shard_changes::react_to_shard_changes;
use super::sleep;
use crate::coordination::fleet::machine_record_writer::write_machine_record;
use crate::coordination::fleet::rollout_writer;
use crate::coordination::leadership::shard_update::ShardUpdate;
use crate::coordination::node::Node;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// How many times the loop runs per lease, within the bounds below. The interval scales with the
/// lease because takeovers depend on the end of a lease.
const ITERATIONS_PER_LEASE: f64 = 10.0;

/// Minimum time between two iterations, in seconds.
const MIN_INTERVAL_S: f64 = 0.1;
/// Maximum time between two iterations, in seconds.
const MAX_INTERVAL_S: f64 = 0.5;

/// Takes the shard over when it has no live leader, and does the leader's periodic work while
/// the shard is ours.
pub(super) async fn run(node: Rc<Node>) {
    let interval_s =
        (node.lease_ttl_s() / ITERATIONS_PER_LEASE).clamp(MIN_INTERVAL_S, MAX_INTERVAL_S);
    loop {
        sleep(interval_s).await;
        confirm_under_new_lease(&node).await;
        react_to_shard_changes(&node);
        query_lease_extensions(&node);
        query_cancellations(&node);
        query_promises(&node);
        mark_former_leaders_fenced(&node);
        record_drained(&node).await;
        rollout_writer::advance_rollouts(&node).await;
        while write_machine_record(&node).await {}
        raise_term(&node).await;
    }
}

/// Rewrites the shard record under a new lease if the previous one expired.
async fn confirm_under_new_lease(node: &Rc<Node>) {
    let update = node.leadership.borrow().update_under_new_lease(node.now());
    if let Some(update) = update {
        tracing::info!("got a new lease; rewriting the shard record to confirm leadership");
        carry_out(node, update).await;
    }
}

/// Raises the term when workers must reject earlier start commands with an unknown outcome.
async fn raise_term(node: &Rc<Node>) {
    let now = node.now();
    let wanted = node
        .scheduler
        .borrow_mut()
        .as_mut()
        .is_some_and(|scheduler| scheduler.raise_overdue_tokens(now));
    if !wanted {
        return;
    }
    let update = node.leadership.borrow().raise_term(now);
    if let Some(update) = update {
        tracing::info!(
            "raising the term so that workers reject start commands with an unknown outcome"
        );
        carry_out(node, update).await;
    }
}

/// Rewrites the shard record under the same or a higher term.
async fn carry_out(node: &Rc<Node>, update: ShardUpdate) {
    match node.state.txn(&update.txn, Priority::Control).await {
        Ok(version) => {
            let term = node
                .leadership
                .borrow_mut()
                .shard_record_written(&update, version);
            if let (Some(term), Some(scheduler)) = (term, node.scheduler.borrow_mut().as_mut()) {
                scheduler.raise_term(term);
            }
        }
        Err(ServiceError::Conflict(_)) => reread_shard(node).await,
        Err(_) => {}
    }
}

/// Records in the scheduler's fence that no former leader can answer a worker any more, as soon
/// as this is known.
fn mark_former_leaders_fenced(node: &Node) {
    let mut scheduler = node.scheduler.borrow_mut();
    let unfenced = scheduler
        .as_mut()
        .filter(|scheduler| scheduler.fence.former_leaders_stopped_since.is_none());
    let Some(scheduler) = unfenced else {
        return;
    };
    let (now, now_ms) = (node.now(), node.wall_ms());
    if node.leadership.borrow().former_leaders_fenced(now, now_ms) {
        tracing::info!(term = scheduler.term, "all former leaders are fenced");
        scheduler.fence.former_leaders_stopped_since = Some(now);
    }
}
