//! Reacts when the known state of the shard may have changed: steps down, adopts a raised
//! term, wakes waiting requests, or starts a takeover.

use super::drain_records::apply_drains;
use super::failover;
use super::step_down::step_down;
use crate::coordination::node::Node;
use std::rc::Rc;

/// Brings this controller in line with its present view of the shard: steps down, adopts a raised
/// term, announces a new term, applies drains, or starts a takeover, as far as each is needed.
pub(super) fn react_to_shard_changes(node: &Rc<Node>) {
    if node.leadership.borrow().is_deposed() {
        tracing::warn!("leadership of the shard lost; stepping down");
        step_down(node);
    }
    adopt_raised_term(node);
    announce_term(node);
    // Drains are applied only after the step-down: a former leader must not use a machine whose
    // drain ended under a later leader.
    apply_drains(node);
    start_takeover(node);
}

fn adopt_raised_term(node: &Node) {
    let raised = node.leadership.borrow_mut().adopt_raised_term();
    if let (Some(term), Some(scheduler)) = (raised, node.scheduler.borrow_mut().as_mut()) {
        tracing::info!(
            term,
            "adopting the term that we raised; the response to the write was lost"
        );
        scheduler.raise_term(term);
    }
}

/// Wakes the tasks that wait for a new leader or a new term.
fn announce_term(node: &Node) {
    let term = node
        .leadership
        .borrow()
        .view
        .shard
        .as_ref()
        .map_or(0, |(shard, _)| shard.term);
    if node.announced_term.replace(term) != term {
        node.leadership_changed.notify_waiters();
    }
}

/// Starts a takeover if the shard may be taken over and no takeover is running.
fn start_takeover(node: &Rc<Node>) {
    let (now, now_ms) = (node.now(), node.wall_ms());
    if node.taking_over.get() {
        return;
    }
    let attempt = node.leadership.borrow_mut().attempt_takeover(now, now_ms);
    if let Some(attempt) = attempt {
        node.taking_over.set(true);
        let node = node.clone();
        actix_rt::spawn(async move {
            failover::take_over(&node, attempt).await;
            node.taking_over.set(false);
            node.leadership_changed.notify_waiters();
        });
    }
}
