//! Messages of other controllers.

use super::SharedNode;
use crate::admin;
use crate::coordination::agents::dispatcher;
use crate::coordination::leadership;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::mesh::{self, PeerRequest, PeerResponse, Topic};
use actix_web::web::Bytes;
use actix_web::HttpResponse;
use std::rc::Rc;

/// `POST /mesh`: one message in `bincode`.
pub async fn call(node: SharedNode, body: Bytes) -> HttpResponse {
    match mesh::decode::<PeerRequest>(&body) {
        Some(ask) => HttpResponse::Ok().body(mesh::encode(&answer(&node, ask))),
        None => HttpResponse::BadRequest().finish(),
    }
}

fn answer(node: &Rc<Node>, ask: PeerRequest) -> PeerResponse {
    match ask {
        PeerRequest::Progress(id) => of_core(node, |core| progress(core, &id)),
        PeerRequest::Overview => of_core(node, |core| {
            Some(PeerResponse::Overview(core.overview(node.now())))
        }),
        PeerRequest::Admin(topic) => of_core(node, |core| admin_page(node, core, topic)),
        PeerRequest::Vouch(term) => agreed_if(node.tenure.borrow().vouches_for(term)),
        PeerRequest::Promise(term) => {
            leadership::promise(node, term);
            PeerResponse::Agreed
        }
        PeerRequest::Contact => {
            let steady_s = node.health.borrow().steady_s(node.now());
            PeerResponse::Contact((steady_s.max(0.0) * 1000.0) as u64)
        }
        PeerRequest::TurnedAway => {
            let recent = node.turned_away.borrow_mut().recent(node.now());
            PeerResponse::TurnedAway(recent)
        }
        PeerRequest::Over(id) => {
            job_over(node, &id);
            PeerResponse::Agreed
        }
        PeerRequest::Told(term, for_ms) => told(node, term, for_ms),
    }
}

/// Another controller has recorded a cancellation.
fn job_over(node: &Rc<Node>, id: &str) {
    // Guards against a share that is being read: the list of live jobs may have the job
    // already, and its core, which is not there yet, would start it.
    node.heard_over.borrow_mut().note(id, node.now());
    if let Some(core) = node.core.borrow_mut().as_mut() {
        core.finish_job(id);
    }
    dispatcher::drain(node);
}

/// What the leader's core says, if this controller leads.
fn of_core(node: &Node, ask: impl FnOnce(&Scheduler) -> Option<PeerResponse>) -> PeerResponse {
    let core = node.core.borrow();
    core.as_ref().and_then(ask).unwrap_or(PeerResponse::NotMine)
}

fn agreed_if(agreed: bool) -> PeerResponse {
    if agreed {
        PeerResponse::Agreed
    } else {
        PeerResponse::NotMine
    }
}

fn progress(core: &Scheduler, id: &str) -> Option<PeerResponse> {
    let counts = core.progress(id)?;
    Some(PeerResponse::Progress {
        done: counts.done,
        running: counts.running,
    })
}

fn admin_page(node: &Node, core: &Scheduler, topic: Topic) -> Option<PeerResponse> {
    let text = admin::of_core(core, topic, node.now())?;
    Some(PeerResponse::Admin(core.term, text))
}

/// The cancellations that this controller told users of, for a leader that has no other
/// way to learn them.
fn told(node: &Node, term: u64, for_ms: u64) -> PeerResponse {
    if !node.tenure.borrow().speaks_to(term) {
        return PeerResponse::NotMine;
    }
    let for_s = for_ms as f64 / 1000.0;
    match node.told_over.borrow().within(for_s, node.now()) {
        Some(jobs) => PeerResponse::Told(jobs),
        None => PeerResponse::NotMine,
    }
}
