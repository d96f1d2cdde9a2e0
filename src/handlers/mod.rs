//! The HTTP handlers: what users, workers, health checks and other controllers call.
//! Each translates a request, asks [`crate::coordination`], and translates its result;
//! none decides anything.

mod jobs;
mod peers;
mod reply;
mod reports;
mod status;

use crate::coordination::node::Node;
use actix_web::web::{self, Data, ServiceConfig};
use std::rc::Rc;

/// Largest request body by the protocol, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// The controller that a handler acts for.
pub type SharedNode = Data<Rc<Node>>;

/// The routes for users, workers and health checks.
pub fn front(config: &mut ServiceConfig) {
    config
        .route("/up", web::get().to(status::up))
        .route("/overview", web::get().to(status::overview))
        .route("/hello", web::post().to(reports::hello))
        .route("/work", web::post().to(jobs::submit))
        .route("/work/{id}", web::get().to(jobs::query))
        .route("/work/{id}/cancel", web::post().to(jobs::cancel));
}

/// The route for other controllers.
pub fn mesh(config: &mut ServiceConfig) {
    config.route("/mesh", web::post().to(peers::call));
}
