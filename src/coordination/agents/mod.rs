//! Workers, as the leader meets them: their heartbeats, the commands they get, and what
//! their silence proves.

pub mod commands;
pub mod direct_calls;
pub mod dispatcher;
pub mod failure_detector;
pub mod heartbeat;
pub mod leader_reachability;
mod reconciliation;
