//! Carries rolls on: writes each step on condition that the share is ours, and
//! that roll and drains are those it was worked out from.

use crate::coordination::fleet::rollout::{step, RolloutStep};
use crate::coordination::leadership::failover::reread;
use crate::coordination::node::Node;
use crate::protocol::admin::Drain;
use crate::protocol::roll::RollState;
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Failure, Lane};
use std::rc::Rc;

/// The steps that are due, each with its roll's version.
fn due(node: &Node) -> Vec<(RolloutStep, u64)> {
    let tenure = node.leadership.borrow();
    let scheduler = node.scheduler.borrow();
    let rolls = &tenure.view.rolls;
    let moving = |s: RollState| matches!(s, RollState::Running | RollState::Back);
    if !rolls.values().any(|r| moving(r.0.state)) {
        return Vec::new();
    }
    let scene = scheduler
        .as_ref()
        .and_then(|c| c.fleet_view(&tenure.view.drains, node.now()));
    let Some(scene) = scene else {
        return Vec::new();
    };
    // Roll and share take a condition and a change each.
    let room = node.settings.cluster.state.txn_ops.saturating_sub(2).max(1);
    let mut names: Vec<&String> = rolls.keys().collect();
    names.sort();
    // One at a time: what the next one may do depends on what this one did.
    let steps = names.into_iter().filter_map(|name| {
        let (roll, version) = &rolls[name];
        step(roll, &scene, room).map(|s| (s, *version))
    });
    steps.take(1).collect()
}

/// Carries the rolls one step on.
pub async fn carry_on(node: &Rc<Node>) {
    let behind = node.leadership.borrow().view.revision < node.rollout_revision.get();
    if behind || !node.is_certain_leader() {
        return;
    }
    let Some(own) = node.leadership.borrow().own_shard_version() else {
        return;
    };
    for (step, version) in due(node) {
        let roll = &step.rollout;
        let key = records::rollout_key(&roll.name);
        let mut txn = Txn::default()
            .when(records::SHARD_KEY, own)
            .when(&key, version)
            .put(&key, roll);
        let now_ms = node.wall_ms();
        for host in &step.begin {
            let drain = Drain {
                host: host.clone(),
                order: format!("{}/{host}", roll.name),
                by: roll.by.clone(),
                why: roll.why.clone(),
                at_ms: now_ms,
                deadline_ms: roll.deadline_s.map(|s| now_ms + (s * 1000.0) as u64),
                rest: roll.rest,
                drained: None,
                roll: Some(roll.name.clone()),
            };
            let key = records::drain_key(host);
            txn = txn.when(&key, 0).put(&key, &drain);
        }
        for host in &step.end {
            let known = node.leadership.borrow().view.drains.get(host).map(|d| d.1);
            if let Some(version) = known {
                let key = records::drain_key(host);
                txn = txn.when(&key, version).delete(&key);
            }
        }
        match node.state.txn(&txn, Lane::Control).await {
            Ok(written) => {
                tracing::info!(roll = %roll.name, state = ?roll.state, reason = %roll.reason, begin = ?step.begin, end = ?step.end, "roll");
                // Until the watch has shown it nothing more is worked out: what is
                // known here does not count those machines as out of use yet.
                node.rollout_revision.set(written);
            }
            Err(Failure::Conflict(_)) => reread(node).await,
            Err(_) => {}
        }
    }
}
