//! Answers of the operators' API.

use crate::coordination::node::Node;
use crate::protocol::admin::{Answer, Problem};
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use serde::Serialize;

/// An error for an operator: which field is wrong, if one is, and why.
pub(super) fn problem(status: u16, field: Option<&str>, error: &str) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = HttpResponse::build(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.insert_header(("retry-after", "1"));
    }
    response.json(Problem {
        error: error.into(),
        field: field.map(String::from),
    })
}

/// The leader was asked and did not answer, and nothing is kept of what it said before.
pub(super) fn leader_unavailable() -> HttpResponse {
    problem(503, None, "the owner of the share does not answer now")
}

/// The leader's answer does not parse.
pub(super) fn leader_unreadable() -> HttpResponse {
    problem(503, None, "the owner's answer cannot be read")
}

/// The shard's leader, as far as it is known here.
fn leader(node: &Node) -> Option<String> {
    if node.scheduler.borrow().is_some() {
        return Some(node.settings.host_name.clone());
    }
    node.other_leader()
}

/// Data with where it comes from: the term under which it was made and its age in seconds.
pub(super) fn answer<T: Serialize>(node: &Node, term: u64, age_s: f64, data: T) -> HttpResponse {
    HttpResponse::Ok().json(Answer {
        from: node.settings.host_name.clone(),
        owner: leader(node),
        term,
        age_s,
        data,
    })
}
