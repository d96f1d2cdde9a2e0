//! Handles messages from other controllers (see [`crate::protocol::mesh`]).

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

/// `POST /mesh`: handles one message, encoded with `bincode`.
pub async fn message(node: SharedNode, body: Bytes) -> HttpResponse {
    match mesh::decode::<PeerRequest>(&body) {
        Some(request) => HttpResponse::Ok().body(mesh::encode(&handle(&node, request))),
        None => HttpResponse::BadRequest().finish(),
    }
}

fn handle(node: &Rc<Node>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Progress(id) => ask_scheduler(node, |scheduler| task_progress(scheduler, &id)),
        PeerRequest::Overview => ask_scheduler(node, |scheduler| {
            Some(PeerResponse::Overview(scheduler.overview(node.now())))
        }),
        PeerRequest::View(topic) => ask_scheduler(node, |scheduler| view(node, scheduler, topic)),
        PeerRequest::ExtendLease(term) => {
            agreed_if(node.leadership.borrow().knows_no_higher_term(term))
        }
        PeerRequest::Promise(term) => {
            leadership::promise(node, term);
            PeerResponse::Agreed
        }
        PeerRequest::Contact => {
            let contact_s = node.readiness.borrow().contact_duration_s(node.now());
            PeerResponse::Contact((contact_s.max(0.0) * 1000.0) as u64)
        }
        PeerRequest::RedirectedHeartbeats => {
            let recent = node.redirected_heartbeats.borrow_mut().recent(node.now());
            PeerResponse::RedirectedHeartbeats(recent)
        }
        PeerRequest::JobCancelled(id) => {
            apply_cancellation(node, &id);
            PeerResponse::Agreed
        }
        PeerRequest::ConfirmedCancellations(term, period_ms) => {
            confirmed_cancellations(node, term, period_ms)
        }
    }
}

/// Stops a job whose cancellation another controller has recorded.
fn apply_cancellation(node: &Rc<Node>, id: &str) {
    // A takeover by this controller may be in progress: the job may already have been read from
    // the list of live jobs, while the scheduler does not exist yet. Without this entry the new
    // scheduler would start the cancelled job.
    node.relayed_cancellations
        .borrow_mut()
        .record(id, node.now());
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        scheduler.finish_job(id);
    }
    dispatcher::send_due_calls(node);
}

/// The response that `ask` gets from the scheduler; `NotLeader` if this controller does not lead
/// or `ask` returns `None`.
fn ask_scheduler(
    node: &Node,
    ask: impl FnOnce(&Scheduler) -> Option<PeerResponse>,
) -> PeerResponse {
    let scheduler = node.scheduler.borrow();
    scheduler
        .as_ref()
        .and_then(ask)
        .unwrap_or(PeerResponse::NotLeader)
}

fn agreed_if(agreed: bool) -> PeerResponse {
    if agreed {
        PeerResponse::Agreed
    } else {
        PeerResponse::NotLeader
    }
}

fn task_progress(scheduler: &Scheduler, id: &str) -> Option<PeerResponse> {
    let counts = scheduler.progress(id)?;
    Some(PeerResponse::Progress {
        done: counts.done,
        running: counts.running,
    })
}

fn view(node: &Node, scheduler: &Scheduler, topic: Topic) -> Option<PeerResponse> {
    let text = admin::view_json(scheduler, topic, node.now())?;
    Some(PeerResponse::View(scheduler.term, text))
}

/// The cancellations that this controller confirmed to users in the last `period_ms` milliseconds.
/// The leader of `term` requests them while it cannot learn of cancellations from the state
/// service. `NotLeader` if this controller may not report to that leader or does not remember all
/// of these cancellations.
fn confirmed_cancellations(node: &Node, term: u64, period_ms: u64) -> PeerResponse {
    if !node.leadership.borrow().may_report_cancellations_to(term) {
        return PeerResponse::NotLeader;
    }
    let period_s = period_ms as f64 / 1000.0;
    match node
        .confirmed_cancellations
        .borrow()
        .within(period_s, node.now())
    {
        Some(jobs) => PeerResponse::ConfirmedCancellations(jobs),
        None => PeerResponse::NotLeader,
    }
}
