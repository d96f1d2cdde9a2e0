//! Stops leading: the scheduler is dropped, and a new incarnation tells the others that the
//! former leader is silent.

use crate::coordination::node::{draw_incarnation, Node};

/// Promises never to extend the lease of a leader before this term; if that is us, we step
/// down. (We count in our own majority, so a leader that has promised must not go on.)
pub fn promise(node: &Node, term: u64) {
    node.leadership.borrow_mut().promise(term);
    if node.leadership.borrow().is_deposed() {
        tracing::warn!(term, "another controller took over: stepping down");
        step_down(node);
    }
}

/// A worker saw a term above ours, which only another leader can have told it. Going on
/// would keep workers and users with us until our lease expires.
pub fn superseded(node: &Node) {
    if node.scheduler.borrow().is_some() {
        tracing::warn!("a worker saw a higher term: stepping down");
        step_down(node);
    }
}

/// Stops acting for the shard.
pub(super) fn step_down(node: &Node) {
    *node.scheduler.borrow_mut() = None;
    node.leadership.borrow_mut().step_down(draw_incarnation());
}

/// Stops acting for the shard and leaves it to others for a while.
pub(super) fn resign(node: &Node) {
    *node.scheduler.borrow_mut() = None;
    let incarnation = draw_incarnation();
    node.leadership.borrow_mut().resign(node.now(), incarnation);
}
