//! Carries rollouts on: writes each step on condition that the shard is ours, and that
//! rollout and drains are those it was worked out from.

use super::rollout::{next_step, RolloutStep};
use crate::coordination::leadership::failover::reread_shard;
use crate::coordination::node::Node;
use crate::protocol::admin::Drain;
use crate::protocol::roll::{Roll, RollState};
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Conditions and changes of a step's transaction beside its drains: shard and rollout.
const FIXED_TXN_OPS: usize = 2;

/// A step that is due.
struct DueStep {
    step: RolloutStep,
    /// Version of the rollout's record that it replaces.
    rollout_version: u64,
}

/// The first step that is due. One at a time: what the next one may do depends on what this
/// one did.
fn due_step(node: &Node) -> Option<DueStep> {
    let leadership = node.leadership.borrow();
    let scheduler = node.scheduler.borrow();
    let rollouts = &leadership.view.rollouts;
    let is_moving = |rollout: &Roll| matches!(rollout.state, RollState::Running | RollState::Back);
    if !rollouts.values().any(|(rollout, _)| is_moving(rollout)) {
        return None;
    }
    let fleet = scheduler
        .as_ref()?
        .fleet_view(&leadership.view.drains, node.now())?;
    let txn_ops = node.settings.cluster.state.txn_ops;
    let room = txn_ops.saturating_sub(FIXED_TXN_OPS).max(1);
    let mut names: Vec<&String> = rollouts.keys().collect();
    names.sort();
    names.into_iter().find_map(|name| {
        let (rollout, version) = &rollouts[name];
        let step = next_step(rollout, &fleet, room)?;
        Some(DueStep {
            step,
            rollout_version: *version,
        })
    })
}

/// The drain that the rollout orders for a machine.
fn ordered_drain(rollout: &Roll, host: &str, now_ms: u64) -> Drain {
    Drain {
        host: host.into(),
        order: format!("{}/{host}", rollout.name),
        by: rollout.by.clone(),
        why: rollout.why.clone(),
        at_ms: now_ms,
        deadline_ms: rollout.deadline_s.map(|s| now_ms + (s * 1000.0) as u64),
        rest: rollout.rest,
        drained: None,
        roll: Some(rollout.name.clone()),
    }
}

/// The transaction that writes the step if all that it was worked out from still holds.
fn step_txn(node: &Node, due: &DueStep, shard_version: u64) -> Txn {
    let DueStep {
        step,
        rollout_version,
    } = due;
    let rollout = &step.rollout;
    let key = records::rollout_key(&rollout.name);
    let mut txn = Txn::default()
        .when(records::SHARD_KEY, shard_version)
        .when(&key, *rollout_version)
        .put(&key, rollout);
    let now_ms = node.wall_ms();
    for host in &step.begin {
        let key = records::drain_key(host);
        let drain = ordered_drain(rollout, host, now_ms);
        txn = txn.when(&key, 0).put(&key, &drain);
    }
    let leadership = node.leadership.borrow();
    for host in &step.end {
        if let Some((_, version)) = leadership.view.drains.get(host) {
            let key = records::drain_key(host);
            txn = txn.when(&key, *version).delete(&key);
        }
    }
    txn
}

/// Carries the rollouts one step on.
pub async fn advance_rollouts(node: &Rc<Node>) {
    let behind = node.leadership.borrow().view.revision < node.last_rollout_revision.get();
    if behind || !node.is_certain_leader() {
        return;
    }
    let Some(shard_version) = node.leadership.borrow().own_shard_version() else {
        return;
    };
    let Some(due) = due_step(node) else {
        return;
    };
    let txn = step_txn(node, &due, shard_version);
    match node.state.txn(&txn, Priority::Control).await {
        Ok(revision) => {
            let RolloutStep {
                rollout,
                begin,
                end,
            } = &due.step;
            tracing::info!(roll = %rollout.name, state = ?rollout.state, reason = %rollout.reason, ?begin, ?end, "rollout step");
            // Until the watch has shown it nothing more is worked out: what is
            // known here does not count those machines as out of use yet.
            node.last_rollout_revision.set(revision);
        }
        Err(ServiceError::Conflict(_)) => reread_shard(node).await,
        Err(_) => {}
    }
}
