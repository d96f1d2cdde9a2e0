//! The operators' API. It listens on its own address, and only if the policy sets one.
//!
//! Every controller serves the API. The leader answers from its scheduler, and other controllers
//! ask the leader. While the leader does not answer, the other controllers send the last answer
//! that they received from it, with the age of that answer.

pub mod error;
mod metrics;
pub mod orders;
mod reply;
pub mod rollouts;
mod views;

pub use views::view_json;

use crate::coordination::node::Node;
use crate::protocol::mesh::Topic;
use crate::transport::listen;
use actix_web::web::{Data, PayloadConfig};
use actix_web::{web, App, HttpResponse};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of simultaneous connections: enough for a few operators and a metrics collector.
const MAX_CONNECTIONS: usize = 8;
/// Maximum size of the body of an order, in bytes. 10,000 machine names fit into this size.
pub const MAX_BODY: usize = 256 * 1024;
/// Pause between two attempts to listen.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// The controller, as actix-web passes it to handlers.
type SharedNode = Data<Rc<Node>>;

/// `GET /metrics`: the metrics in Prometheus' text format.
async fn metrics_page(node: SharedNode) -> HttpResponse {
    match metrics::text(&node) {
        Ok(text) => HttpResponse::Ok()
            .content_type(prometheus::TEXT_FORMAT)
            .body(text),
        Err(error) => reply::problem(503, None, &error.to_string()),
    }
}

/// Starts the operators' API at `addr`. If the address cannot be bound, retries until it can: the
/// controller must work even while another process uses the address.
pub async fn run(node: Rc<Node>, addr: SocketAddr) {
    while let Err(error) = serve(node.clone(), addr).await {
        tracing::error!(%addr, %error, "operators' API cannot listen at its address; retrying");
        actix_rt::time::sleep(LISTEN_RETRY_PAUSE).await;
    }
    tracing::info!(%addr, "operators' API is listening");
}

async fn serve(node: Rc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    let view_route = |topic: Topic| {
        web::get().to(move |node: SharedNode| async move { views::view(&node, topic).await })
    };
    let app = App::new()
        .app_data(Data::new(node))
        .app_data(PayloadConfig::new(MAX_BODY))
        .route("/metrics", web::get().to(metrics_page))
        .route("/admin/v1/jobs", web::get().to(views::jobs))
        .route("/admin/v1/teams", view_route(Topic::Teams))
        .route("/admin/v1/machines", view_route(Topic::Machines))
        .route("/admin/v1/fleet", view_route(Topic::Fleet))
        .route("/admin/v1/snapshot", view_route(Topic::Snapshot))
        .route("/admin/v1/shares", web::get().to(views::shards))
        .route("/admin/v1/health", web::get().to(views::health))
        .route("/admin/v1/waits", web::get().to(views::waits))
        .route("/admin/v1/drains", view_route(Topic::Drains))
        .route("/admin/v1/drains", web::post().to(orders::drain))
        .route("/admin/v1/rolls", web::get().to(rollouts::list))
        .route("/admin/v1/rolls", web::post().to(rollouts::begin))
        .route("/admin/v1/rolls/turn", web::post().to(rollouts::change))
        .route("/admin/v1/undrain", web::post().to(orders::undrain));
    listen::serve(
        app,
        addr,
        MAX_CONNECTIONS,
        Rc::default(),
        listen::DEFAULT_IDLE_TIMEOUT,
    )
    .await
}
