//! How the leader handles workers (agents): their heartbeats, the commands sent to them, and
//! the detection of dead or unreachable machines.

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
