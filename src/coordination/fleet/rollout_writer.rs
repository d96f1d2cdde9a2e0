//! Carries out rollouts: writes each step in a transaction. The transaction fails if this
//! controller no longer leads the shard, or if the rollout record or the drain records have
//! changed since the step was computed.

use super::rollout::{next_step, RolloutStep};
use crate::coordination::leadership::failover::reread_shard;
use crate::coordination::node::Node;
use crate::protocol::admin::Drain;
use crate::protocol::rollout::{Rollout, RolloutState};
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Number of entries in a step's transaction that do not concern drains: one for the shard record,
/// and one for the rollout record.
const FIXED_TXN_OPS: usize = 2;

/// The next step of a rollout, with the version of the rollout record on which the step is based.
struct DueStep {
    step: RolloutStep,
    /// Version of the rollout record that the step replaces.
    rollout_version: u64,
}

/// The next step of the first rollout, by name, that has one; `None` if no rollout has a next step
/// or the state of the fleet is not known. Only one step is taken at a time, because each step
/// depends on the result of the step before it.
fn due_step(node: &Node) -> Option<DueStep> {
    let leadership = node.leadership.borrow();
    let scheduler = node.scheduler.borrow();
    let rollouts = &leadership.view.rollouts;
    let is_active =
        |rollout: &Rollout| matches!(rollout.state, RolloutState::Running | RolloutState::Back);
    if !rollouts.values().any(|(rollout, _)| is_active(rollout)) {
        return None;
    }
    let fleet = scheduler
        .as_ref()?
        .fleet_view(&leadership.view.drains, node.now())?;
    let txn_ops = node.settings.cluster.state.txn_ops;
    let max_drain_changes = txn_ops.saturating_sub(FIXED_TXN_OPS).max(1);
    let mut names: Vec<&String> = rollouts.keys().collect();
    names.sort();
    names.into_iter().find_map(|name| {
        let (rollout, version) = &rollouts[name];
        let step = next_step(rollout, &fleet, max_drain_changes)?;
        Some(DueStep {
            step,
            rollout_version: *version,
        })
    })
}

/// The drain record that the rollout writes for a machine.
fn ordered_drain(rollout: &Rollout, host: &str, now_ms: u64) -> Drain {
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

/// The transaction that writes the step, on condition that the records on which the step is based
/// have not changed.
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

/// Takes the next step of a rollout, if there is one and it is confirmed that this controller
/// leads.
pub async fn advance_rollouts(node: &Rc<Node>) {
    let view_is_stale = node.leadership.borrow().view.revision < node.last_rollout_revision.get();
    if view_is_stale || !node.is_confirmed_leader() {
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
            // No further step is computed until the watch has delivered the records of this step:
            // before then, the machines that this step drains do not count as out of use.
            node.last_rollout_revision.set(revision);
        }
        Err(ServiceError::Conflict(_)) => reread_shard(node).await,
        Err(_) => {}
    }
}
