//! The asynchronous loops of the leadership. They ask the pure state machine which requests are
//! due, send these requests, and pass the responses back to the state machine. No borrow of the
//! state is held across an await.
//!
//! - `lease_loop`: gets, renews and revokes this controller's lease, and writes its alive
//!   key.
//! - `control_watch`: follows the control prefix of the state service.
//! - `leader_loop`: the periodic work of the leader, with `drain_records` and
//!   `peer_calls`.
//! - `shard_changes`: reacts when the shard may have another leader; starts a [`failover`] or
//!   a [`step_down`].
//! - `reachability_check`: resigns when workers cannot reach this leader.
//! - `readiness_check`: reports this controller as not ready, so that users go to another one,
//!   when it alone has no contact to the state service.

mod control_watch;
mod drain_records;
pub mod failover;
mod leader_loop;
mod lease_loop;
mod peer_calls;
mod reachability_check;
mod readiness_check;
mod shard_changes;
pub mod step_down;

use crate::coordination::node::Node;
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Runs the loops of one controller's leadership.
pub struct LeadershipActor {
    /// The controller.
    pub node: Rc<Node>,
}

impl Actor for LeadershipActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix_rt::spawn(lease_loop::keep_lease(self.node.clone()));
        actix_rt::spawn(control_watch::watch_control_prefix(self.node.clone()));
        actix_rt::spawn(leader_loop::run(self.node.clone()));
        actix_rt::spawn(reachability_check::run(self.node.clone()));
        actix_rt::spawn(readiness_check::run(self.node.clone()));
    }
}

async fn sleep(seconds: f64) {
    actix_rt::time::sleep(Duration::from_secs_f64(seconds)).await;
}
