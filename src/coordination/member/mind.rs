//! The owner's slow loop: keeps what it rests on, writes the machine record,
//! raises the term, learns when former owners are quiet.

use super::claim::reread;
use super::record::write_machines;
use super::taking::Rewrite;
use super::tenure::Tenure;
use crate::coordination::node::Node;
use crate::protocol::mesh::{Answer, Ask};
use crate::transport::clients::{Failure, Lane};
use std::rc::Rc;

/// Takes what became free, and looks after what is ours.
pub async fn mind_share(node: Rc<Node>) {
    // As often as the lease is renewed: takeovers are decided by its end.
    let every = (node.life_s() / 10.0).clamp(0.1, 0.5);
    loop {
        super::sleep(every).await;
        let rewrite = node.tenure.borrow().reassert(node.now());
        if let Some(rewrite) = rewrite {
            tracing::info!("our lease is new: is the share still ours?");
            carry_out(&node, rewrite).await;
        }
        super::look_after_share(&node);
        seek_vouches(&node);
        seek_promises(&node);
        learn_quiet(&node);
        while write_machines(&node).await {}
        raise_term(&node).await;
    }
}

/// Writes the share record once more, under the same or a higher term.
async fn carry_out(node: &Rc<Node>, rewrite: Rewrite) {
    match node.state.txn(&rewrite.txn, Lane::Control).await {
        Ok(version) => {
            let term = node.tenure.borrow_mut().rewritten(&rewrite, version);
            if let (Some(term), Some(core)) = (term, node.core.borrow_mut().as_mut()) {
                core.raise_term(term);
            }
        }
        Err(Failure::Conflict(_)) => reread(node).await,
        Err(_) => {}
    }
}

/// How an agreement is noted: the term, who, when it was asked for, and now.
type Note = fn(&mut Tenure, u64, &str, f64, f64);

/// Asks the peers that `wanted` lets pass, and notes who agreed.
fn ask_peers(node: &Rc<Node>, ask: Ask, term: u64, note: Note, wanted: impl Fn(&str) -> bool) {
    let peers = &node.settings.peers;
    for peer in peers.iter().filter(|p| wanted(&p.name)) {
        let (node, ask) = (node.clone(), ask.clone());
        let (name, addr) = (peer.name.clone(), peer.addr);
        actix_rt::spawn(async move {
            let asked_at = node.now();
            if node.mesh.ask(addr, &ask).await == Some(Answer::Agreed) {
                let now = node.now();
                note(&mut node.tenure.borrow_mut(), term, &name, asked_at, now);
            }
        });
    }
}

/// Without contact to the state service asks the others to vouch for us.
fn seek_vouches(node: &Rc<Node>) {
    let due = node.tenure.borrow_mut().vouch_due(node.now());
    if let Some(term) = due {
        ask_peers(node, Ask::Vouch(term), term, Tenure::vouched, |_| true);
    }
}

/// After a takeover asks the others never to vouch for an earlier owner.
fn seek_promises(node: &Rc<Node>) {
    let seeks = |c: &crate::coordination::core::Core| c.fence.quiet_since.is_none();
    if !node.core.borrow().as_ref().is_some_and(seeks) {
        return;
    }
    let due = node.tenure.borrow_mut().promise_due(node.now());
    if let Some((term, missing)) = due {
        ask_peers(
            node,
            Ask::Promise(term),
            term,
            Tenure::has_promised,
            |name| missing.iter().any(|m| m == name),
        );
    }
}

/// Notices that no former owner can answer any more.
fn learn_quiet(node: &Node) {
    let mut core = node.core.borrow_mut();
    let Some(core) = core.as_mut().filter(|c| c.fence.quiet_since.is_none()) else {
        return;
    };
    let now = node.now();
    if node.tenure.borrow().quiet(now, node.wall_ms()) {
        tracing::info!(term = core.term, "no former owner is left");
        core.fence.quiet_since = Some(now);
    }
}

/// Writes a higher term when starts in limbo must be ruled out.
async fn raise_term(node: &Rc<Node>) {
    let now = node.now();
    let wanted = (node.core.borrow_mut().as_mut()).is_some_and(|c| c.wants_new_term(now));
    if !wanted {
        return;
    }
    let rewrite = node.tenure.borrow().raise(now);
    if let Some(rewrite) = rewrite {
        tracing::info!("raising the term: lost commands are ruled out");
        carry_out(node, rewrite).await;
    }
}
