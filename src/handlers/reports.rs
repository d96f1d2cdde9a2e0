//! Heartbeats of workers.

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

/// `POST /hello`: handles a worker's heartbeat. Only the leader handles heartbeats; other
/// controllers redirect the worker to the leader.
pub async fn heartbeat(node: SharedNode, payload: web::Payload) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    wait_for_expected_takeover(&node).await;
    if !node.may_answer_workers() {
        return redirect_to_leader(&node);
    }
    let Ok(head) = serde_json::from_slice::<ReportHead>(&body) else {
        return refuse(StatusCode::BAD_REQUEST, "not a report");
    };
    let now = node.now();
    if let Some(response) = reply_to_repeated_heartbeat(&node, &head, now) {
        return response;
    }
    let tasks = head.tasks;
    let Some(report) = head.read() else {
        return refuse(StatusCode::BAD_REQUEST, "not a report");
    };
    match handle_heartbeat(&node, &report, tasks.get(), now) {
        HeartbeatReply::Commands(reply) => {
            dispatcher::send_due_calls(&node);
            json_response(StatusCode::OK, &reply)
        }
        HeartbeatReply::IncarnationCheck(token) => {
            let commands = Vec::new();
            json_response(StatusCode::OK, &Reply { token, commands })
        }
        HeartbeatReply::Refuse => unavailable(),
        HeartbeatReply::Superseded => {
            leadership::step_down_after_higher_term(&node);
            unavailable()
        }
    }
}

/// Replies to a heartbeat that repeats the worker's previous one while there are no commands for
/// the worker. Most heartbeats are such repetitions; their task lists are not parsed. `None` if
/// the heartbeat must be passed to [`handle_heartbeat`].
fn reply_to_repeated_heartbeat(node: &Node, head: &ReportHead, now: f64) -> Option<HttpResponse> {
    let mut scheduler = node.scheduler.borrow_mut();
    let token = scheduler.as_mut()?.handle_repeated_heartbeat(head, now)?;
    let commands = Vec::new();
    Some(json_response(StatusCode::OK, &Reply { token, commands }))
}

/// Passes a heartbeat to the scheduler, and stores the heartbeat's unparsed task list for the
/// comparison with the next heartbeat.
fn handle_heartbeat(node: &Node, report: &Report, tasks: &str, now: f64) -> HeartbeatReply {
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return HeartbeatReply::Refuse;
    };
    let reply = scheduler.handle_heartbeat(report, now);
    scheduler.store_task_list(&report.machine, MessageId::of(report), tasks);
    reply
}

fn redirect_to_leader(node: &Node) -> HttpResponse {
    let leader = node.other_leader();
    let redirect = Redirect {
        leader: leader.as_deref(),
    };
    json_response(StatusCode::MISDIRECTED_REQUEST, &redirect)
}

/// Delays the answer to a heartbeat while a change of leader is expected, up to a timeout. If a
/// takeover by this controller is in progress, waits until the takeover has ended. If so many
/// heartbeats were redirected recently that workers seem unable to reach the leader, waits until
/// the leader changes. Without this wait, a worker would be redirected at once, and would have to
/// connect again and wait again.
async fn wait_for_expected_takeover(node: &Rc<Node>) {
    if node.may_answer_workers() {
        return;
    }
    node.wait_for_takeover().await;
    if node.may_answer_workers() {
        return;
    }
    let now = node.now();
    let recently_redirected = node.redirected_heartbeats.borrow_mut().add(now);
    if leader_reachability::is_leader_unreachable(recently_redirected) {
        node.wait_for_leader_change().await;
    }
}
