//! The HTTP handlers for users, workers, health checks and other controllers.
//!
//! A handler decodes the request, calls functions of [`crate::coordination`], which make all
//! decisions, and encodes the result.

mod jobs;
mod peers;
mod reply;
mod reports;
mod status;

use crate::coordination::node::Node;
use actix_web::web::{self, Data, ServiceConfig};
use std::rc::Rc;

/// Maximum size of a request body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// The controller, as actix-web passes it to handlers.
pub type SharedNode = Data<Rc<Node>>;

/// Adds the routes for users, workers and health checks.
pub fn front_routes(config: &mut ServiceConfig) {
    config
        .route("/up", web::get().to(status::health))
        .route("/overview", web::get().to(status::overview))
        .route("/hello", web::post().to(reports::heartbeat))
        .route("/work", web::post().to(jobs::submit))
        .route("/work/{id}", web::get().to(jobs::query))
        .route("/work/{id}/cancel", web::post().to(jobs::cancel));
}

/// Adds the route for other controllers.
pub fn mesh_routes(config: &mut ServiceConfig) {
    config.route("/mesh", web::post().to(peers::message));
}
