//! Starts a controller process: its actors, and the HTTP servers for users, workers, health
//! checks, operators and other controllers.

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

/// Minimum idle timeout of connections from workers and users, in seconds.
const MIN_IDLE_TIMEOUT_S: f64 = 30.0;

/// Starts the servers and the actors. Returns only on an error; otherwise the controller runs until
/// the process is killed.
///
/// # Errors
/// The address of the front server or of the mesh server cannot be bound.
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

/// Starts the front server and the mesh server.
async fn serve(node: &Rc<Node>) -> std::io::Result<()> {
    serve_front(node).await?;
    serve_mesh(node).await
}

/// Starts the front server, which serves users, workers and health checks.
async fn serve_front(node: &Rc<Node>) -> std::io::Result<()> {
    let sockets = node.workers.socket_budget();
    // Within two worker leases, workers send several heartbeats and users poll several times.
    let idle_timeout_s = (2.0 * node.settings.cluster.workers.lease_s).max(MIN_IDLE_TIMEOUT_S);
    let idle_timeout = Duration::from_secs_f64(idle_timeout_s);
    let app = App::new()
        .app_data(Data::new(node.clone()))
        .app_data(PayloadConfig::new(MAX_BODY))
        .configure(handlers::front_routes);
    let (max_connections, open_connections) = (sockets.max_incoming(), sockets.incoming.clone());
    let addr = node.settings.front;
    listen::serve(app, addr, max_connections, open_connections, idle_timeout).await
}

/// Starts the mesh server, which serves the other controllers.
async fn serve_mesh(node: &Rc<Node>) -> std::io::Result<()> {
    let sockets = node.workers.socket_budget();
    let app = App::new()
        .app_data(Data::new(node.clone()))
        .app_data(PayloadConfig::new(MAX_BODY))
        .configure(handlers::mesh_routes);
    let (addr, max_connections) = (node.settings.mesh_addr, sockets.max_from_controllers());
    listen::serve(
        app,
        addr,
        max_connections,
        Rc::default(),
        listen::DEFAULT_IDLE_TIMEOUT,
    )
    .await
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
