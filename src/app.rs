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

/// Starts everything and serves until the process is killed.
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
    let sockets = node.workers.share();
    // Workers report and users poll several times in two leases.
    let idle_s = (2.0 * node.settings.cluster.workers.lease_s).max(30.0);
    let idle = Duration::from_secs_f64(idle_s);
    let data = Data::new(node.clone());
    let front = App::new()
        .app_data(data.clone())
        .app_data(PayloadConfig::new(MAX_BODY))
        .configure(handlers::front);
    let (most, open) = (sockets.front(), sockets.incoming.clone());
    listen::serve(front, node.settings.front, most, open, idle).await?;
    let mesh = App::new()
        .app_data(data)
        .app_data(PayloadConfig::new(MAX_BODY))
        .configure(handlers::mesh);
    let addr = node.settings.mesh_addr;
    listen::serve(mesh, addr, sockets.mesh(), Rc::default(), listen::IDLE).await
}

fn start_actors(node: &Rc<Node>) {
    LeadershipActor { node: node.clone() }.start();
    CompletionWriter { node: node.clone() }.start();
    FleetManager { node: node.clone() }.start();
    Dispatcher {
        node: node.clone(),
        beats: 0,
    }
    .start();
}
