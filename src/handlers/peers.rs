//! Messages of other controllers.

use super::SharedNode;
use crate::admin;
use crate::coordination::agents::dispatcher;
use crate::coordination::leadership;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Core;
use crate::protocol::mesh::{self, Answer, Ask, Topic};
use actix_web::web::Bytes;
use actix_web::HttpResponse;
use std::rc::Rc;

/// `POST /mesh`: one message in `bincode`.
pub async fn call(node: SharedNode, body: Bytes) -> HttpResponse {
    match mesh::decode::<Ask>(&body) {
        Some(ask) => HttpResponse::Ok().body(mesh::encode(&answer(&node, ask))),
        None => HttpResponse::BadRequest().finish(),
    }
}

fn answer(node: &Rc<Node>, ask: Ask) -> Answer {
    match ask {
        Ask::Progress(id) => of_core(node, |core| progress(core, &id)),
        Ask::Overview => of_core(node, |core| {
            Some(Answer::Overview(core.overview(node.now())))
        }),
        Ask::Admin(topic) => of_core(node, |core| admin_page(node, core, topic)),
        Ask::Vouch(term) => agreed_if(node.tenure.borrow().vouches_for(term)),
        Ask::Promise(term) => {
            leadership::promise(node, term);
            Answer::Agreed
        }
        Ask::Contact => {
            let steady_s = node.health.borrow().steady_s(node.now());
            Answer::Contact((steady_s.max(0.0) * 1000.0) as u64)
        }
        Ask::TurnedAway => {
            let recent = node.turned_away.borrow_mut().recent(node.now());
            Answer::TurnedAway(recent)
        }
        Ask::Over(id) => {
            job_over(node, &id);
            Answer::Agreed
        }
        Ask::Told(term, for_ms) => told(node, term, for_ms),
    }
}

/// Another controller has recorded a cancellation.
fn job_over(node: &Rc<Node>, id: &str) {
    // Guards against a share that is being read: the list of live jobs may have the job
    // already, and its core, which is not there yet, would start it.
    node.heard_over.borrow_mut().note(id, node.now());
    if let Some(core) = node.core.borrow_mut().as_mut() {
        core.job_over(id);
    }
    dispatcher::drain(node);
}

/// What the leader's core says, if this controller leads.
fn of_core(node: &Node, ask: impl FnOnce(&Core) -> Option<Answer>) -> Answer {
    let core = node.core.borrow();
    core.as_ref().and_then(ask).unwrap_or(Answer::NotMine)
}

fn agreed_if(agreed: bool) -> Answer {
    if agreed {
        Answer::Agreed
    } else {
        Answer::NotMine
    }
}

fn progress(core: &Core, id: &str) -> Option<Answer> {
    let counts = core.progress(id)?;
    Some(Answer::Progress {
        done: counts.done,
        running: counts.running,
    })
}

fn admin_page(node: &Node, core: &Core, topic: Topic) -> Option<Answer> {
    let text = admin::of_core(core, topic, node.now())?;
    Some(Answer::Admin(core.term, text))
}

/// The cancellations that this controller told users of, for a leader that has no other
/// way to learn them.
fn told(node: &Node, term: u64, for_ms: u64) -> Answer {
    if !node.tenure.borrow().speaks_to(term) {
        return Answer::NotMine;
    }
    let for_s = for_ms as f64 / 1000.0;
    match node.told_over.borrow().within(for_s, node.now()) {
        Some(jobs) => Answer::Told(jobs),
        None => Answer::NotMine,
    }
}
