//! The owner's slow loop: keeps what it rests on, writes the machine record,
//! raises the term, learns when former owners are quiet.

use crate::coordination::fleet::machine_record_writer::write_machines;
use crate::coordination::leadership::failover::reread;
use crate::coordination::leadership::leadership::Leadership;
use crate::coordination::leadership::takeover::ShardUpdate;
use crate::coordination::node::Node;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Failure, Lane};
use std::rc::Rc;

/// Takes what became free, and looks after what is ours.
pub async fn mind_share(node: Rc<Node>) {
    // As often as the lease is renewed: takeovers are decided by its end.
    let every = (node.lease_ttl_s() / 10.0).clamp(0.1, 0.5);
    loop {
        crate::coordination::leadership::sleep(every).await;
        let rewrite = node.leadership.borrow().reassert(node.now());
        if let Some(rewrite) = rewrite {
            tracing::info!("our lease is new: is the share still ours?");
            carry_out(&node, rewrite).await;
        }
        crate::coordination::leadership::look_after_share(&node);
        seek_vouches(&node);
        seek_words(&node);
        seek_promises(&node);
        learn_quiet(&node);
        note_drained(&node).await;
        crate::coordination::fleet::rollout_writer::carry_on(&node).await;
        while write_machines(&node).await {}
        raise_term(&node).await;
    }
}

/// Writes the share record once more, under the same or a higher term.
async fn carry_out(node: &Rc<Node>, rewrite: ShardUpdate) {
    match node.state.txn(&rewrite.txn, Lane::Control).await {
        Ok(version) => {
            let term = node
                .leadership
                .borrow_mut()
                .shard_record_written(&rewrite, version);
            if let (Some(term), Some(scheduler)) = (term, node.scheduler.borrow_mut().as_mut()) {
                scheduler.raise_term(term);
            }
        }
        Err(Failure::Conflict(_)) => reread(node).await,
        Err(_) => {}
    }
}

/// How an agreement is noted: the term, who, when it was asked for, and now.
type Note = fn(&mut Leadership, u64, &str, f64, f64);

/// Asks the peers that `wanted` lets pass, and notes who agreed.
fn ask_peers(
    node: &Rc<Node>,
    ask: PeerRequest,
    term: u64,
    note: Note,
    wanted: impl Fn(&str) -> bool,
) {
    let peers = &node.settings.peers;
    for peer in peers.iter().filter(|p| wanted(&p.name)) {
        let (node, ask) = (node.clone(), ask.clone());
        let (name, addr) = (peer.name.clone(), peer.addr);
        actix_rt::spawn(async move {
            let asked_at = node.now();
            if node.mesh.ask(addr, &ask).await == Some(PeerResponse::Agreed) {
                let now = node.now();
                note(
                    &mut node.leadership.borrow_mut(),
                    term,
                    &name,
                    asked_at,
                    now,
                );
            }
        });
    }
}

/// Without contact to the state service asks the others to vouch for us.
fn seek_vouches(node: &Rc<Node>) {
    let due = node.leadership.borrow_mut().extension_due(node.now());
    if let Some(term) = due {
        ask_peers(
            node,
            PeerRequest::ExtendLease(term),
            term,
            Leadership::extension_acknowledged,
            |_| true,
        );
    }
}

/// While we hear nothing of cancellations asks the others what they told users.
fn seek_words(node: &Rc<Node>) {
    let due = node
        .leadership
        .borrow_mut()
        .cancellation_query_due(node.now());
    let Some((term, gap_s)) = due else {
        return;
    };
    for peer in &node.settings.peers {
        let (node, ask) = (
            node.clone(),
            PeerRequest::ConfirmedCancellations(term, (gap_s * 1000.0).ceil() as u64),
        );
        let (name, addr) = (peer.name.clone(), peer.addr);
        actix_rt::spawn(async move {
            let asked_at = node.now();
            let Some(PeerResponse::ConfirmedCancellations(jobs)) = node.mesh.ask(addr, &ask).await
            else {
                return;
            };
            // First the knowledge, then what rests on it.
            if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
                jobs.iter().for_each(|id| scheduler.finish_job(id));
            }
            let now = node.now();
            node.leadership
                .borrow_mut()
                .cancellations_reported(term, &name, asked_at, now);
            crate::coordination::agents::dispatcher::drain(&node);
        });
    }
}

/// After a takeover asks the others never to vouch for an earlier owner.
fn seek_promises(node: &Rc<Node>) {
    let seeks = |c: &crate::coordination::scheduler::state::Scheduler| {
        c.fence.former_leaders_silent_since.is_none()
    };
    if !node.scheduler.borrow().as_ref().is_some_and(seeks) {
        return;
    }
    let due = node.leadership.borrow_mut().promise_due(node.now());
    if let Some((term, missing)) = due {
        ask_peers(
            node,
            PeerRequest::Promise(term),
            term,
            Leadership::promise_received,
            |name| missing.iter().any(|m| m == name),
        );
    }
}

/// Notices that no former owner can answer any more.
fn learn_quiet(node: &Node) {
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler
        .as_mut()
        .filter(|c| c.fence.former_leaders_silent_since.is_none())
    else {
        return;
    };
    let now = node.now();
    if node
        .leadership
        .borrow()
        .former_leaders_fenced(now, node.wall_ms())
    {
        tracing::info!(term = scheduler.term, "no former owner is left");
        scheduler.fence.former_leaders_silent_since = Some(now);
    }
}

/// Tells the scheduler of drains that came, changed or ended.
pub fn take_drains(node: &Node) {
    let tenure = node.leadership.borrow();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return;
    };
    let seen = (scheduler.fence.base_term, tenure.view.drains_generation);
    if node.applied_drains.replace(seen) != seen {
        scheduler.set_drains(&tenure.view.drains);
    }
}

/// Records which machines are proven empty, as long as the share is ours and the
/// drain is the one that was carried out.
async fn note_drained(node: &Rc<Node>) {
    let most = node.settings.cluster.state.txn_ops;
    let now_ms = node.wall_ms();
    let mut proven = match node.scheduler.borrow().as_ref() {
        Some(scheduler) if node.is_certain_leader() => scheduler.proven_drains(now_ms, most),
        _ => return,
    };
    {
        let mut noted = node.noted_drains.borrow_mut();
        noted.retain(|version| proven.iter().any(|p| p.1 == *version));
        proven.retain(|p| !noted.contains(&p.1));
    }
    let own = node.leadership.borrow().own_shard_version();
    let (Some(own), false) = (own, proven.is_empty()) else {
        return;
    };
    let mut txn = Txn::default().when(records::SHARD_KEY, own);
    for (drain, version) in &proven {
        let key = records::drain_key(&drain.host);
        txn = txn.when(&key, *version).put(&key, drain);
    }
    match node.state.txn(&txn, Lane::Control).await {
        Ok(_) => {
            let hosts: Vec<&str> = proven.iter().map(|p| p.0.host.as_str()).collect();
            tracing::info!(machines = ?hosts, "drained");
            // What is written is known from the watch alone, in its order; until
            // it comes the same is not written again.
            node.noted_drains
                .borrow_mut()
                .extend(proven.iter().map(|p| p.1));
        }
        // Another owner, or the drain ended: the watch tells.
        Err(Failure::Conflict(_)) => reread(node).await,
        Err(_) => {}
    }
}

/// Writes a higher term when starts in limbo must be ruled out.
async fn raise_term(node: &Rc<Node>) {
    let now = node.now();
    let wanted = (node.scheduler.borrow_mut().as_mut()).is_some_and(|c| c.needs_higher_term(now));
    if !wanted {
        return;
    }
    let rewrite = node.leadership.borrow().raise_term(now);
    if let Some(rewrite) = rewrite {
        tracing::info!("raising the term: lost commands are ruled out");
        carry_out(node, rewrite).await;
    }
}
