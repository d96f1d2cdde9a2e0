//! Responses of the operators' API.

use crate::coordination::node::Node;
use crate::protocol::admin::{Answer, Problem};
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use serde::Serialize;

/// An error response with the reason and, if the error concerns a field, the field's name. If
/// `status` is not a valid HTTP status, 503 is sent.
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

/// The response if the leader does not answer and none of its earlier answers is cached.
pub(super) fn leader_unavailable() -> HttpResponse {
    problem(503, None, "the owner of the share does not answer now")
}

/// The response if the leader's answer cannot be parsed.
pub(super) fn leader_unreadable() -> HttpResponse {
    problem(503, None, "the owner's answer cannot be read")
}

/// The name of the shard's leader, if this controller knows it.
fn leader(node: &Node) -> Option<String> {
    if node.scheduler.borrow().is_some() {
        return Some(node.settings.host_name.clone());
    }
    node.other_leader()
}

/// A response with data and their origin: the name of this controller, the name of the leader, the
/// term under which the data were generated, and the age of the data in seconds.
pub(super) fn answer<T: Serialize>(node: &Node, term: u64, age_s: f64, data: T) -> HttpResponse {
    HttpResponse::Ok().json(Answer {
        from: node.settings.host_name.clone(),
        owner: leader(node),
        term,
        age_s,
        data,
    })
}
