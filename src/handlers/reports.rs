//! Workers' reports.

use super::reply::{json_response, read_body, refuse, unavailable};
use super::SharedNode;
use crate::coordination::agents::dispatcher;
use crate::coordination::agents::heartbeat::HeartbeatReply;
use crate::coordination::agents::leader_reachability;
use crate::coordination::leadership;
use crate::coordination::node::Node;
use crate::coordination::scheduler::machine::MessageId;
use crate::protocol::worker::{Redirect, Reply, ReportHead};
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
        let leader = node.other_leader();
        let redirect = Redirect {
            to: leader.as_deref(),
        };
        return json_response(StatusCode::MISDIRECTED_REQUEST, &redirect);
    }
    let Ok(head) = serde_json::from_slice::<ReportHead>(&body) else {
        return refuse(StatusCode::BAD_REQUEST, "not a report");
    };
    let now = node.now();
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        if let Some(token) = scheduler.handle_repeated_heartbeat(&head, now) {
            let commands = Vec::new();
            return json_response(StatusCode::OK, &Reply { token, commands });
        }
    }
    let tasks = head.tasks;
    let Some(report) = head.read() else {
        return refuse(StatusCode::BAD_REQUEST, "not a report");
    };
    let verdict = match node.scheduler.borrow_mut().as_mut() {
        Some(scheduler) => {
            let verdict = scheduler.handle_heartbeat(&report, now);
            let order = MessageId::of(&report);
            scheduler.remember_heartbeat(&report.machine, order, tasks.get());
            verdict
        }
        None => HeartbeatReply::Refuse,
    };
    match verdict {
        HeartbeatReply::Commands(reply) => {
            dispatcher::drain(&node);
            json_response(StatusCode::OK, &reply)
        }
        HeartbeatReply::Refuse => unavailable(),
        HeartbeatReply::Superseded => {
            leadership::superseded(&node);
            unavailable()
        }
    }
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
    let lately = node.redirected_heartbeats.borrow_mut().add(node.now());
    if leader_reachability::owner_unreached(lately) {
        node.leader_changed().await;
    }
}
