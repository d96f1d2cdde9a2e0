//! The leader's side of the workers (agents): their heartbeats, the commands they get, and
//! what their silence proves.

pub mod commands;
pub mod direct_calls;
pub mod dispatcher;
pub mod failure_detector;
pub mod heartbeat;
pub mod leader_reachability;
mod lease_expiry;
mod partitions;
mod reconciliation;
mod task_reconciliation;
mod unhealthy_machines;
