//! Stops leading: drops the scheduler and draws a new incarnation, which tells the other
//! controllers that this controller has stopped answering workers as leader.

use crate::coordination::node::{random_incarnation, Node};

/// Promises never to extend the lease of a leader under a term earlier than `term`. If this
/// controller leads under an earlier term, it steps down: a leader counts itself in the majority
/// that extends its lease, so it must not go on after it has promised.
pub fn promise(node: &Node, term: u64) {
    node.leadership.borrow_mut().promise(term);
    if node.leadership.borrow().is_deposed() {
        tracing::warn!(term, "promised for a later leader's term; stepping down");
        step_down(node);
    }
}

/// Steps down after a worker reported a term above ours. The worker can have received such a term
/// only from another leader. If this controller went on, workers and users would stay with it
/// until its lease expires.
pub fn step_down_after_higher_term(node: &Node) {
    if node.scheduler.borrow().is_some() {
        tracing::warn!("a worker reported a higher term; stepping down");
        step_down(node);
    }
}

/// Stops leading the shard.
pub(super) fn step_down(node: &Node) {
    *node.scheduler.borrow_mut() = None;
    node.leadership.borrow_mut().step_down(random_incarnation());
}

/// Stops leading the shard and leaves it to the other controllers for the duration of a worker's
/// lease.
pub(super) fn resign(node: &Node) {
    *node.scheduler.borrow_mut() = None;
    let incarnation = random_incarnation();
    node.leadership.borrow_mut().resign(node.now(), incarnation);
}
