//! Workers' heartbeats.

use super::reply::{json_response, read_body, refuse, unavailable};
use super::SharedNode;
use crate::coordination::agents::dispatcher;
use crate::coordination::agents::heartbeat::HeartbeatReply;
use crate::coordination::agents::leader_reachability;
use crate::coordination::leadership;
use crate::coordination::node::Node;
use crate::coordination::scheduler::machine::MessageId;
use crate::protocol::worker::{Redirect, Reply, Report, ReportHead};
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::HttpResponse;
use std::rc::Rc;

/// `POST /hello`: answered by the leader alone; others name it.
pub async fn hello(node: SharedNode, payload: web::Payload) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    wait_until_entitled(&node).await;
    if !node.may_answer_workers() {
        return redirect_to_leader(&node);
    }
    let Ok(head) = serde_json::from_slice::<ReportHead>(&body) else {
        return refuse(StatusCode::BAD_REQUEST, "not a report");
    };
    let now = node.now();
    if let Some(response) = reply_to_repeated(&node, &head, now) {
        return response;
    }
    let tasks = head.tasks;
    let Some(report) = head.read() else {
        return refuse(StatusCode::BAD_REQUEST, "not a report");
    };
    match handle(&node, &report, tasks.get(), now) {
        HeartbeatReply::Commands(reply) => {
            dispatcher::send_due_calls(&node);
            json_response(StatusCode::OK, &reply)
        }
        HeartbeatReply::Refuse => unavailable(),
        HeartbeatReply::Superseded => {
            leadership::superseded(&node);
            unavailable()
        }
    }
}

/// A heartbeat whose tasks are those of the one before, which need not be read: most are.
fn reply_to_repeated(node: &Node, head: &ReportHead, now: f64) -> Option<HttpResponse> {
    let mut scheduler = node.scheduler.borrow_mut();
    let token = scheduler.as_mut()?.handle_repeated_heartbeat(head, now)?;
    let commands = Vec::new();
    Some(json_response(StatusCode::OK, &Reply { token, commands }))
}

/// Passes a heartbeat to the scheduler, and remembers its tasks as they came, so that the
/// next one can be compared with them.
fn handle(node: &Node, report: &Report, tasks: &str, now: f64) -> HeartbeatReply {
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return HeartbeatReply::Refuse;
    };
    let reply = scheduler.handle_heartbeat(report, now);
    scheduler.remember_heartbeat(&report.machine, MessageId::of(report), tasks);
    reply
}

fn redirect_to_leader(node: &Node) -> HttpResponse {
    let leader = node.other_leader();
    let redirect = Redirect {
        to: leader.as_deref(),
    };
    json_response(StatusCode::MISDIRECTED_REQUEST, &redirect)
}

/// A takeover may be under way here, or due because workers do not reach the leader: a
/// worker turned away would connect anew and wait once more.
async fn wait_until_entitled(node: &Rc<Node>) {
    if node.may_answer_workers() {
        return;
    }
    node.takeover_settled().await;
    if node.may_answer_workers() {
        return;
    }
    let now = node.now();
    let recently_redirected = node.redirected_heartbeats.borrow_mut().add(now);
    if leader_reachability::leader_unreached(recently_redirected) {
        node.leader_changed().await;
    }
}
