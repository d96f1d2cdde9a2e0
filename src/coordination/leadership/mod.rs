//! Membership: a lease in the state service shows that a controller is alive;
//! the share of one that is not is taken over under a fresh term. What follows
//! from what is decided in `tenure`; here is who talks to whom, and when.

pub mod cancellation_horizon;
pub mod cluster_view;
pub mod failover;
pub mod leader_loop;
pub mod leadership;
pub mod lease_extension;
pub mod takeover;

use crate::coordination::leadership::leadership::LeaseStep;
use crate::coordination::node::Node;
use crate::coordination::readiness::PeerContacts;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use crate::protocol::state::Seen;
use crate::storage::records;
use crate::transport::clients::{Failure, Lane};
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Keeps our lease and watches the others'.
pub struct LeadershipActor {
    pub node: Rc<Node>,
}

impl Actor for LeadershipActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix_rt::spawn(keep_lease(self.node.clone()));
        actix_rt::spawn(watch_area(self.node.clone()));
        actix_rt::spawn(crate::coordination::leadership::leader_loop::mind_share(
            self.node.clone(),
        ));
        actix_rt::spawn(mind_reach(self.node.clone()));
        actix_rt::spawn(mind_health(self.node.clone()));
    }
}

async fn sleep(s: f64) {
    actix_rt::time::sleep(Duration::from_secs_f64(s)).await;
}

async fn keep_lease(node: Rc<Node>) {
    let life = node.lease_ttl_s();
    // Five renewals in a life: three may be lost in a row.
    let every = life / 5.0;
    let again = (every / 4.0).min(0.25);
    loop {
        let began = node.now();
        let step = node.leadership.borrow().next_lease_step(began);
        match step {
            LeaseStep::Rest => sleep(every / 4.0).await,
            LeaseStep::End(lease) => {
                // Without our lease the others may take the share.
                let _ = node.state.end_lease(lease).await;
                node.leadership.borrow_mut().lease_ended(lease);
            }
            LeaseStep::Grant => match node.state.grant(life).await {
                Ok(lease) => node.leadership.borrow_mut().lease_granted(lease),
                Err(_) => sleep(again).await,
            },
            LeaseStep::Write { lease, boot, over } => {
                let host = &node.settings.host_name;
                let txn = records::write_alive(host, boot, lease, over);
                match node.state.txn(&txn, Lane::Control).await {
                    Ok(version) => {
                        node.leadership
                            .borrow_mut()
                            .alive_written(lease, boot, version);
                        look_after_share(&node);
                    }
                    Err(Failure::NoLease) => node.leadership.borrow_mut().lease_ended(lease),
                    Err(Failure::Conflict(_)) => {
                        let key = records::alive_key(host);
                        match node.state.get(&key, Lane::Control).await {
                            Ok(found) => node.leadership.borrow_mut().alive_read(found.as_ref()),
                            Err(_) => sleep(again).await,
                        }
                    }
                    Err(error) => {
                        tracing::warn!(%error, "alive key not written");
                        sleep(again).await;
                    }
                }
            }
            LeaseStep::Renew(lease) => match node.state.renew(lease, life / 3.0).await {
                Ok(()) => {
                    node.leadership.borrow_mut().lease_renewed(lease, began);
                    sleep(every).await;
                }
                Err(Failure::NoLease) => {
                    tracing::warn!("our lease ran out");
                    node.leadership.borrow_mut().lease_ended(lease);
                }
                Err(_) => sleep(again).await,
            },
        }
    }
}

/// Reads the area and follows its changes.
async fn watch_area(node: Rc<Node>) {
    let wait_s = 20.0;
    loop {
        let listed = node
            .state
            .list(records::CONTROL_PREFIX, Lane::Control)
            .await;
        let Ok((entries, mut revision)) = listed else {
            sleep(0.2).await;
            continue;
        };
        node.leadership
            .borrow_mut()
            .view
            .apply_listing(&entries, revision);
        look_after_share(&node);
        loop {
            match node
                .state
                .watch(records::CONTROL_PREFIX, revision, wait_s)
                .await
            {
                Ok(news) => {
                    revision = news.revision;
                    for event in news.events {
                        let view = &mut node.leadership.borrow_mut().view;
                        match event.seen() {
                            Some(Seen::Put(entry)) => view.apply_entry(&entry),
                            Some(Seen::Deleted { key, version }) => {
                                view.apply_deletion(&key, version);
                            }
                            None => {}
                        }
                    }
                    node.leadership.borrow_mut().view.advance_to(revision);
                    look_after_share(&node);
                }
                Err(Failure::Gone) => break,
                // Changes missed while it is away are still in its history.
                Err(_) => sleep(0.25).await,
            }
        }
    }
}

/// Sends users elsewhere where the state service does not answer us alone.
async fn mind_health(node: Rc<Node>) {
    let patience_s = node.contact_timeout_s();
    loop {
        sleep(patience_s / 4.0).await;
        if node.now() - node.last_contact_at() > patience_s / 2.0 {
            // Nothing else may be asking at all.
            let _ = node.state.get(records::SHARD_KEY, Lane::Control).await;
        }
        let lost = node.now() - node.last_contact_at() > patience_s;
        let peers = if lost {
            Some(ask_contact(&node).await)
        } else {
            None
        };
        let (now, at) = (node.now(), node.last_contact_at());
        let change = node.readiness.borrow_mut().step(now, at, patience_s, peers);
        if let Some(away) = change {
            tracing::warn!(
                away,
                ?peers,
                "contact to the state service: users are sent elsewhere?"
            );
        }
    }
}

/// What the others say of their contact.
async fn ask_contact(node: &Rc<Node>) -> PeerContacts {
    let peers: Vec<_> = node.settings.peers.iter().map(|p| p.addr).collect();
    let asked = peers
        .iter()
        .map(|addr| node.mesh.ask(*addr, &PeerRequest::Contact));
    let answers = futures_util::future::join_all(asked).await;
    let mut found = PeerContacts {
        all: peers.len(),
        ..PeerContacts::default()
    };
    for answer in answers {
        match answer {
            // One that has just got it back says nothing of our own way.
            Some(PeerResponse::Contact(ms)) if ms as f64 > node.contact_timeout_s() * 1000.0 => {
                found.with_contact += 1
            }
            Some(PeerResponse::Contact(_)) => found.without_contact += 1,
            _ => {}
        }
    }
    found
}

/// Resigns where workers do not reach us but come to another controller.
async fn mind_reach(node: Rc<Node>) {
    let report_s = node.settings.cluster.workers.report_s;
    loop {
        sleep((report_s / 4.0).clamp(0.25, 1.0)).await;
        let now = node.now();
        let reach = node
            .scheduler
            .borrow()
            .as_ref()
            .map(|c| (c.term, c.silent_machines(now)));
        // Whether as many machines are silent as it takes, whatever others say.
        let silent = |(_, (all, silent)): &(u64, (usize, usize))| {
            crate::coordination::agents::leader_reachability::out_of_reach(
                *all,
                *silent,
                u32::MAX / 8,
            )
        };
        let Some((term, (all, silent))) = reach.filter(silent).filter(|_| node.is_certain_leader())
        else {
            continue;
        };
        let peers: Vec<_> = node.settings.peers.iter().map(|p| p.addr).collect();
        let asked = peers.into_iter().map(|addr| {
            let node = node.clone();
            async move {
                match node
                    .mesh
                    .ask(addr, &PeerRequest::RedirectedHeartbeats)
                    .await
                {
                    Some(PeerResponse::RedirectedHeartbeats(n)) => n,
                    _ => 0,
                }
            }
        });
        let elsewhere = futures_util::future::join_all(asked)
            .await
            .into_iter()
            .sum();
        let still = node
            .scheduler
            .borrow()
            .as_ref()
            .is_some_and(|c| c.term == term);
        if still
            && crate::coordination::agents::leader_reachability::out_of_reach(
                all, silent, elsewhere,
            )
        {
            tracing::warn!(
                term,
                all,
                silent,
                elsewhere,
                "workers do not reach us: resigning"
            );
            *node.scheduler.borrow_mut() = None;
            let boot = crate::coordination::node::draw_boot();
            node.leadership.borrow_mut().resign(node.now(), boot);
        }
    }
}

/// Looks after the share when something may have changed.
fn look_after_share(node: &Rc<Node>) {
    if node.leadership.borrow().is_deposed() {
        tracing::warn!("share lost: stepping down");
        step_down(node);
    }
    let raised = node.leadership.borrow_mut().adopt_raised_term();
    if let (Some(term), Some(scheduler)) = (raised, node.scheduler.borrow_mut().as_mut()) {
        tracing::info!(term, "the term was raised, and the answer lost");
        scheduler.raise_term(term);
    }
    let term = node
        .leadership
        .borrow()
        .view
        .shard
        .as_ref()
        .map_or(0, |(s, _)| s.term);
    if node.announced_term.replace(term) != term {
        node.leadership_changed.notify_waiters();
    }
    // Only now: a drain that ended under a later owner frees nothing for us.
    crate::coordination::leadership::leader_loop::take_drains(node);
    let (now, now_ms) = (node.now(), node.wall_ms());
    if node.taking_over.get() {
        return;
    }
    let claim = node.leadership.borrow_mut().attempt_takeover(now, now_ms);
    if let Some(claim) = claim {
        node.taking_over.set(true);
        let node = node.clone();
        actix_rt::spawn(async move {
            crate::coordination::leadership::failover::carry_out(&node, claim).await;
            node.taking_over.set(false);
            node.leadership_changed.notify_waiters();
        });
    }
}

/// Promises never to vouch for an owner before this term; if that is us, our
/// time is over. (Our own voice counts in our majority, so it must not stay.)
pub fn promise(node: &Node, term: u64) {
    node.leadership.borrow_mut().promise(term);
    if node.leadership.borrow().is_deposed() {
        tracing::warn!(term, "another controller took over: stepping down");
        step_down(node);
    }
}

/// A worker saw a term above ours, which only another owner can have told it.
/// Going on would keep workers and users with us until our time is over.
pub fn superseded(node: &Node) {
    if node.scheduler.borrow().is_some() {
        tracing::warn!("a worker saw a higher term: stepping down");
        step_down(node);
    }
}

/// Stops acting for the share.
fn step_down(node: &Node) {
    *node.scheduler.borrow_mut() = None;
    node.leadership
        .borrow_mut()
        .step_down(crate::coordination::node::draw_boot());
}
