//! Starts a process: its actors, and the servers that users, workers, health checks and
//! other controllers call.

use crate::coordination::agents::dispatcher::Dispatcher;
use crate::coordination::fleet::manager::FleetManager;
use crate::coordination::jobs::completion_writer::CompletionWriter;
use crate::coordination::leadership::LeadershipActor;
use crate::coordination::node::Node;
use crate::handlers::{self, MAX_BODY};
use crate::protocol::policy::Policy;
use crate::protocol::settings::Settings;
use crate::transport::listen;
use actix::prelude::*;
use actix_web::web::{Data, PayloadConfig};
use actix_web::App;
use std::rc::Rc;
use std::time::Duration;

/// Shortest time for which idle connections of workers and users are kept, in seconds.
const MIN_IDLE_S: f64 = 30.0;

/// Starts everything and serves until the process is killed.
///
/// # Errors
/// An address cannot be bound.
pub async fn run(settings: Settings, policy: Policy) -> std::io::Result<()> {
    let node = Node::new(settings, policy);
    serve(&node).await?;
    if let Some(addr) = node.policy.admin {
        actix_rt::spawn(crate::admin::run(node.clone(), addr));
    }
    start_actors(&node);
    tracing::info!(
        host = %node.settings.host_name,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    std::future::pending().await
}

/// Opens both servers.
async fn serve(node: &Rc<Node>) -> std::io::Result<()> {
    serve_front(node).await?;
    serve_mesh(node).await
}

/// The server for users, workers and health checks.
async fn serve_front(node: &Rc<Node>) -> std::io::Result<()> {
    let sockets = node.workers.process_sockets();
    // Workers send heartbeats and users poll several times in two leases.
    let idle_s = (2.0 * node.settings.cluster.workers.lease_s).max(MIN_IDLE_S);
    let idle = Duration::from_secs_f64(idle_s);
    let app = App::new()
        .app_data(Data::new(node.clone()))
        .app_data(PayloadConfig::new(MAX_BODY))
        .configure(handlers::front);
    let (max_connections, open) = (sockets.front(), sockets.incoming.clone());
    listen::serve(app, node.settings.front, max_connections, open, idle).await
}

/// The server for other controllers.
async fn serve_mesh(node: &Rc<Node>) -> std::io::Result<()> {
    let sockets = node.workers.process_sockets();
    let app = App::new()
        .app_data(Data::new(node.clone()))
        .app_data(PayloadConfig::new(MAX_BODY))
        .configure(handlers::mesh);
    let (addr, max_connections) = (node.settings.mesh_addr, sockets.mesh());
    listen::serve(app, addr, max_connections, Rc::default(), listen::IDLE).await
}

fn start_actors(node: &Rc<Node>) {
    LeadershipActor { node: node.clone() }.start();
    CompletionWriter { node: node.clone() }.start();
    FleetManager { node: node.clone() }.start();
    Dispatcher {
        node: node.clone(),
        ticks: 0,
    }
    .start();
}
