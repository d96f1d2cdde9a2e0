//! The operators' API, on an address of its own and only where the operators' settings
//! name one. Every controller answers: the leader from its scheduler, others by asking it,
//! and while it is away with what it said last and how old that is.

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

/// Connections at once: a few people and a collector of metrics.
const MAX_CONNECTIONS: usize = 8;
/// Largest order, in bytes; ten thousand machine names fit.
pub const MAX_BODY: usize = 256 * 1024;
/// Between two attempts to listen.
const LISTEN_RETRY: Duration = Duration::from_secs(5);

/// The controller, as handlers get it.
type Shared = Data<Rc<Node>>;

async fn metrics_page(node: Shared) -> HttpResponse {
    match metrics::text(&node) {
        Ok(text) => HttpResponse::Ok()
            .content_type(prometheus::TEXT_FORMAT)
            .body(text),
        Err(error) => reply::problem(503, None, &error.to_string()),
    }
}

/// Serves the operators' API at `addr`, as soon as the address can be had: that it
/// is taken must not keep a controller from its work.
pub async fn run(node: Rc<Node>, addr: SocketAddr) {
    while let Err(error) = serve(node.clone(), addr).await {
        tracing::error!(%addr, %error, "operators' API cannot listen");
        actix_rt::time::sleep(LISTEN_RETRY).await;
    }
    tracing::info!(%addr, "operators' API");
}

async fn serve(node: Rc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    let view = |topic: Topic| {
        web::get().to(move |node: Shared| async move { views::view(&node, topic).await })
    };
    let app = App::new()
        .app_data(Data::new(node))
        .app_data(PayloadConfig::new(MAX_BODY))
        .route("/metrics", web::get().to(metrics_page))
        .route("/admin/v1/jobs", web::get().to(views::jobs))
        .route("/admin/v1/teams", view(Topic::Teams))
        .route("/admin/v1/machines", view(Topic::Machines))
        .route("/admin/v1/fleet", view(Topic::Fleet))
        .route("/admin/v1/snapshot", view(Topic::Snapshot))
        .route("/admin/v1/shares", web::get().to(views::shards))
        .route("/admin/v1/health", web::get().to(views::health))
        .route("/admin/v1/waits", web::get().to(views::waits))
        .route("/admin/v1/drains", view(Topic::Drains))
        .route("/admin/v1/drains", web::post().to(orders::drain))
        .route("/admin/v1/rolls", web::get().to(rollouts::list))
        .route("/admin/v1/rolls", web::post().to(rollouts::start))
        .route("/admin/v1/rolls/turn", web::post().to(rollouts::change))
        .route("/admin/v1/undrain", web::post().to(orders::undrain));
    listen::serve(app, addr, MAX_CONNECTIONS, Rc::default(), listen::IDLE).await
}
