//! The health check of the controller and the overview of live jobs.

use super::reply::{json_response, unavailable};
use super::SharedNode;
use crate::coordination::node::Node;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use serde_json::json;
use std::rc::Rc;

/// `GET /up`: the health check. The controller is healthy once it has loaded the cluster's records,
/// except while it has lost contact to the state service and the other controllers have not.
pub async fn health(node: SharedNode) -> HttpResponse {
    let loaded = node.leadership.borrow().view.loaded;
    if loaded && !node.readiness.borrow().is_not_ready() {
        json_response(StatusCode::OK, &json!({"up": true}))
    } else {
        unavailable()
    }
}

/// `GET /overview`: the live jobs as a text table, which the leader generates.
pub async fn overview(node: SharedNode) -> HttpResponse {
    let text = match own_overview(&node) {
        Some(text) => Some(text),
        None => overview_from_leader(&node).await,
    };
    match text {
        Some(text) => HttpResponse::Ok()
            .content_type("text/plain; charset=utf-8")
            .body(text),
        None => unavailable(),
    }
}

/// The overview from the scheduler of this controller; `None` unless this controller leads.
fn own_overview(node: &Node) -> Option<String> {
    let scheduler = node.scheduler.borrow();
    Some(scheduler.as_ref()?.overview(node.now()))
}

/// The overview requested from the leader; `None` if the leader is unknown or does not answer.
async fn overview_from_leader(node: &Rc<Node>) -> Option<String> {
    let addr = node.peer_address(&node.other_leader()?)?;
    match node.mesh.ask(addr, &PeerRequest::Overview).await? {
        PeerResponse::Overview(text) => Some(text),
        _ => None,
    }
}
